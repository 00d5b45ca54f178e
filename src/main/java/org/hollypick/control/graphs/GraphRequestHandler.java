package org.hollypick.control.graphs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.control.graphs.GraphResponse.Acceptance;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.GraphOptions;
import org.hollypick.core.graph.GraphRejection;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.core.graph.NodeState;
import org.hollypick.records.RecordSize;

/**
 * Handles requests that change graphs, on the leader. All requests are idempotent, and each is answered once its
 * changes are durable. Confined to the event loop.
 */
public final class GraphRequestHandler {
    private final GraphContext context;
    private final GraphService graphs;
    private final int maxRecordBytes;

    GraphRequestHandler(GraphContext context, GraphService graphs) {
        this.context = context;
        this.graphs = graphs;
        this.maxRecordBytes = RecordSize.maxBytes(context.settings());
    }

    // ---- requests of clients ----

    /**
     * Creates a graph, or adds further nodes of the client to one that isn't sealed.
     *
     * @param last whether the client will add no further nodes; the graph is then sealed
     */
    public void submit(
            String graphId, GraphOptions options, List<NodeSpec> nodes, boolean last, Consumer<GraphResponse> respond) {
        Optional<LiveGraph> existing = graphs.findLoaded(graphId);
        if (isOverloaded(graphId)) {
            reject(overloaded(), respond);
        } else if (existing.isPresent()) {
            appendClientNodes(existing.get(), nodes, last, respond);
        } else {
            create(graphId, options, nodes, last, respond);
        }
    }

    private void create(
            String graphId, GraphOptions options, List<NodeSpec> nodes, boolean last, Consumer<GraphResponse> respond) {
        LiveGraph created = graphs.newGraph(graphId, options);
        Optional<GraphRejection> rejection = validate(created, nodes, null, null);
        if (rejection.isPresent()) {
            reject(rejection.get(), respond);
            return;
        }
        graphs.createRecord(created, stored -> {
            if (stored) {
                appendClientNodes(created, nodes, last, respond);
            } else {
                reject(storeUnavailable(), respond);
            }
        });
    }

    private void appendClientNodes(
            LiveGraph live, List<NodeSpec> nodes, boolean last, Consumer<GraphResponse> respond) {
        boolean hasNewNodes = nodes.stream().anyMatch(node -> !live.graph().contains(node.id()));
        Optional<GraphRejection> rejection = checkOpen(live)
                .or(() -> validate(live, nodes, null, null))
                .or(() -> hasNewNodes && live.isSealRequested()
                        ? Optional.of(GraphRejection.conflict("the graph is sealed"))
                        : Optional.empty());
        if (rejection.isPresent()) {
            reject(rejection.get(), respond);
            return;
        }
        live.appendNodes(nodes);
        boolean seals = last && !live.isSealRequested();
        if (seals) {
            live.requestSeal();
        }
        Acceptance created = last ? Acceptance.CREATED : Acceptance.CREATED_PARTIALLY;
        Acceptance acceptance = hasNewNodes || seals ? created : Acceptance.ALREADY_KNOWN;
        respondWhenDurable(live, () -> accepted(acceptance, live, nodes), respond);
    }

    /** Cancels a node and all nodes that depend on it. */
    public void cancelNode(String graphId, String nodeId, Consumer<GraphResponse> respond) {
        LiveGraph live = graphs.findLoaded(graphId).orElse(null);
        if (live == null || !live.graph().contains(nodeId) || live.job().isEmpty()) {
            reject(GraphRejection.notFound("no such node"), respond);
            return;
        }
        if (live.isEnded()) {
            reject(graphEnded(), respond);
            return;
        }
        int node = live.graph().indexOf(nodeId);
        if (!live.graph().isTerminal(node)) {
            live.terminateNode(node, NodeState.CANCELLED, "cancelled by its user", () -> {});
        }
        NodeState state = live.graph().state(node);
        respondWhenDurable(live, () -> new GraphResponse.NodeCancelled(nodeId, state), respond);
    }

    // ---- requests of running tasks ----

    /**
     * Adds children of a running node. Nodes that an earlier attempt added are recognized by their ids and not added
     * again.
     *
     * @param continuationId the node that the parent delegates its result to, or null
     */
    public void appendChildren(
            NodeAttempt parent, List<NodeSpec> nodes, String continuationId, Consumer<GraphResponse> respond) {
        Optional<GraphRejection> rejection = checkRunning(parent);
        if (rejection.isPresent()) {
            reject(rejection.get(), respond);
            return;
        }
        LiveGraph live = graphs.findLoaded(parent.graphId()).orElseThrow();
        rejection = validate(live, nodes, parent.nodeId(), continuationId);
        if (rejection.isPresent()) {
            reject(rejection.get(), respond);
            return;
        }
        boolean changed = live.appendChildren(parent.nodeId(), nodes, continuationId);
        Acceptance acceptance = changed ? Acceptance.CREATED : Acceptance.ALREADY_KNOWN;
        respondWhenDurable(live, () -> accepted(acceptance, live, nodes), respond);
    }

    /**
     * Records a running node's result: a small value, or a reference to a larger one. Once a result is recorded, a
     * different one is rejected.
     */
    public void recordResult(NodeAttempt attempt, JsonNode result, Consumer<GraphResponse> respond) {
        Optional<GraphRejection> rejection = checkRunning(attempt);
        if (rejection.isPresent()) {
            reject(rejection.get(), respond);
            return;
        }
        LiveGraph live = graphs.findLoaded(attempt.graphId()).orElseThrow();
        int node = live.graph().indexOf(attempt.nodeId());
        Optional<JsonNode> existing = live.ownResult(node);
        rejection = checkResult(live, existing, result);
        if (rejection.isPresent()) {
            reject(rejection.get(), respond);
            return;
        }
        if (existing.isEmpty()) {
            live.recordResult(node, result);
        }
        Acceptance acceptance = existing.isEmpty() ? Acceptance.CREATED : Acceptance.ALREADY_KNOWN;
        respondWhenDurable(live, () -> accepted(acceptance, live, List.of()), respond);
    }

    private Optional<GraphRejection> checkResult(LiveGraph live, Optional<JsonNode> existing, JsonNode result) {
        int bytes = RecordSize.encodedBytes(result);
        int maxBytes = Math.min(GraphConstants.GRAPH_RESULT_BYTES, maxRecordBytes / 2);
        if (bytes > maxBytes) {
            return Optional.of(GraphRejection.invalid(
                    "a result of more than " + maxBytes + " bytes: store it elsewhere, and give a reference"));
        }
        if (existing.isPresent()) {
            return existing.get().equals(result)
                    ? Optional.empty()
                    : Optional.of(GraphRejection.conflict("another result is known"));
        }
        return live.totalResultBytes() + bytes > GraphConstants.GRAPH_ALL_RESULTS_BYTES
                ? Optional.of(GraphRejection.invalid("the graph's results are larger than "
                        + GraphConstants.GRAPH_ALL_RESULTS_BYTES + " bytes together"))
                : Optional.empty();
    }

    // ---- checks ----

    /** Returns why a request of a task attempt is rejected; empty if the attempt is assigned and not being stopped. */
    private Optional<GraphRejection> checkRunning(NodeAttempt attempt) {
        if (isOverloaded(attempt.graphId())) {
            return Optional.of(overloaded());
        }
        Optional<LiveGraph> found = graphs.findLoaded(attempt.graphId());
        if (found.isEmpty()) {
            return Optional.of(GraphRejection.notFound("no such graph"));
        }
        LiveGraph live = found.get();
        return checkOpen(live).or(() -> checkAttempt(live, attempt));
    }

    private Optional<GraphRejection> checkAttempt(LiveGraph live, NodeAttempt attempt) {
        int node = live.graph().indexOf(attempt.nodeId());
        if (node < 0) {
            return Optional.of(GraphRejection.invalid("unknown node " + attempt.nodeId()));
        }
        Assignment assignment = live.job().orElseThrow().assignments.get(node);
        boolean ready = live.graph().state(node) == NodeState.READY;
        if (ready && assignment != null && isRunning(assignment, attempt.attempt())) {
            return Optional.empty();
        }
        if (ready && assignment == null && !context.scheduler().reconciliationComplete()) {
            // After a failover, the machine that runs the attempt may not have sent a heartbeat yet.
            return Optional.of(GraphRejection.retryLater("not every machine has reported yet"));
        }
        return Optional.of(GraphRejection.conflict(
                "attempt " + Long.toUnsignedString(attempt.attempt()) + " of " + attempt.nodeId() + " is over"));
    }

    private static boolean isRunning(Assignment assignment, long attempt) {
        return assignment.attempt == attempt && assignment.mayExist() && !assignment.stopRequested();
    }

    /** Returns why the graph can't be changed now; empty if it can. */
    private static Optional<GraphRejection> checkOpen(LiveGraph live) {
        if (live.isEnded()) {
            return Optional.of(graphEnded());
        }
        return live.job().isEmpty()
                ? Optional.of(GraphRejection.retryLater("its first call is being recorded"))
                : Optional.empty();
    }

    /**
     * Returns why nodes may not be added to a graph; empty if they may. A node's dependencies are limited so that the
     * node's log entry fits into one record.
     */
    private Optional<GraphRejection> validate(
            LiveGraph live, List<NodeSpec> nodes, String parentId, String continuationId) {
        int maxDependencies = maxRecordBytes / GraphConstants.GRAPH_DEPENDENCY_BYTES;
        for (NodeSpec node : nodes) {
            if (node.dependencies().size() > maxDependencies) {
                return Optional.of(GraphRejection.invalid("node " + node.id() + " awaits more than " + maxDependencies
                        + " nodes: join them through further nodes"));
            }
        }
        return live.graph().validate(nodes, parentId, continuationId);
    }

    /** Whether a change would wait too long to be written. Such a request is rejected before it changes anything. */
    private boolean isOverloaded(String graphId) {
        int pending =
                graphs.findLoaded(graphId).map(LiveGraph::pendingLogEntries).orElse(0);
        return context.store().shouldShedWrite() || pending > GraphConstants.GRAPH_WRITE_BACKLOG;
    }

    // ---- responses ----

    private static GraphRejection overloaded() {
        return GraphRejection.retryLater("busy");
    }

    private static GraphRejection graphEnded() {
        return GraphRejection.conflict("the graph is over");
    }

    private static GraphRejection storeUnavailable() {
        return GraphRejection.retryLater("state service");
    }

    private static void reject(GraphRejection rejection, Consumer<GraphResponse> respond) {
        respond.accept(new GraphResponse.Rejected(rejection));
    }

    private static GraphResponse accepted(Acceptance acceptance, LiveGraph live, List<NodeSpec> nodes) {
        Graph graph = live.graph();
        Map<String, String> taskIds = new LinkedHashMap<>();
        nodes.forEach(node -> taskIds.put(node.id(), live.id() + "/" + graph.indexOf(node.id())));
        return new GraphResponse.Accepted(acceptance, live.id(), taskIds);
    }

    /**
     * Responds once all changes so far are durable, or with a rejection after
     * {@link GraphConstants#GRAPH_RESPONSE_TIMEOUT_MS}.
     */
    private void respondWhenDurable(LiveGraph live, Supplier<GraphResponse> response, Consumer<GraphResponse> respond) {
        PendingResponse pending = new PendingResponse(respond);
        live.whenDurable(() -> pending.send(response));
        if (pending.isSent()) {
            return;
        }
        context.eventLoop()
                .after(
                        GraphConstants.GRAPH_RESPONSE_TIMEOUT_MS,
                        () -> pending.send(() -> new GraphResponse.Rejected(storeUnavailable())));
        context.requestReconcile().run();
    }

    /** A response that is sent once: when the changes are durable or on the timeout, whichever comes first. */
    private static final class PendingResponse {
        private final Consumer<GraphResponse> respond;
        private boolean sent;

        PendingResponse(Consumer<GraphResponse> respond) {
            this.respond = respond;
        }

        boolean isSent() {
            return sent;
        }

        void send(Supplier<GraphResponse> response) {
            if (!sent) {
                sent = true;
                respond.accept(response.get());
            }
        }
    }
}
