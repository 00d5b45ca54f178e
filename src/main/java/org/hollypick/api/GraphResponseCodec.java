package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.control.graphs.GraphResponse;
import org.hollypick.control.graphs.LiveGraph;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.GraphRejection;
import org.hollypick.core.graph.NodeState;
import org.hollypick.io.Codec;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.GraphRecordCodec;

/** Encodes the responses to users' requests about graphs. */
final class GraphResponseCodec {
    /** A result that is small enough to be stored with the graph. */
    static final String RESULT_VALUE = "value";
    /** A reference to a result that isn't stored with the graph. */
    static final String RESULT_REFERENCE = "ref";

    private static final String GRAPH_ID = "graph";
    /** The task id of each submitted node, by node id. */
    private static final String TASKS = "tasks";

    private static final String NODE = "node";
    private static final String STATE = "state";
    private static final String SEALED = "sealed";
    private static final String NODE_COUNT = "nodes_count";
    /** The number of nodes in each state. */
    private static final String COUNTS = "counts";
    /** One page of nodes. */
    private static final String NODES = "nodes";
    /** Index of the first node on the next page, if there is one. */
    private static final String NEXT_PAGE = "from";

    private static final String NODE_ID = "id";
    private static final String TASK_ID = "task";
    /** Why a node failed or was cancelled. */
    private static final String REASON = "why";
    /** The number of the attempt that may be running. */
    private static final String ATTEMPT = "try";

    private static final int MAX_REASON_LENGTH = 160;

    private GraphResponseCodec() {}

    // ---- changes ----

    /** Encodes the response to a request that changes a graph. */
    static ServerResponse write(GraphResponse response) {
        if (response instanceof GraphResponse.Accepted accepted) {
            return write(accepted);
        }
        if (response instanceof GraphResponse.NodeCancelled cancelled) {
            return ServerResponse.of(
                    200, Codec.object().put(NODE, cancelled.nodeId()).put(STATE, stateName(cancelled.state())));
        }
        return write(((GraphResponse.Rejected) response).rejection());
    }

    private static ServerResponse write(GraphResponse.Accepted accepted) {
        ObjectNode body = Codec.object().put(GRAPH_ID, accepted.graphId());
        ObjectNode tasks = body.putObject(TASKS);
        accepted.taskIds().forEach(tasks::put);
        int status = switch (accepted.acceptance()) {
            case CREATED -> 201;
            case CREATED_PARTIALLY -> 202;
            case ALREADY_KNOWN -> 200;
        };
        return ServerResponse.of(status, body);
    }

    private static ServerResponse write(GraphRejection rejection) {
        return switch (rejection.reason()) {
            case INVALID -> ServerResponse.error(422, rejection.message());
            case CONFLICT -> ServerResponse.error(409, rejection.message());
            case NOT_FOUND -> ServerResponse.error(404, rejection.message());
            case RETRY_LATER -> ServerResponse.retryLater(rejection.message());
        };
    }

    /** The name of a node's state in the user API. */
    static String stateName(NodeState state) {
        return switch (state) {
            case WAITING -> "waiting";
            case READY -> "ready";
            case DELEGATED -> "handed";
            case DONE -> "done";
            case FAILED -> "failed";
            case CANCELLED -> "cancelled";
        };
    }

    // ---- descriptions ----

    /**
     * Describes a graph whose nodes are loaded, with one page of them.
     *
     * @param status the status of the graph's job
     * @param firstNode index of the first node on the page
     * @param terminalRecord the graph's terminal record; empty if the graph hasn't ended
     */
    static ObjectNode describe(LiveGraph live, String status, int firstNode, Optional<JsonNode> terminalRecord) {
        Graph graph = live.graph();
        ObjectNode body = Codec.object()
                .put(GRAPH_ID, live.id())
                .put(SEALED, graph.isSealed())
                .put(NODE_COUNT, graph.count());
        ObjectNode counts = body.putObject(COUNTS);
        for (NodeState state : NodeState.values()) {
            counts.put(stateName(state), graph.count(state));
        }
        ArrayNode nodes = body.putArray(NODES);
        int end = Math.min(graph.durableNodes(), firstNode + GraphConstants.MAX_GRAPH_PAGE_NODES);
        for (int node = firstNode; node < end; node++) {
            nodes.add(describeNode(live, node));
        }
        if (end < graph.durableNodes()) {
            body.put(NEXT_PAGE, end);
        }
        body.put(JobStatus.STATE, status);
        terminalRecord.ifPresent(record -> addTerminalSummary(record, body));
        return body;
    }

    private static ObjectNode describeNode(LiveGraph live, int node) {
        Graph graph = live.graph();
        ObjectNode body = Codec.object()
                .put(NODE_ID, graph.id(node))
                .put(TASK_ID, live.id() + "/" + node)
                .put(STATE, stateName(graph.state(node)));
        String reason = graph.terminationReason(node);
        if (!reason.isEmpty()) {
            body.put(REASON, reason.substring(0, Math.min(MAX_REASON_LENGTH, reason.length())));
        }
        live.job().map(job -> job.assignments.get(node)).ifPresent(assignment -> body.put(ATTEMPT, assignment.attempt));
        return body;
    }

    /**
     * Describes a graph whose nodes aren't loaded, by its job's status.
     *
     * @param terminalRecord the graph's terminal record, whose summary is added; empty if the graph hasn't ended
     */
    static ObjectNode describe(String graphId, JsonNode jobStatus, Optional<JsonNode> terminalRecord) {
        ObjectNode body = jobStatus.deepCopy();
        terminalRecord.ifPresent(record -> addTerminalSummary(record, body));
        return body.put(GRAPH_ID, graphId);
    }

    private static void addTerminalSummary(JsonNode terminalRecord, ObjectNode body) {
        for (String field : GraphRecordCodec.END_SUMMARY_FIELDS) {
            if (!body.has(field)) {
                body.set(field, terminalRecord.path(field));
            }
        }
    }
}
