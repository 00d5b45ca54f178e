package org.hollypick.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * Submits graphs, follows them and, from inside their tasks, adds to them. Any controller takes any call, and every
 * call may be repeated: on 429, 503, silence or a lost connection the next address is tried, after {@code Retry-After}
 * or a growing, jittered wait, until the call's time is over.
 */
public final class HollypickClient implements AutoCloseable {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());

    private final List<String> addresses;
    private final Duration callTime;
    private final Duration answerTime;
    private final Duration pollEvery;
    private final HttpClient http;
    private final AtomicInteger next = new AtomicInteger();

    /** How long calls may take; every time has a default that suits the service. */
    public record Times(Duration call, Duration answer, Duration pollEvery) {
        public static Times defaults() {
            return new Times(Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofSeconds(2));
        }
    }

    public HollypickClient(List<String> addresses) {
        this(addresses, Times.defaults());
    }

    /** {@code addresses}: {@code host:port} of controllers, any number. */
    public HollypickClient(List<String> addresses, Times times) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("no address");
        }
        this.addresses = List.copyOf(addresses);
        this.callTime = times.call();
        this.answerTime = times.answer();
        this.pollEvery = times.pollEvery();
        this.http = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(2))
                .build();
    }

    @Override
    public void close() {
        // the JDK's client ends with its last reference; nothing else is held
    }

    // ---- graphs ----

    /** Submits a graph; done once it is accepted as a whole. */
    public CompletableFuture<Graph> submit(GraphSpec spec) {
        List<GraphSpec.Problem> problems = spec.check();
        if (!problems.isEmpty()) {
            return CompletableFuture.failedFuture(new HollypickException.Invalid(0, problems.toString()));
        }
        CompletableFuture<JsonNode> all = CompletableFuture.completedFuture(MissingNode.getInstance());
        for (ObjectNode call : spec.calls()) {
            all = all.thenCompose(done -> call("POST", "/graphs", call));
        }
        return all.thenApply(done -> graph(spec.id()));
    }

    /** A graph that was submitted, here or elsewhere. */
    public Graph graph(String id) {
        return new Graph(id);
    }

    /** When a job or graph is likely to be done, as the service answers. */
    public CompletableFuture<JsonNode> estimate(String id) {
        return call("GET", "/submissions/" + id + "/estimate", null);
    }

    /**
     * How a graph stands: {@code pending}, {@code running}, {@code done} or {@code aborted}, and its nodes by state.
     */
    public record Status(String status, JsonNode counts, String why) {
        public boolean over() {
            return status.equals("done") || status.equals("aborted");
        }
    }

    /** A graph on the service. */
    public final class Graph {
        private final String id;

        private Graph(String id) {
            this.id = id;
        }

        public String id() {
            return id;
        }

        public CompletableFuture<Status> status() {
            return show(0).thenApply(b -> new Status(
                    b.path("status").asText(), b.path("counts"), b.path("why").asText("")));
        }

        /** What the service tells of it, with a page of nodes from an index on. */
        public CompletableFuture<JsonNode> show(int from) {
            return call("GET", "/graphs/" + id + (from > 0 ? "?from=" + from : ""), null);
        }

        /** Done when the graph is over, however. */
        public CompletableFuture<Status> over() {
            return status().thenCompose(
                            s -> s.over() ? CompletableFuture.completedFuture(s) : after(pollEvery, this::over));
        }

        /** From its answer on no node starts. */
        public CompletableFuture<String> withdraw() {
            return call("POST", "/graphs/" + id + "/withdraw", JsonNodeFactory.instance.objectNode())
                    .thenApply(b -> b.path("status").asText());
        }

        /** Cancels a node and what needs it. */
        public CompletableFuture<String> withdraw(String node) {
            return call("POST", "/graphs/" + id + "/nodes/" + node + "/withdraw", JsonNodeFactory.instance.objectNode())
                    .thenApply(b -> b.path("state").asText());
        }

        /** The node's result once it is done, or that of what it handed on to; fails if it never can be. */
        public <T> CompletableFuture<T> result(String node, Class<T> type) {
            return call("GET", "/graphs/" + id + "/nodes/" + node + "/result", null, Long.MAX_VALUE)
                    .thenApply(b -> CBOR.convertValue(b.has("value") ? b.path("value") : b.path("ref"), type));
        }

        /** The part of the service that a running task of the graph speaks to. */
        public Running running(String node, long attempt) {
            return new Running(this, node, attempt);
        }
    }

    /** One attempt of a node, from inside its task. */
    public final class Running {
        private final Graph graph;
        private final String node;
        private final long attempt;
        private final ObjectNode call = JsonNodeFactory.instance.objectNode();

        private Running(Graph graph, String node, long attempt) {
            this.graph = graph;
            this.node = node;
            this.attempt = attempt;
            call.put("parent", node).put("try", attempt);
            call.putArray("nodes");
        }

        /** One more child; names have to be the same whenever the task runs again. */
        public Running child(String id, Task task, String... awaits) {
            call.withArray("nodes").add(GraphSpec.describe(id, task, List.of(awaits)));
            return this;
        }

        /** This node is done when that child is, and its result is that child's. The task ends without waiting. */
        public Running handOnTo(String child) {
            call.put("then", child);
            return this;
        }

        /** Adds the children; done once they are durable. */
        public CompletableFuture<Void> submit() {
            return call("POST", "/graphs/" + graph.id + "/nodes", call).thenApply(b -> null);
        }

        /** Keeps a small result. */
        public CompletableFuture<Void> result(Object value) {
            return keep(
                    JsonNodeFactory.instance.objectNode().put("try", attempt).set("value", CBOR.valueToTree(value)));
        }

        /** Keeps a reference to a result that is stored elsewhere. */
        public CompletableFuture<Void> resultAt(String reference) {
            return keep(
                    JsonNodeFactory.instance.objectNode().put("try", attempt).put("ref", reference));
        }

        private CompletableFuture<Void> keep(JsonNode body) {
            return call("POST", "/graphs/" + graph.id + "/nodes/" + node + "/result", body)
                    .thenApply(b -> null);
        }
    }

    // ---- calls ----

    private CompletableFuture<JsonNode> call(String method, String path, JsonNode body) {
        return call(method, path, body, System.nanoTime() + callTime.toNanos());
    }

    /** {@code until}: when to give up, by the steady clock. */
    private CompletableFuture<JsonNode> call(String method, String path, JsonNode body, long until) {
        return attempt(method, path, body, until, 0);
    }

    private CompletableFuture<JsonNode> attempt(String method, String path, JsonNode body, long until, int tries) {
        String address = addresses.get(Math.floorMod(next.get(), addresses.size()));
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(answerTime);
        try {
            request.method(
                    method,
                    body == null
                            ? HttpRequest.BodyPublishers.noBody()
                            : HttpRequest.BodyPublishers.ofByteArray(CBOR.writeValueAsBytes(body)));
        } catch (IOException e) {
            return CompletableFuture.failedFuture(new HollypickException.Invalid(0, e.getMessage()));
        }
        return http.sendAsync(
                        request.header("Content-Type", "application/cbor").build(),
                        HttpResponse.BodyHandlers.ofByteArray())
                .handle((response, failure) -> response == null
                        ? retry(method, path, body, until, tries, 0, failure.getMessage(), 0)
                        : answered(method, path, body, until, tries, response))
                .thenCompose(f -> f);
    }

    private CompletableFuture<JsonNode> answered(
            String method, String path, JsonNode body, long until, int tries, HttpResponse<byte[]> response) {
        JsonNode told = read(response.body());
        String error = told.path("error").asText(response.statusCode() + " without a reason");
        return switch (response.statusCode()) {
            case 200, 201, 202 -> CompletableFuture.completedFuture(told);
            case 400, 405, 422 ->
                CompletableFuture.failedFuture(new HollypickException.Invalid(response.statusCode(), error));
            case 404 -> CompletableFuture.failedFuture(new HollypickException.NotFound(error));
            case 409 -> CompletableFuture.failedFuture(new HollypickException.Conflict(error));
            default ->
                retry(
                        method,
                        path,
                        body,
                        until,
                        tries,
                        response.statusCode(),
                        error,
                        response.headers().firstValueAsLong("Retry-After").orElse(0));
        };
    }

    private CompletableFuture<JsonNode> retry(
            String method, String path, JsonNode body, long until, int tries, int status, String why, long afterS) {
        next.incrementAndGet();
        long backoff = Math.min(8_000, 250L << Math.min(tries, 5));
        long wait = Math.max(
                Math.min(afterS, 30) * 1_000,
                backoff / 2 + ThreadLocalRandom.current().nextLong(backoff / 2 + 1));
        if (until != Long.MAX_VALUE && System.nanoTime() + wait * 1_000_000 - until > 0) {
            return CompletableFuture.failedFuture(new HollypickException.Unavailable(
                    status, "no controller of " + addresses + " took the call within its time; the last word: " + why));
        }
        return after(Duration.ofMillis(wait), () -> attempt(method, path, body, until, tries + 1));
    }

    private static <T> CompletableFuture<T> after(Duration wait, Supplier<CompletableFuture<T>> then) {
        Executor later = CompletableFuture.delayedExecutor(wait.toMillis(), TimeUnit.MILLISECONDS);
        return CompletableFuture.supplyAsync(then, later).thenCompose(f -> f);
    }

    private static JsonNode read(byte[] bytes) {
        try {
            JsonNode tree = bytes.length == 0 ? null : CBOR.readTree(bytes);
            return tree == null ? MissingNode.getInstance() : tree;
        } catch (IOException e) {
            return MissingNode.getInstance(); // an answer from something that isn't hollypick
        }
    }
}
