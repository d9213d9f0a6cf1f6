package lab2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, each line with the time since the start. */
public final class Record {
    private Record() {}

    private static final long START = System.nanoTime();
    private static PrintWriter out;

    public static synchronized void open(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), "UTF-8");
    }

    /** Milliseconds since the start. */
    public static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    public static synchronized void line(String who, String what) {
        if (out == null) return;
        out.printf("%8.3f %-12s %s%n", now() / 1000.0, who, what);
        out.flush();
    }
}
