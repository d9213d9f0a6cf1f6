package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 with CBOR bodies on the loopback interface. */
final class Http {
    record Request(String method, String path, Map<String, String> query, byte[] body) {
        String parameter(String name, String other) {
            return query.getOrDefault(name, other);
        }
    }

    /** An answer; {@link #NONE} closes the connection without one. */
    record Answer(int status, Map<String, Object> fields, int retryAfter) {
        static final Answer NONE = new Answer(0, Map.of(), 0);

        static Answer of(int status, Map<String, Object> fields) {
            return new Answer(status, fields, 0);
        }

        String text(String field) {
            return (String) fields.get(field);
        }
    }

    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1)
        .connectTimeout(Duration.ofSeconds(2)).executor(THREADS).build();

    /** Serves on a free port of the loopback interface and returns its address. */
    static String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) {
        try (exchange) {
            Map<String, String> query = new HashMap<>();
            String text = exchange.getRequestURI().getRawQuery();
            if (text != null) {
                for (String pair : text.split("&")) {
                    int equals = pair.indexOf('=');
                    query.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
            Answer answer = handler.handle(new Request(exchange.getRequestMethod(),
                exchange.getRequestURI().getRawPath(), query, exchange.getRequestBody().readAllBytes()));
            if (answer == Answer.NONE) return;
            byte[] body = Cbor.encode(answer.fields());
            exchange.getResponseHeaders().add("Content-Type", "application/cbor");
            exchange.sendResponseHeaders(answer.status(), body.length);
            exchange.getResponseBody().write(body);
        } catch (IOException gone) {
            // The caller has given up.
        } catch (Exception e) {
            e.printStackTrace();
        }
    }

    /** The answer, or null without one within the time. */
    static Answer call(String address, String method, String path, Object body, Duration wait) {
        HttpRequest.BodyPublisher publisher = body == null ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(body instanceof byte[] bytes ? bytes : Cbor.encode(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(wait)
            .method(method, publisher).build();
        try {
            HttpResponse<byte[]> response = CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
                .get(wait.toMillis() + 50, java.util.concurrent.TimeUnit.MILLISECONDS);
            Map<String, Object> fields;
            try {
                fields = Cbor.map(response.body());
            } catch (RuntimeException notCbor) {
                fields = Map.of();
            }
            int retryAfter = response.headers().firstValue("Retry-After").map(Integer::parseInt).orElse(0);
            return new Answer(response.statusCode(), fields, retryAfter);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
            return null;
        }
    }

    static void start(Runnable task) {
        THREADS.execute(task);
    }

    private Http() {
    }
}
