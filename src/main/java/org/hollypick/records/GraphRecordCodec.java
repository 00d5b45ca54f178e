package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.GraphOptions;
import org.hollypick.core.graph.NodeState;
import org.hollypick.io.Codec;

/**
 * Stored form of a graph's own record, which stands under the key of a job. While the graph is live it holds the
 * graph's options, and after its end a summary. What became of its nodes stands in its log: {@link GraphLogCodec}.
 */
public final class GraphRecordCodec {
    /** Fencing token that the record's creation was conditional on. */
    private static final String CREATED_UNDER_TOKEN = "under";
    /** Options of a live graph; its presence distinguishes a graph from a job. */
    private static final String OPTIONS = "graph";

    private static final String BASE = "base";
    private static final String RETRIES = "retries";
    private static final String CANCELS_ON_NODE_FAILURE = "end_on_failure";
    /** True in what the end of a graph left. */
    private static final String ENDED = "ended_graph";
    /** How many nodes the graph had when it ended. */
    private static final String NODE_COUNT = "nodes";

    private static final String FAILED_COUNT = "failed";
    private static final String CANCELLED_COUNT = "cancelled";
    /** Why the graph didn't end successfully; empty if it did. */
    private static final String REASON = "why";

    /** Fields of an ended graph's record that users are shown under the same names. */
    public static final List<String> END_SUMMARY_FIELDS = List.of(NODE_COUNT, FAILED_COUNT, CANCELLED_COUNT, REASON);

    private GraphRecordCodec() {}

    /** The record of a live graph that is created under a leader's fencing token. */
    public static ObjectNode live(GraphOptions options, long fencingToken) {
        ObjectNode record = Codec.object().put(CREATED_UNDER_TOKEN, fencingToken);
        ObjectNode graph = record.putObject(OPTIONS)
                .put(RETRIES, options.retries())
                .put(CANCELS_ON_NODE_FAILURE, options.cancelsOnNodeFailure());
        graph.set(BASE, JobCodec.encode(options.jobSpec()));
        return record;
    }

    /** The record that the end of a graph leaves: how many nodes ended in which state. */
    public static ObjectNode ended(TerminalStatus status, Graph graph, String reason) {
        return JobRecordCodec.encodeTerminal(status, graph.count(NodeState.DONE))
                .put(ENDED, true)
                .put(NODE_COUNT, graph.count())
                .put(FAILED_COUNT, graph.count(NodeState.FAILED))
                .put(CANCELLED_COUNT, graph.count(NodeState.CANCELLED))
                .put(REASON, reason);
    }

    /** Whether the record was left by the end of a graph. */
    public static boolean isEnded(JsonNode record) {
        return record.path(ENDED).asBoolean();
    }

    /** Whether the record is that of a live graph. */
    public static boolean isGraph(JsonNode record) {
        return record.has(OPTIONS);
    }

    /** The description in a live graph's record that holds its id, class, team and priority. */
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
