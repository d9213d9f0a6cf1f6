package lab2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** Small HTTP servers and a client, on the loopback address only. */
public final class Http {
    private Http() {}

    public static final String LOOPBACK = "127.0.0.1";

    /** A request as a stand-in sees it. */
    public static final class Request {
        public final String method;
        public final String path;
        public final Map<String, String> query = new HashMap<>();
        public final byte[] body;

        Request(HttpExchange exchange) throws IOException {
            method = exchange.getRequestMethod();
            path = exchange.getRequestURI().getPath();
            body = exchange.getRequestBody().readAllBytes();
            String q = exchange.getRequestURI().getQuery();
            if (q == null) return;
            for (String part : q.split("&")) {
                int eq = part.indexOf('=');
                query.put(part.substring(0, eq), part.substring(eq + 1));
            }
        }

        public Map<String, Object> map() {
            return body.length == 0 ? new HashMap<>() : Cbor.map(body);
        }
    }

    /** A response; a null response leaves the request without one. */
    public record Response(int status, Object body) {
        public Map<String, Object> map() {
            @SuppressWarnings("unchecked")
            Map<String, Object> m = (Map<String, Object>) body;
            return m;
        }
    }

    public interface Handler {
        Response handle(Request request) throws Exception;
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    /** Starts a server on a free port and returns the port. */
    public static int serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName(LOOPBACK), 0), 256);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> {
            Response response = null;
            try {
                response = handler.handle(new Request(exchange));
            } catch (Exception e) {
                Record.line("lab", "a stand-in failed: " + e);
                e.printStackTrace();
            }
            if (response == null) {
                exchange.close();
                return;
            }
            byte[] body = Cbor.encode(response.body());
            exchange.sendResponseHeaders(response.status(), body.length);
            exchange.getResponseBody().write(body);
            exchange.close();
        });
        server.start();
        return server.getAddress().getPort();
    }

    private static final HttpClient CLIENT = HttpClient.newBuilder()
        .version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(1))
        .executor(THREADS)
        .build();

    /** Sends a request; null without a response in time. */
    public static Response call(String method, String address, String path, Object body, long timeoutMs) {
        HttpRequest.BodyPublisher content = body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(Cbor.encode(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
            .method(method, content).timeout(Duration.ofMillis(timeoutMs)).build();
        try {
            HttpResponse<byte[]> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            byte[] bytes = response.body();
            Object decoded;
            try {
                decoded = bytes.length == 0 ? new HashMap<String, Object>() : Cbor.map(bytes);
            } catch (RuntimeException e) {
                decoded = new HashMap<String, Object>();
            }
            return new Response(response.statusCode(), decoded);
        } catch (IOException e) {
            return null;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** Finds a free port below those that the system gives to outgoing connections. */
    public static int freePort() throws IOException {
        for (int tries = 0; tries < 1000; tries++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(LOOPBACK))) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // The port is taken: the next try draws another one.
            }
        }
        throw new IOException("no free port");
    }

    private static final int LOWEST_PORT = 15_000;
    private static final int HIGHEST_PORT = 31_000;
}
