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
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP/1.1 with CBOR bodies on loopback addresses. */
final class Http {
    /** Threads for requests that block; all are daemons, so that the program ends when its main thread does. */
    static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });

    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .executor(THREADS)
            .build();

    private Http() {}

    /** status 0: no answer. */
    record Answer(int status, Map<String, Object> body) {
        static final Answer NONE = new Answer(0, Map.of());

        static Answer of(int status, Object... fields) {
            Map<String, Object> body = new LinkedHashMap<>();
            for (int i = 0; i < fields.length; i += 2) {
                body.put((String) fields[i], fields[i + 1]);
            }
            return new Answer(status, body);
        }

        String text(String field) {
            return String.valueOf(body.get(field));
        }
    }

    record Ask(String method, String path, Map<String, String> query, Map<String, Object> body) {}

    /** Returns the answer; {@link Answer#NONE} closes the connection without one. */
    interface Handler {
        Answer handle(Ask ask) throws Exception;
    }

    /** Starts a server on a free loopback port and returns its address. */
    static String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1000);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, Handler handler) {
        try {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new LinkedHashMap<>();
            String raw = exchange.getRequestURI().getQuery();
            if (raw != null) {
                for (String pair : raw.split("&")) {
                    int eq = pair.indexOf('=');
                    query.put(pair.substring(0, eq), pair.substring(eq + 1));
                }
            }
            Answer answer = handler.handle(new Ask(
                    exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, Cbor.map(body)));
            if (answer.status() == 0) {
                exchange.close();
                return;
            }
            byte[] bytes = Cbor.encode(answer.body());
            exchange.getResponseHeaders().set("Content-Type", "application/cbor");
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
            exchange.close();
        } catch (Exception e) {
            exchange.close();
        }
    }

    static Answer call(String address, String method, String path, Object body, long timeoutMs) {
        try {
            HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                    .timeout(Duration.ofMillis(timeoutMs))
                    .method(
                            method,
                            body == null
                                    ? HttpRequest.BodyPublishers.noBody()
                                    : HttpRequest.BodyPublishers.ofByteArray(
                                            body instanceof byte[] raw ? raw : Cbor.encode(body)));
            if (body != null) {
                request.header("Content-Type", "application/cbor");
            }
            HttpResponse<byte[]> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            return new Answer(response.statusCode(), Cbor.map(response.body()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Answer.NONE;
        } catch (IOException | RuntimeException e) {
            return Answer.NONE;
        }
    }
}
