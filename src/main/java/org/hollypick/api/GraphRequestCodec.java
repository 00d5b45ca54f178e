package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.control.graphs.NodeAttempt;
import org.hollypick.core.JobSpec;
import org.hollypick.core.graph.GraphOptions;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.io.Codec;
import org.hollypick.records.JobCodec;

/**
 * Reads the bodies of users' requests about graphs. A node's task has the fields of a job submission; where it says
 * nothing, the fields of the request's {@link #DEFAULTS} hold.
 */
final class GraphRequestCodec {
    /** The graph's id, which is one of a job. */
    static final String GRAPH_ID = "name_id";

    /** Of a submission: how often a node's failed task is started again. */
    private static final String RETRIES = "retries";
    /** Of a submission: what a failed node leads to. */
    private static final String ON_FAILURE = "on_failure";
    /** Only what depends on the failed node is cancelled. */
    private static final String ON_FAILURE_CONTINUE = "continue";
    /** The whole graph is cancelled. */
    private static final String ON_FAILURE_CANCEL = "end";
    /** Of a submission: whether further requests add nodes of the client. */
    private static final String MORE = "more";

    private static final String NODES = "nodes";
    /** Task fields of all nodes in the request that don't say otherwise. */
    private static final String DEFAULTS = "task";

    private static final String NODE_ID = "id";
    private static final String DEPENDENCIES = "awaits";

    /** Of a running task's request: the node that adds children. */
    private static final String PARENT = "parent";
    /** Of a running task's request: its attempt. */
    private static final String ATTEMPT = "try";
    /** Of a running task's request: the child that it delegates its result to. */
    private static final String CONTINUATION = "then";

    private static final int MAX_RETRIES = 1_000;
    private static final int MAX_REFERENCE_LENGTH = 1_024;

    /** Fields that describe the graph as a whole, and that each of its nodes has. */
    private static final List<String> GRAPH_FIELDS = List.of("jobkind", "owner", "rank");

    /** Fields of a job submission that describe a node's task. */
    private static final Set<String> TASK_FIELDS = Set.of(
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
    /** Fields of a job submission that place several tasks relative to each other. */
    private static final List<String> GANG_FIELDS = List.of("together", "spread");

    private GraphRequestCodec() {}

    /** A body that can't be read; the message says what is wrong in it. */
    static final class MalformedRequestException extends Exception {
        MalformedRequestException(String message) {
            super(message);
        }
    }

    // ---- submissions ----

    /** The options of a new graph. */
    static GraphOptions options(String graphId, JsonNode request) throws MalformedRequestException {
        int retries = retries(request.path(RETRIES));
        boolean cancelsOnNodeFailure = cancelsOnNodeFailure(request.path(ON_FAILURE));
        return new GraphOptions(task(graphId, request, Codec.object()), retries, cancelsOnNodeFailure);
    }

    private static int retries(JsonNode retries) throws MalformedRequestException {
        if (isAbsent(retries)) {
            return GraphConstants.DEFAULT_GRAPH_TASK_RETRIES;
        }
        if (!retries.isIntegralNumber() || retries.asInt(-1) < 0 || retries.asInt() > MAX_RETRIES) {
            throw new MalformedRequestException(RETRIES);
        }
        return retries.asInt();
    }

    private static boolean cancelsOnNodeFailure(JsonNode onFailure) throws MalformedRequestException {
        if (isAbsent(onFailure)) {
            return false;
        }
        return switch (onFailure.isTextual() ? onFailure.asText() : "") {
            case ON_FAILURE_CONTINUE -> false;
            case ON_FAILURE_CANCEL -> true;
            default -> throw new MalformedRequestException("on_failure: \"continue\" or \"end\"");
        };
    }

    /** Whether the client has no further nodes to submit. */
    static boolean isLastPart(JsonNode request) {
        return !request.path(MORE).asBoolean();
    }

    // ---- nodes ----

    /**
     * The nodes in a request.
     *
     * @param base a description with the graph's id, class, team and priority
     */
    static List<NodeSpec> nodes(JsonNode request, JobSpec base) throws MalformedRequestException {
        JsonNode list = request.path(NODES);
        if (!list.isArray() && !isAbsent(list)) {
            throw new MalformedRequestException("nodes: not a list");
        }
        ObjectNode defaults = JobCodec.encode(base);
        copyTaskFields(request.path(DEFAULTS), defaults);
        List<NodeSpec> nodes = new ArrayList<>();
        for (JsonNode node : list) {
            JsonNode id = node.path(NODE_ID);
            if (!isNodeId(id)) {
                throw new MalformedRequestException("nodes[" + nodes.size() + "].id");
            }
            nodes.add(node(node, id.asText(), base.id(), defaults));
        }
        return nodes;
    }

    private static NodeSpec node(JsonNode node, String id, String graphId, JsonNode defaults)
            throws MalformedRequestException {
        List<String> dependencies = dependencies(node.path(DEPENDENCIES), id);
        try {
            return new NodeSpec(id, task(graphId, defaults, node), dependencies);
        } catch (MalformedRequestException e) {
            throw new MalformedRequestException("node " + id + ": " + e.getMessage());
        }
    }

    private static List<String> dependencies(JsonNode list, String nodeId) throws MalformedRequestException {
        if (!list.isArray() && !isAbsent(list)) {
            throw new MalformedRequestException("node " + nodeId + ": awaits");
        }
        List<String> dependencies = new ArrayList<>();
        for (JsonNode dependency : list) {
            if (!isNodeId(dependency)) {
                throw new MalformedRequestException("node " + nodeId + ": awaits");
            }
            dependencies.add(dependency.asText());
        }
        return dependencies;
    }

    private static boolean isNodeId(JsonNode id) {
        String text = id.asText("");
        return id.isTextual()
                && !text.isEmpty()
                && text.length() <= GraphConstants.MAX_NODE_ID_CHARACTERS
                && text.chars().allMatch(GraphRequestCodec::isNodeIdCharacter);
    }

    /** Printable, and without a meaning of its own in a path. */
    private static boolean isNodeIdCharacter(int character) {
        return character > ' ' && character < 127 && "/?#%".indexOf(character) < 0;
    }

    private static JobSpec task(String graphId, JsonNode defaults, JsonNode node) throws MalformedRequestException {
        ObjectNode submission = Codec.object()
                .put(GRAPH_ID, graphId)
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
        for (String field : GRAPH_FIELDS) {
            if (defaults.has(field)) {
                submission.set(field, defaults.path(field));
            }
        }
        copyTaskFields(defaults, submission);
        copyTaskFields(defaults.path(DEFAULTS), submission);
        copyTaskFields(node, submission);
        if (GANG_FIELDS.stream().anyMatch(field -> node.path(field).asBoolean())) {
            throw new MalformedRequestException("together, spread: not for nodes of a graph");
        }
        try {
            return JobCodec.decode(submission);
        } catch (JobCodec.InvalidException e) {
            throw new MalformedRequestException("missing or invalid: " + e.getMessage());
        }
    }

    private static void copyTaskFields(JsonNode from, ObjectNode to) {
        from.fields().forEachRemaining(field -> {
            if (TASK_FIELDS.contains(field.getKey())) {
                to.set(field.getKey(), field.getValue());
            }
        });
    }

    // ---- requests of running tasks ----

    /** The attempt of a node that adds children. */
    static NodeAttempt parentAttempt(String graphId, JsonNode request) throws MalformedRequestException {
        if (!request.path(PARENT).isTextual() || !request.path(ATTEMPT).isIntegralNumber()) {
            throw new MalformedRequestException("parent, try");
        }
        return new NodeAttempt(graphId, request.path(PARENT).asText(), Codec.u64(request.path(ATTEMPT)));
    }

    /** The child that a node delegates its result to, if it does. */
    static Optional<String> continuation(JsonNode request) {
        JsonNode continuation = request.path(CONTINUATION);
        return continuation.isTextual() ? Optional.of(continuation.asText()) : Optional.empty();
    }

    /** The attempt of a node that gives a result. */
    static NodeAttempt attempt(String graphId, String nodeId, JsonNode request) throws MalformedRequestException {
        if (!request.path(ATTEMPT).isIntegralNumber()) {
            throw new MalformedRequestException(ATTEMPT);
        }
        return new NodeAttempt(graphId, nodeId, Codec.u64(request.path(ATTEMPT)));
    }

    /** A result as it is kept: a small value, or a reference to one that is stored elsewhere. */
    static JsonNode result(JsonNode request) throws MalformedRequestException {
        boolean hasValue = request.has(GraphResponseCodec.RESULT_VALUE);
        JsonNode reference = request.path(GraphResponseCodec.RESULT_REFERENCE);
        if (hasValue == reference.isTextual() || reference.asText("").length() > MAX_REFERENCE_LENGTH) {
            throw new MalformedRequestException("either value, or ref of at most 1024 characters");
        }
        return hasValue
                ? Codec.object().set(GraphResponseCodec.RESULT_VALUE, request.path(GraphResponseCodec.RESULT_VALUE))
                : Codec.object().put(GraphResponseCodec.RESULT_REFERENCE, reference.asText());
    }

    private static boolean isAbsent(JsonNode field) {
        return field.isMissingNode() || field.isNull();
    }
}
