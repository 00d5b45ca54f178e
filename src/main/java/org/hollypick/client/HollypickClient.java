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
 * Submits task graphs, reads their status and, from inside a running task, adds nodes to its graph. Any controller
 * accepts any call, and all calls are idempotent: a call is retried at the next controller, after a backoff, until a
 * controller gives a final response or the call's time limit is reached. Failures are {@link HollypickException}s.
 * Thread-safe.
 */
public final class HollypickClient implements AutoCloseable {
    private static final ObjectMapper CBOR = new ObjectMapper(new CBORFactory());
    private static final String GET = "GET";
    private static final String POST = "POST";
    private static final String GRAPHS_PATH = "/graphs";

    private final RetryingHttpClient http;
    private final Duration pollInterval;

    /**
     * The time limits of calls.
     *
     * @param call the time after which a call fails, all retries included
     * @param answer the time within which a controller must respond; otherwise the next one is tried
     * @param pollEvery the interval between two status queries
     */
    public record Times(Duration call, Duration answer, Duration pollEvery) {
        /** Returns the default time limits. */
        public static Times defaults() {
            return new Times(Duration.ofSeconds(60), Duration.ofSeconds(5), Duration.ofSeconds(2));
        }
    }

    /**
     * Creates a client with the default time limits; {@code addresses}: {@code host:port} of one or more controllers.
     */
    public HollypickClient(List<String> addresses) {
        this(addresses, Times.defaults());
    }

    /** Creates a client; {@code addresses}: {@code host:port} of one or more controllers. */
    public HollypickClient(List<String> addresses, Times times) {
        if (addresses.isEmpty()) {
            throw new IllegalArgumentException("addresses is empty: at least one controller address is required");
        }
        this.http = new RetryingHttpClient(addresses, times.call(), times.answer());
        this.pollInterval = times.pollEvery();
    }

    @Override
    public void close() {
        // The JDK's HTTP client releases its resources when it is no longer referenced.
    }

    /** Submits a graph; completes once the service has accepted all of its nodes. */
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

    /** Returns a graph that was submitted earlier, by this client or another one. */
    public Graph graph(String id) {
        return new Graph(id);
    }

    /** Returns the service's estimate of when a job or graph will be done. */
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
     * @param counts the number of nodes in each state
     * @param why the reason why the graph was aborted; empty if it wasn't
     */
    public record Status(String status, JsonNode counts, String why) {
        /** Returns whether the graph has ended. */
        public boolean over() {
            return status.equals("done") || status.equals("aborted");
        }
    }

    /** A graph that was submitted to the service. */
    public final class Graph {
        private final String id;
        private final String path;

        private Graph(String id) {
            this.id = id;
            this.path = GRAPHS_PATH + "/" + id;
        }

        /** Returns the graph's id. */
        public String id() {
            return id;
        }

        /** Returns the graph's current status. */
        public CompletableFuture<Status> status() {
            return show(0).thenApply(response -> new Status(
                    response.path(WireFields.STATUS).asText(),
                    response.path(WireFields.COUNTS),
                    response.path(WireFields.TERMINATION_REASON).asText("")));
        }

        /** Returns the service's description of the graph, with the page of nodes that begins at index {@code from}. */
        public CompletableFuture<JsonNode> show(int from) {
            return http.send(GET, path + (from > 0 ? "?from=" + from : ""), null);
        }

        /** Completes when the graph has ended, whether successfully or not. */
        public CompletableFuture<Status> over() {
            return status().thenCompose(status -> status.over()
                    ? CompletableFuture.completedFuture(status)
                    : RetryingHttpClient.runAfter(pollInterval, this::over));
        }

        /** Cancels the graph and returns its status; no node starts after the call has completed. */
        public CompletableFuture<String> withdraw() {
            return http.send(POST, path + "/withdraw", emptyBody())
                    .thenApply(response -> response.path(WireFields.STATUS).asText());
        }

        /** Cancels a node and the nodes that depend on it, and returns its state. */
        public CompletableFuture<String> withdraw(String node) {
            return http.send(POST, nodePath(node) + "/withdraw", emptyBody())
                    .thenApply(response -> response.path(WireFields.STATE).asText());
        }

        /**
         * Returns the result of a node, or of its continuation. Waits without a time limit until the node is done;
         * fails if the node can have no result, for example because it was cancelled.
         */
        public <T> CompletableFuture<T> result(String node, Class<T> type) {
            return http.sendUntilAnswered(GET, nodePath(node) + "/result", null).thenApply(response -> {
                JsonNode value = response.has(WireFields.RESULT_VALUE)
                        ? response.path(WireFields.RESULT_VALUE)
                        : response.path(WireFields.RESULT_REFERENCE);
                return CBOR.convertValue(value, type);
            });
        }

        /** Returns the calls that a running task of the graph can make, as the given attempt of its node. */
        public Running running(String node, long attempt) {
            return new Running(this, node, attempt);
        }

        private String nodePath(String node) {
            return path + "/nodes/" + node;
        }
    }

    /** The calls of a running task, which is one attempt of a node. Not thread-safe. */
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

        /** Adds a child to the next {@link #submit}. Each attempt of the task must use the same ids. */
        public Running child(String id, Task task, String... awaits) {
            childrenRequest.withArray(WireFields.NODES).add(GraphSpec.toJson(id, task, List.of(awaits)));
            return this;
        }

        /**
         * Makes a child the continuation of this node: the node is done when that child is done, and has the child's
         * result. The task can end without waiting for the child.
         */
        public Running handOnTo(String child) {
            childrenRequest.put(WireFields.CONTINUATION, child);
            return this;
        }

        /** Adds the children to the graph; completes once they are stored durably. */
        public CompletableFuture<Void> submit() {
            return http.send(POST, graph.path + "/nodes", childrenRequest).thenApply(response -> null);
        }

        /** Stores a small result with the graph. */
        public CompletableFuture<Void> result(Object value) {
            return recordResult(attemptBody().set(WireFields.RESULT_VALUE, CBOR.valueToTree(value)));
        }

        /** Stores a reference to a result that is stored elsewhere. */
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
