package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.api.GraphRequestCodec.MalformedRequestException;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.control.graphs.GraphResponse;
import org.hollypick.control.graphs.GraphService;
import org.hollypick.control.graphs.LiveGraph;
import org.hollypick.control.graphs.NodeAttempt;
import org.hollypick.core.graph.GraphOptions;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.core.graph.NodeState;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.GraphRecordCodec;

/** Handles requests about graphs on the leader. Confined to the event loop. */
final class GraphEndpoints {
    private final StoreReplica replica;
    private final UserApi userApi;
    private final LocalJobState localJobs;
    private final Admission admission;

    GraphEndpoints(StoreReplica replica, UserApi userApi, LocalJobState localJobs, Admission admission) {
        this.replica = replica;
        this.userApi = userApi;
        this.localJobs = localJobs;
        this.admission = admission;
    }

    /**
     * Handles a request.
     *
     * @param graphs the graphs of this controller's term as leader
     */
    void handle(GraphService graphs, GraphRequest request, Consumer<ServerResponse> responder) {
        try {
            switch (request.endpoint()) {
                case SUBMIT -> submit(graphs, request, responder);
                case SHOW -> show(request, responder);
                case CANCEL_GRAPH -> userApi.cancel(request.graphId(), responder);
                case APPEND_CHILDREN -> appendChildren(graphs, request, responder);
                case RECORD_RESULT, READ_RESULT, CANCEL_NODE -> handleNode(graphs, request, responder);
                case METHOD_NOT_ALLOWED -> methodNotAllowed(graphs, request, responder);
                case NO_SUCH_GRAPH -> responder.accept(ServerResponse.error(404, "no such graph"));
                case MISSING_GRAPH_ID -> responder.accept(ServerResponse.error(400, GraphRequestCodec.GRAPH_ID));
                case UNKNOWN_PATH -> responder.accept(ServerResponse.error(404, "no such path"));
            }
        } catch (MalformedRequestException e) {
            responder.accept(ServerResponse.error(400, e.getMessage()));
        }
    }

    private void methodNotAllowed(GraphService graphs, GraphRequest request, Consumer<ServerResponse> responder) {
        if (request.nodeId() != null && graphs.find(request.graphId()).isEmpty()) {
            noLiveGraph(request.graphId(), responder);
        } else {
            responder.accept(ServerResponse.error(405, "method not allowed"));
        }
    }

    // ---- submissions and added children ----

    private void submit(GraphService graphs, GraphRequest request, Consumer<ServerResponse> responder)
            throws MalformedRequestException {
        String graphId = request.graphId();
        Optional<JsonNode> record = record(graphId);
        if (record.filter(GraphRecordCodec::isEnded).isPresent()) {
            show(request, responder); // a retry of the submission after the graph ended
            return;
        }
        if (record.isPresent() && !GraphRecordCodec.isGraph(record.get())) {
            responder.accept(ServerResponse.error(409, "the id is a job's"));
            return;
        }
        if (!admission.isReady()) {
            responder.accept(machineTypesUnknown());
            return;
        }
        GraphOptions options = GraphRequestCodec.options(graphId, request.body());
        List<NodeSpec> nodes = GraphRequestCodec.nodes(request.body(), options.jobSpec());
        Optional<ServerResponse> rejection = rejectionOf(nodes);
        if (rejection.isPresent()) {
            responder.accept(rejection.get());
            return;
        }
        boolean last = GraphRequestCodec.isLastPart(request.body());
        graphs.requestHandler().submit(graphId, options, nodes, last, respondTo(responder));
    }

    private void appendChildren(GraphService graphs, GraphRequest request, Consumer<ServerResponse> responder)
            throws MalformedRequestException {
        Optional<LiveGraph> live =
                graphs.find(request.graphId()).filter(graph -> graph.job().isPresent());
        if (live.isEmpty()) {
            noLiveGraph(request.graphId(), responder);
            return;
        }
        NodeAttempt parent = GraphRequestCodec.parentAttempt(request.graphId(), request.body());
        List<NodeSpec> nodes =
                GraphRequestCodec.nodes(request.body(), live.get().job().orElseThrow().spec);
        if (!admission.isReady()) {
            responder.accept(machineTypesUnknown());
            return;
        }
        Optional<ServerResponse> rejection = rejectionOf(nodes);
        if (rejection.isPresent()) {
            responder.accept(rejection.get());
            return;
        }
        String continuationId = GraphRequestCodec.continuation(request.body()).orElse(null);
        graphs.requestHandler().appendChildren(parent, nodes, continuationId, respondTo(responder));
    }

    /** The error response for the first node that can never run; empty if all nodes can. */
    private Optional<ServerResponse> rejectionOf(List<NodeSpec> nodes) {
        for (NodeSpec node : nodes) {
            Optional<String> reason = admission.rejectionReason(node.task());
            if (reason.isPresent()) {
                return Optional.of(ServerResponse.error(422, "node " + node.id() + ": " + reason.get()));
            }
        }
        return Optional.empty();
    }

    // ---- status ----

    private void show(GraphRequest request, Consumer<ServerResponse> responder) {
        userApi.status(
                request.graphId(),
                jobResponse -> responder.accept(
                        jobResponse.status() == 200 ? description(request, jobResponse.body()) : jobResponse));
    }

    private ServerResponse description(GraphRequest request, JsonNode jobStatus) {
        String graphId = request.graphId();
        Optional<JsonNode> record = record(graphId);
        Optional<JsonNode> terminalRecord = record.filter(GraphRecordCodec::isEnded);
        if (record.isPresent() && terminalRecord.isEmpty() && !GraphRecordCodec.isGraph(record.get())) {
            return ServerResponse.error(404, "no graph, but a job");
        }
        Optional<LiveGraph> live =
                localJobs.activeTerm().flatMap(term -> term.graphs().find(graphId));
        if (live.isPresent() && live.get().hasUncommittedChanges()) {
            return uncommittedChanges();
        }
        if (live.isEmpty()) {
            return ServerResponse.of(200, GraphResponseCodec.describe(graphId, jobStatus, terminalRecord));
        }
        String status = jobStatus.path(JobStatus.STATE).asText();
        return ServerResponse.of(
                200, GraphResponseCodec.describe(live.get(), status, request.firstNode(), terminalRecord));
    }

    private Optional<JsonNode> record(String graphId) {
        return Optional.ofNullable(replica.get(StoreKeys.job(graphId))).map(StoreReplica.Entry::data);
    }

    // ---- nodes ----

    private void handleNode(GraphService graphs, GraphRequest request, Consumer<ServerResponse> responder)
            throws MalformedRequestException {
        Optional<LiveGraph> live = graphs.find(request.graphId());
        boolean reads = request.endpoint() == GraphRequest.Endpoint.READ_RESULT;
        if (live.isEmpty() || (!reads && live.get().job().isEmpty())) {
            noLiveGraph(request.graphId(), responder);
            return;
        }
        switch (request.endpoint()) {
            case READ_RESULT -> responder.accept(result(live.get(), request.nodeId()));
            case CANCEL_NODE ->
                graphs.requestHandler().cancelNode(request.graphId(), request.nodeId(), respondTo(responder));
            default -> recordResult(graphs, request, responder);
        }
    }

    private static void recordResult(GraphService graphs, GraphRequest request, Consumer<ServerResponse> responder)
            throws MalformedRequestException {
        NodeAttempt attempt = GraphRequestCodec.attempt(request.graphId(), request.nodeId(), request.body());
        JsonNode result = GraphRequestCodec.result(request.body());
        graphs.requestHandler().recordResult(attempt, result, respondTo(responder));
    }

    private static ServerResponse result(LiveGraph live, String nodeId) {
        if (live.hasUncommittedChanges()) {
            return uncommittedChanges();
        }
        if (!live.graph().contains(nodeId)) {
            return ServerResponse.error(404, "no such node");
        }
        int node = live.graph().indexOf(nodeId);
        NodeState state = live.graph().state(node);
        if (state.isUnsuccessful()) {
            String reason = live.graph().terminationReason(node);
            return ServerResponse.error(409, GraphResponseCodec.stateName(state) + ": " + reason);
        }
        if (state != NodeState.DONE) {
            return ServerResponse.retryLater("not done yet");
        }
        return live.result(node)
                .map(result -> ServerResponse.of(200, result))
                .orElseGet(() -> ServerResponse.error(404, "the node is done and gave no result"));
    }

    // ---- responses ----

    private static Consumer<GraphResponse> respondTo(Consumer<ServerResponse> responder) {
        return response -> responder.accept(GraphResponseCodec.write(response));
    }

    /**
     * Responds if no graph with this id was found, or if the graph has ended and can't be changed any more. A job
     * status found under the id means that the graph has ended or that the id is that of a job (409); otherwise the
     * response to the status query is passed on.
     */
    private void noLiveGraph(String graphId, Consumer<ServerResponse> responder) {
        userApi.status(
                graphId,
                jobResponse -> responder.accept(
                        jobResponse.status() == 200
                                ? ServerResponse.error(409, "the graph is over, or its id a job's")
                                : jobResponse));
    }

    /**
     * The response while terminations or results aren't durable: after a change of leader they might be lost, so they
     * aren't shown to users yet.
     */
    private static ServerResponse uncommittedChanges() {
        return ServerResponse.retryLater("what a node ended with is being recorded");
    }

    /** The response while the machine types aren't known, so that no node can be checked. */
    private static ServerResponse machineTypesUnknown() {
        return ServerResponse.retryLater("starting");
    }
}
