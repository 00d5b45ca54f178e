package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.control.graphs.GraphResponse;
import org.hollypick.control.graphs.LiveGraph;
import org.hollypick.core.JobSpec;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.GraphOptions;
import org.hollypick.core.graph.GraphRejection;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.core.graph.NodeState;
import org.hollypick.io.Codec;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.JobCodec;

/**
 * The wire names of graphs. A node's task has a submission's fields; those of the call's {@code task} hold where it
 * says nothing.
 */
final class GraphCodec {
    private static final Set<String> TASK = Set.of(
            "cores",
            "gpus",
            "ram_gb",
            "flavours",
            "hall",
            "lendable",
            "bundle",
            "pull_gb",
            "expect_s",
            "bookmark_s",
            "stow_s");

    private GraphCodec() {}

    /** A call that can't be read, with what is wrong in it. */
    static final class Malformed extends Exception {
        Malformed(String message) {
            super(message);
        }
    }

    static GraphOptions head(String id, JsonNode b) throws Malformed {
        JsonNode retries = b.path("retries");
        if (!retries.isMissingNode()
                && !retries.isNull()
                && (!retries.isIntegralNumber() || retries.asInt(-1) < 0 || retries.asInt() > 1_000)) {
            throw new Malformed("retries");
        }
        String onFailure = b.path("on_failure").isTextual()
                ? b.path("on_failure").asText()
                : b.path("on_failure").isMissingNode() || b.path("on_failure").isNull() ? "continue" : "";
        if (!onFailure.equals("continue") && !onFailure.equals("end")) {
            throw new Malformed("on_failure: \"continue\" or \"end\"");
        }
        return new GraphOptions(
                task(id, b, Codec.object()),
                retries.isIntegralNumber() ? retries.asInt() : GraphConstants.GRAPH_RETRIES,
                onFailure.equals("end"));
    }

    /**
     * {@code call}: holds the nodes, and a {@code task} with what most of them have; {@code base}: a description with
     * the graph's class, team and rank.
     */
    static List<NodeSpec> nodes(JsonNode call, JsonNode base) throws Malformed {
        JsonNode list = call.path("nodes");
        List<NodeSpec> nodes = new ArrayList<>();
        if (!list.isArray() && !list.isMissingNode() && !list.isNull()) {
            throw new Malformed("nodes: not a list");
        }
        for (JsonNode n : list) {
            String id = n.path("id").asText("");
            if (!n.path("id").isTextual() || !isNodeId(id)) {
                throw new Malformed("nodes[" + nodes.size() + "].id");
            }
            List<String> awaits = new ArrayList<>();
            JsonNode await = n.path("awaits");
            if (!await.isArray() && !await.isMissingNode() && !await.isNull()) {
                throw new Malformed("node " + id + ": awaits");
            }
            for (JsonNode other : await) {
                if (!other.isTextual() || !isNodeId(other.asText())) {
                    throw new Malformed("node " + id + ": awaits");
                }
                awaits.add(other.asText());
            }
            ObjectNode merged = base.deepCopy();
            copy(call.path("task"), merged);
            try {
                nodes.add(new NodeSpec(id, task(base.path("name_id").asText(), merged, n), awaits));
            } catch (Malformed e) {
                throw new Malformed("node " + id + ": " + e.getMessage());
            }
        }
        return nodes;
    }

    static boolean isNodeId(String id) {
        if (id.isEmpty() || id.length() > GraphConstants.GRAPH_ID_LENGTH) {
            return false;
        }
        return id.chars().allMatch(c -> c > ' ' && c < 127 && c != '/' && c != '?' && c != '#' && c != '%');
    }

    private static void copy(JsonNode from, ObjectNode to) {
        from.fields().forEachRemaining(f -> {
            if (TASK.contains(f.getKey())) {
                to.set(f.getKey(), f.getValue());
            }
        });
    }

    private static JobSpec task(String id, JsonNode base, JsonNode node) throws Malformed {
        ObjectNode b = Codec.object()
                .put("name_id", id)
                .put("shape", "batch")
                .put("shards", 1)
                .put("together", false)
                .put("spread", false)
                .put("gpus", 0.0)
                .put("lendable", true)
                .put("pull_gb", 0.0)
                .put("expect_s", 0.0)
                .put("bookmark_s", 0.0)
                .put("stow_s", 0.0);
        for (String field : List.of("jobkind", "owner", "rank")) {
            if (base.has(field)) {
                b.set(field, base.path(field));
            }
        }
        copy(base, b);
        copy(base.path("task"), b);
        copy(node, b);
        if (node.path("together").asBoolean() || node.path("spread").asBoolean()) {
            throw new Malformed("together, spread: not for nodes of a graph");
        }
        try {
            return JobCodec.read(b);
        } catch (JobCodec.Invalid e) {
            throw new Malformed("missing or invalid: " + e.getMessage());
        }
    }

    /** What is small enough to be kept, or a reference to what isn't. */
    static JsonNode result(JsonNode b) throws Malformed {
        boolean value = b.has("value");
        if (value == b.path("ref").isTextual() || b.path("ref").asText("").length() > 1_024) {
            throw new Malformed("either value, or ref of at most 1024 characters");
        }
        return value
                ? Codec.object().set("value", b.path("value"))
                : Codec.object().put("ref", b.path("ref").asText());
    }

    private static String stateName(NodeState state) {
        return switch (state) {
            case WAITING -> "waiting";
            case READY -> "ready";
            case DELEGATED -> "handed";
            case DONE -> "done";
            case FAILED -> "failed";
            case CANCELLED -> "cancelled";
        };
    }

    static ServerResponse response(GraphResponse response) {
        if (response instanceof GraphResponse.Accepted accepted) {
            ObjectNode body = Codec.object().put("graph", accepted.graphId());
            ObjectNode tasks = body.putObject("tasks");
            accepted.taskIds().forEach(tasks::put);
            return ServerResponse.of(status(accepted.acceptance()), body);
        }
        if (response instanceof GraphResponse.NodeCancelled cancelled) {
            return ServerResponse.of(
                    200, Codec.object().put("node", cancelled.nodeId()).put("state", stateName(cancelled.state())));
        }
        return response(((GraphResponse.Rejected) response).rejection());
    }

    private static int status(GraphResponse.Acceptance acceptance) {
        return switch (acceptance) {
            case CREATED -> 201;
            case CREATED_PARTIALLY -> 202;
            case ALREADY_KNOWN -> 200;
        };
    }

    private static ServerResponse response(GraphRejection rejection) {
        return switch (rejection.reason()) {
            case INVALID -> ServerResponse.error(422, rejection.message());
            case CONFLICT -> ServerResponse.error(409, rejection.message());
            case NOT_FOUND -> ServerResponse.error(404, rejection.message());
            case RETRY_LATER -> ServerResponse.retryLater(rejection.message());
        };
    }

    /** A graph as its users see it, with a page of nodes from an index on. */
    static ObjectNode describe(LiveGraph live, String id, int from) {
        Graph graph = live.graph();
        ObjectNode b =
                Codec.object().put("graph", id).put("sealed", graph.isSealed()).put("nodes_count", graph.count());
        ObjectNode counts = b.putObject("counts");
        for (NodeState state : NodeState.values()) {
            counts.put(stateName(state), graph.count(state));
        }
        ArrayNode nodes = b.putArray("nodes");
        int to = Math.min(graph.durableNodes(), from + GraphConstants.GRAPH_PAGE_NODES);
        for (int i = from; i < to; i++) {
            ObjectNode n = nodes.addObject()
                    .put("id", graph.id(i))
                    .put("task", id + "/" + i)
                    .put("state", stateName(graph.state(i)));
            if (!graph.terminationReason(i).isEmpty()) {
                n.put(
                        "why",
                        graph.terminationReason(i)
                                .substring(
                                        0,
                                        Math.min(160, graph.terminationReason(i).length())));
            }
            int node = i;
            live.job().map(job -> job.assignments.get(node)).ifPresent(assignment -> n.put("try", assignment.attempt));
        }
        if (to < graph.durableNodes()) {
            b.put("from", to);
        }
        return b;
    }
}
