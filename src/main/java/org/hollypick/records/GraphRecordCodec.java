package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.GraphOptions;
import org.hollypick.core.graph.NodeState;
import org.hollypick.io.Codec;

/**
 * Encodes and decodes a graph's own record, which is stored under the key of a job. While the graph is live, the record
 * holds the graph's options; after its end, a summary. The nodes and their results are in the log:
 * {@link GraphLogCodec}.
 */
public final class GraphRecordCodec {
    /** Fencing token that the record's creation was conditional on. */
    private static final String CREATED_UNDER_TOKEN = "under";
    /** Options of a live graph; its presence distinguishes a graph from a job. */
    private static final String OPTIONS = "graph";

    /** In the options: a job specification that holds the graph's id, class, team and priority. */
    private static final String BASE = "base";

    private static final String RETRIES = "retries";
    private static final String CANCELS_ON_NODE_FAILURE = "end_on_failure";
    /** True in the record of an ended graph. */
    private static final String ENDED = "ended_graph";
    /** Number of the graph's nodes when it ended. */
    private static final String NODE_COUNT = "nodes";

    private static final String FAILED_COUNT = "failed";
    private static final String CANCELLED_COUNT = "cancelled";
    /** Why the graph didn't end successfully; empty if it did. */
    private static final String REASON = "why";

    /** Fields of an ended graph's record that responses to users contain under the same names. */
    public static final List<String> END_SUMMARY_FIELDS = List.of(NODE_COUNT, FAILED_COUNT, CANCELLED_COUNT, REASON);

    private GraphRecordCodec() {}

    /** Encodes the record of a live graph, whose creation is conditional on the leader's fencing token. */
    public static ObjectNode live(GraphOptions options, long fencingToken) {
        ObjectNode record = Codec.object().put(CREATED_UNDER_TOKEN, fencingToken);
        ObjectNode graph = record.putObject(OPTIONS)
                .put(RETRIES, options.retries())
                .put(CANCELS_ON_NODE_FAILURE, options.cancelsOnNodeFailure());
        graph.set(BASE, JobCodec.encode(options.jobSpec()));
        return record;
    }

    /** Encodes the record of an ended graph: its status, and the number of nodes in each final state. */
    public static ObjectNode ended(TerminalStatus status, Graph graph, String reason) {
        return JobRecordCodec.encodeTerminal(status, graph.count(NodeState.DONE))
                .put(ENDED, true)
                .put(NODE_COUNT, graph.count())
                .put(FAILED_COUNT, graph.count(NodeState.FAILED))
                .put(CANCELLED_COUNT, graph.count(NodeState.CANCELLED))
                .put(REASON, reason);
    }

    /** Whether the record is that of an ended graph. */
    public static boolean isEnded(JsonNode record) {
        return record.path(ENDED).asBoolean();
    }

    /** Whether the record is that of a live graph. */
    public static boolean isGraph(JsonNode record) {
        return record.has(OPTIONS);
    }

    /** The encoded job specification in a live graph's record. */
    static JsonNode encodedJobSpec(JsonNode record) {
        return record.path(OPTIONS).path(BASE);
    }

    /** The fencing token that the record's creation was conditional on. */
    public static long createdUnderToken(JsonNode record) {
        return Codec.u64(record.path(CREATED_UNDER_TOKEN));
    }

    /** The options in a live graph's record. */
    public static GraphOptions options(JsonNode record) throws JobCodec.InvalidException {
        JsonNode graph = record.path(OPTIONS);
        return new GraphOptions(
                JobCodec.decode(graph.path(BASE)),
                graph.path(RETRIES).asInt(),
                graph.path(CANCELS_ON_NODE_FAILURE).asBoolean());
    }
}
