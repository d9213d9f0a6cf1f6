package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A link from one controller to a server. A cut holds what is under way and delivers it afterwards, in order, also for a
 * sender that has given up; connections that are opened meanwhile hang without an error.
 */
final class Link {
    private static final int QUEUE = 1;
    private final ServerSocket listener;
    private final String target;
    private final List<Socket> fillers = new ArrayList<>();
    private boolean cut;
    final String address;

    Link(String target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, QUEUE, InetAddress.getByName("127.0.0.1"));
        address = "127.0.0.1:" + listener.getLocalPort();
        Http.start(this::acceptLoop);
    }

    /** Begins the cut. The queue of the listener is filled, so that the system drops further attempts to connect. */
    void cut() throws IOException {
        synchronized (this) {
            cut = true;
        }
        // The thread that accepts takes one more, and keeps it.
        for (int i = 0; i < QUEUE + 6; i++) {
            Socket filler = new Socket();
            fillers.add(filler);
            try {
                filler.connect(new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort()), 40);
            } catch (IOException full) {
                return;
            }
        }
    }

    /** Ends the cut. */
    void heal() throws IOException {
        for (Socket filler : fillers) filler.close();
        synchronized (this) {
            cut = false;
            notifyAll();
        }
    }

    private synchronized void awaitHealed() {
        while (cut) {
            try {
                wait();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void acceptLoop() {
        while (true) {
            try {
                awaitHealed();
                Socket caller = listener.accept();
                awaitHealed();
                int colon = target.indexOf(':');
                Socket server = new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
                caller.setTcpNoDelay(true);
                server.setTcpNoDelay(true);
                Http.start(() -> pump(caller, server));
                Http.start(() -> pump(server, caller));
            } catch (IOException e) {
                e.printStackTrace();
            }
        }
    }

    private void pump(Socket from, Socket to) {
        byte[] bytes = new byte[65536];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int count;
            while ((count = in.read(bytes)) >= 0) {
                awaitHealed();
                out.write(bytes, 0, count);
            }
            awaitHealed();
            // What was held is taken in before the end of the connection is seen.
            to.shutdownOutput();
            Lab.sleep(1000);
        } catch (IOException closed) {
            // The other side has closed the connection.
        }
    }
}
