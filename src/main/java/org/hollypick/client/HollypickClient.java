package org.hollypick.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Submits graphs, follows them and, from inside their tasks, adds to them. Any controller takes any call, and every
 * call is idempotent: it is repeated, with another controller and after a wait, until it is answered or its time is
 * over. Failures are {@link HollypickException}s. Thread-safe.
 */
public final class HollypickClient implements AutoCloseable {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final String GRAPHS_PATH = "/graphs";

    private final RetryingHttpClient http;
    private final Duration pollInterval;

    /**
     * How long calls may take.
     *
     * @param call until a call is given up
     * @param answer until a controller has to respond, before another one is tried
     * @param pollEvery between two status queries
     */
    public record Times(Duration call, Duration answer, Duration pollEvery) {
        /** Times that suit the service. */
        public static Times defaults() {
            return new Times(Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofSeconds(2));
        }
    }

    /** A client with the default times; {@code addresses}: {@code host:port} of controllers, any number. */
    public HollypickClient(List<String> addresses) {
        this(addresses, Times.defaults());
    }

    /** A client; {@code addresses}: {@code host:port} of controllers, any number. */
    public HollypickClient(List<String> addresses, Times times) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("no address");
        }
        this.http = new RetryingHttpClient(addresses, times.call(), times.answer());
        this.pollInterval = times.pollEvery();
    }

    @Override
    public void close() {
        // the JDK's client ends with its last reference; nothing else is held
    }

    /** Submits a graph; completes once it is accepted as a whole. */
    public CompletableFuture<Graph> submit(GraphSpec spec) {
        List<GraphSpec.Problem> problems = spec.check();
        if (!problems.isEmpty()) {
            return CompletableFuture.failedFuture(new HollypickException.Invalid(0, problems.toString()));
        }
        CompletableFuture<JsonNode> last = CompletableFuture.completedFuture(MissingNode.getInstance());
        for (ObjectNode request : spec.submissionRequests()) {
            last = last.thenCompose(previous -> http.send(POST, GRAPHS_PATH, request));
        }
        return last.thenApply(response -> graph(spec.id()));
    }

    /** A graph that was submitted, here or elsewhere. */
    public Graph graph(String id) {
        return new Graph(id);
    }

    /** When a job or graph is likely to be done, as the service answers. */
    public CompletableFuture<JsonNode> estimate(String id) {
        return http.send(GET, "/submissions/" + id + "/estimate", null);
    }

    private static ObjectNode emptyBody() {
        return JsonNodeFactory.instance.objectNode();
    }

    /**
     * The status of a graph.
     *
     * @param status {@code pending}, {@code running}, {@code done} or {@code aborted}
     * @param counts how many nodes are in each state
     * @param why the graph was aborted; empty if it wasn't
     */
    public record Status(String status, JsonNode counts, String why) {
        /** Whether the graph has ended. */
        public boolean over() {
            return status.equals("done") || status.equals("aborted");
        }
    }

    /** A graph on the service. */
    public final class Graph {
        private final String id;
        private final String path;

        private Graph(String id) {
            this.id = id;
            this.path = GRAPHS_PATH + "/" + id;
        }

        /** The graph's id. */
        public String id() {
            return id;
        }

        /** Its status now. */
        public CompletableFuture<Status> status() {
            return show(0).thenApply(response -> new Status(
                    response.path(WireFields.STATUS).asText(),
                    response.path(WireFields.COUNTS),
                    response.path(WireFields.TERMINATION_REASON).asText("")));
        }

        /** The service's description of it, with a page of nodes that begins with that index. */
        public CompletableFuture<JsonNode> show(int from) {
            return http.send(GET, path + (from > 0 ? "?from=" + from : ""), null);
        }

        /** Completes when the graph has ended, however. */
        public CompletableFuture<Status> over() {
            return status().thenCompose(status -> status.over()
                    ? CompletableFuture.completedFuture(status)
                    : RetryingHttpClient.runAfter(pollInterval, this::over));
        }

        /** Cancels the graph; once that completes, no node starts. Gives the graph's status. */
        public CompletableFuture<String> withdraw() {
            return http.send(POST, path + "/withdraw", emptyBody())
                    .thenApply(response -> response.path(WireFields.STATUS).asText());
        }

        /** Cancels a node and what depends on it. Gives the node's state. */
        public CompletableFuture<String> withdraw(String node) {
            return http.send(POST, nodePath(node) + "/withdraw", emptyBody())
                    .thenApply(response -> response.path(WireFields.STATE).asText());
        }

        /** The node's result once it is done, or that of its continuation; fails if it never can be. */
        public <T> CompletableFuture<T> result(String node, Class<T> type) {
            return http.sendUntilAnswered(GET, nodePath(node) + "/result", null).thenApply(response -> {
                JsonNode value = response.has(WireFields.RESULT_VALUE)
                        ? response.path(WireFields.RESULT_VALUE)
                        : response.path(WireFields.RESULT_REFERENCE);
                return CBOR.convertValue(value, type);
            });
        }

        /** What a running task of the graph may ask for. */
        public Running running(String node, long attempt) {
            return new Running(this, node, attempt);
        }

        private String nodePath(String node) {
            return path + "/nodes/" + node;
        }
    }

    /** One attempt of a node, from inside its task. Not thread-safe. */
    public final class Running {
        private final Graph graph;
        private final String node;
        private final long attempt;
        private final ObjectNode childrenRequest = JsonNodeFactory.instance.objectNode();

        private Running(Graph graph, String node, long attempt) {
            this.graph = graph;
            this.node = node;
            this.attempt = attempt;
            childrenRequest.put(WireFields.PARENT, node).put(WireFields.ATTEMPT, attempt);
            childrenRequest.putArray(WireFields.NODES);
        }

        /** One more child; ids have to be the same whenever the task runs again. */
        public Running child(String id, Task task, String... awaits) {
            childrenRequest.withArray(WireFields.NODES).add(GraphSpec.toJson(id, task, List.of(awaits)));
            return this;
        }

        /**
         * Delegates this node's result to a child: the node is done when that child is, and has its result. The task
         * ends without waiting for it.
         */
        public Running handOnTo(String child) {
            childrenRequest.put(WireFields.CONTINUATION, child);
            return this;
        }

        /** Adds the children; completes once they are durable. */
        public CompletableFuture<Void> submit() {
            return http.send(POST, graph.path + "/nodes", childrenRequest).thenApply(response -> null);
        }

        /** Keeps a small result. */
        public CompletableFuture<Void> result(Object value) {
            return recordResult(attemptBody().set(WireFields.RESULT_VALUE, CBOR.valueToTree(value)));
        }

        /** Keeps a reference to a result that is stored elsewhere. */
        public CompletableFuture<Void> resultAt(String reference) {
            return recordResult(attemptBody().put(WireFields.RESULT_REFERENCE, reference));
        }

        private ObjectNode attemptBody() {
            return JsonNodeFactory.instance.objectNode().put(WireFields.ATTEMPT, attempt);
        }

        private CompletableFuture<Void> recordResult(JsonNode body) {
            return http.send(POST, graph.nodePath(node) + "/result", body).thenApply(response -> null);
        }
    }
}
