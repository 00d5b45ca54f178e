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
 * Decodes the bodies of users' requests about graphs. A node's task has the fields of a job submission; fields that a
 * node omits are taken from the request's {@link #DEFAULTS}.
 */
final class GraphRequestCodec {
    /** The graph's id, which is also the id of its job. */
    static final String GRAPH_ID = "name_id";

    /** In a submission: how many times a node's failed task is retried. */
    private static final String RETRIES = "retries";
    /** In a submission: the reaction to a failed node, {@link #ON_FAILURE_CONTINUE} or {@link #ON_FAILURE_CANCEL}. */
    private static final String ON_FAILURE = "on_failure";
    /** Cancels only the nodes that depend on the failed node. */
    private static final String ON_FAILURE_CONTINUE = "continue";
    /** Cancels the whole graph. */
    private static final String ON_FAILURE_CANCEL = "end";
    /** In a submission: whether the client will add further nodes in later requests. */
    private static final String MORE = "more";

    private static final String NODES = "nodes";
    /** Default task fields for all nodes in the request. */
    private static final String DEFAULTS = "task";

    private static final String NODE_ID = "id";
    private static final String DEPENDENCIES = "awaits";

    /** In a running task's request: the node that adds children. */
    private static final String PARENT = "parent";
    /** In a running task's request: the number of the task's attempt. */
    private static final String ATTEMPT = "try";
    /** In a running task's request: the child to which the node delegates its result. */
    private static final String CONTINUATION = "then";

    private static final int MAX_RETRIES = 1_000;
    private static final int MAX_REFERENCE_LENGTH = 1_024;

    /** Fields of the graph that apply to each of its nodes: job class, team and priority. */
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
    /**
     * Fields of a job submission that place several tasks relative to each other; not allowed for a node, which has one
     * task.
     */
    private static final List<String> GANG_FIELDS = List.of("together", "spread");

    private GraphRequestCodec() {}

    /** Thrown for an invalid request body; the message names the field for the user. */
    static final class MalformedRequestException extends Exception {
        MalformedRequestException(String message) {
            super(message);
        }
    }

    // ---- submissions ----

    /** Decodes the options of a new graph. */
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

    /** Whether the client will submit no further nodes. */
    static boolean isLastPart(JsonNode request) {
        return !request.path(MORE).asBoolean();
    }

    // ---- nodes ----

    /**
     * Decodes the nodes in a request.
     *
     * @param base a job description that holds the graph's id, class, team and priority
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

    /** Whether the character is printable ASCII and not reserved in a URL path. */
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

    /** Decodes the attempt of the node that adds children. */
    static NodeAttempt parentAttempt(String graphId, JsonNode request) throws MalformedRequestException {
        if (!request.path(PARENT).isTextual() || !request.path(ATTEMPT).isIntegralNumber()) {
            throw new MalformedRequestException("parent, try");
        }
        return new NodeAttempt(graphId, request.path(PARENT).asText(), Codec.u64(request.path(ATTEMPT)));
    }

    /** Decodes the child to which a node delegates its result; empty if the node delegates none. */
    static Optional<String> continuation(JsonNode request) {
        JsonNode continuation = request.path(CONTINUATION);
        return continuation.isTextual() ? Optional.of(continuation.asText()) : Optional.empty();
    }

    /** Decodes the attempt of the node that sends a result. */
    static NodeAttempt attempt(String graphId, String nodeId, JsonNode request) throws MalformedRequestException {
        if (!request.path(ATTEMPT).isIntegralNumber()) {
            throw new MalformedRequestException(ATTEMPT);
        }
        return new NodeAttempt(graphId, nodeId, Codec.u64(request.path(ATTEMPT)));
    }

    /** Decodes a result in its stored form: a small value, or a reference to a value that is stored elsewhere. */
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
