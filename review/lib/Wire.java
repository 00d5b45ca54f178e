package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
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
import java.util.concurrent.Executors;

/** HTTP with CBOR bodies on loopback addresses, and the record of a run. */
final class Wire {
    static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long STARTED = System.nanoTime();
    private static PrintWriter record;

    private Wire() {}

    static ObjectNode map() {
        return JSON.createObjectNode();
    }

    static JsonNode json(String text) {
        try {
            return JSON.readTree(text);
        } catch (IOException e) {
            throw new IllegalArgumentException(e);
        }
    }

    // ---- the record ----

    static synchronized void openRecord(String file) throws IOException {
        record = new PrintWriter(file, "UTF-8");
    }

    /** Seconds since the start of the script's program. */
    static double now() {
        return (System.nanoTime() - STARTED) / 1e9;
    }

    static synchronized void log(String line) {
        if (record != null) {
            record.printf("%8.3f %s%n", now(), line);
            record.flush();
        }
    }

    static void say(String line) {
        log(line);
        System.out.printf("%8.3f %s%n", now(), line);
    }

    // ---- the run ----

    /** A case: plays it and returns true if the rule held, false if it was broken. */
    interface Play {
        boolean held() throws Exception;
    }

    /** Thrown if a case couldn't run. */
    static final class CannotRun extends Exception {
        CannotRun(String why) {
            super(why);
        }
    }

    private static final int BROKEN = 10;
    private static final int CANNOT_RUN = 2;
    private static final double LIMIT_S = 117;

    /** Plays a case and ends this program: with 0 if the rule held, 10 if it was broken, 2 if it couldn't run. */
    static void run(String recordFile, Play play) {
        int code = CANNOT_RUN;
        try {
            openRecord(recordFile);
            Thread limit = new Thread(() -> {
                sleep(LIMIT_S);
                say("the case couldn't run: its time is over");
                System.exit(CANNOT_RUN);
            });
            limit.setDaemon(true);
            limit.start();
            code = play.held() ? 0 : BROKEN;
            say(code == 0 ? "the rule held" : "the rule was broken");
        } catch (Exception e) {
            say("the case couldn't run: " + e);
        }
        System.exit(code);
    }

    // ---- servers ----

    /** An answer: status and body. */
    record Answer(int status, JsonNode body) {}

    /** Handles one request; null: the connection is closed without an answer. */
    interface Handler {
        Answer handle(String method, String path, Map<String, String> query, JsonNode body) throws Exception;
    }

    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> serveOne(exchange, handler));
        server.start();
        return server;
    }

    private static void serveOne(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            JsonNode body = null;
            try {
                body = bytes.length == 0 ? null : CBOR.readTree(bytes);
            } catch (IOException e) {
                log("malformed body received: " + e);
            }
            URI uri = exchange.getRequestURI();
            Answer answer;
            try {
                answer = handler.handle(exchange.getRequestMethod(), uri.getPath(), query(uri.getQuery()), body);
            } catch (Exception e) {
                log("stand-in failed: " + e);
                answer = new Answer(500, map());
            }
            if (answer == null) {
                return;
            }
            byte[] out = CBOR.writeValueAsBytes(answer.body == null ? map() : answer.body);
            exchange.getResponseHeaders().set("Content-Type", "application/cbor");
            exchange.sendResponseHeaders(answer.status, out.length);
            exchange.getResponseBody().write(out);
        }
    }

    private static Map<String, String> query(String query) {
        Map<String, String> values = new HashMap<>();
        if (query != null) {
            for (String pair : query.split("&")) {
                int eq = pair.indexOf('=');
                if (eq > 0) {
                    values.put(pair.substring(0, eq), pair.substring(eq + 1));
                }
            }
        }
        return values;
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    // ---- clients ----

    static final HttpClient CLIENT = client();

    static HttpClient client() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(1000))
                .executor(Executors.newCachedThreadPool(task -> {
                    Thread thread = new Thread(task);
                    thread.setDaemon(true);
                    return thread;
                }))
                .build();
    }

    /** Sends a request; status 0 if there is no answer in time. */
    static Answer call(String method, String address, String path, byte[] body, long timeoutMs) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs));
        request.method(
                method,
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofByteArray(body));
        try {
            HttpResponse<byte[]> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            JsonNode tree = null;
            try {
                tree = response.body().length == 0 ? null : CBOR.readTree(response.body());
            } catch (IOException e) {
                tree = null;
            }
            return new Answer(response.statusCode(), tree == null ? map() : tree);
        } catch (IOException e) {
            return new Answer(0, map().put("error", String.valueOf(e)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, map().put("error", "interrupted"));
        }
    }

    static Answer call(String method, String address, String path, JsonNode body, long timeoutMs) {
        try {
            return call(method, address, path, body == null ? null : CBOR.writeValueAsBytes(body), timeoutMs);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
