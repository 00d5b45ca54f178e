package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.hollypick.core.JobSpec;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.core.graph.NodeState;
import org.hollypick.io.Codec;

/**
 * Encodes and decodes the log of a graph, from which a new leader rebuilds the graph. A record may hold several
 * entries, packed into one string. Field names are short because every controller holds all logs in memory.
 */
public final class GraphLogCodec {
    /** The kind of an entry. */
    private static final String KIND = "k";

    private static final String NODES_ADDED = "n";
    private static final String GRAPH_SEALED = "s";
    private static final String NODES_TERMINATED = "e";
    private static final String RESULT_RECORDED = "r";

    /** Index of the first added node. */
    private static final String FROM = "from";
    /** Id of the node whose task added the nodes; absent for nodes of the client. */
    private static final String PARENT = "p";
    /** Id of the node that the parent delegated its result to; absent if there is none. */
    private static final String CONTINUATION = "t";
    /** Task specifications that no earlier entry holds. */
    private static final String NEW_SPECS = "s";
    /**
     * Of added nodes: an array for each, with the node's id, the index of its task specification, and for each
     * dependency by how much its index is smaller than the node's. Of terminated nodes: the indexes of the roots. Of a
     * result: the node's index.
     */
    private static final String NODES = "n";

    /** Position of the first dependency in the array of an added node. */
    private static final int FIRST_DEPENDENCY_FIELD = 2;

    /** The final state of the first terminated node. */
    private static final String STATE = "as";

    private static final String FAILED = "FAILED";
    private static final String CANCELLED = "CANCELLED";
    /** Why nodes were terminated. */
    private static final String REASON = "why";

    /** The node's result, as its task sent it. */
    private static final String RESULT = "v";

    /** Of a record: the graph's id. */
    private static final String GRAPH = "g";
    /** Of a record: its packed entries. */
    private static final String PACKED_ENTRIES = "b";

    private GraphLogCodec() {}

    /** Receives the results that a log holds. */
    public interface ResultConsumer {
        /** Receives a node's result. */
        void accept(int node, JsonNode result);
    }

    // ---- writing ----

    /**
     * Creates an entry for nodes that were added to a graph. The graph has to contain them already.
     *
     * @param from index of the first node
     * @param to index after the last node
     * @param firstSpec index of the first task specification that no earlier entry holds
     * @param parentId the node that added them; null for nodes of the client
     * @param continuationId the node that the parent delegated its result to with this entry, or null
     */
    public static GraphLogEntry nodesAdded(
            Graph graph, int from, int to, int firstSpec, String parentId, String continuationId) {
        ObjectNode entry = Codec.object().put(KIND, NODES_ADDED).put(FROM, from);
        if (parentId != null) {
            entry.put(PARENT, parentId);
        }
        if (continuationId != null) {
            entry.put(CONTINUATION, continuationId);
        }
        ArrayNode newSpecs = entry.putArray(NEW_SPECS);
        ArrayNode nodes = entry.putArray(NODES);
        int nextSpec = firstSpec;
        for (int node = from; node < to; node++) {
            ArrayNode fields = nodes.addArray().add(graph.id(node)).add(graph.specIndex(node));
            for (int dependency : graph.dependencies(node)) {
                fields.add(node - dependency);
            }
            for (; nextSpec <= graph.specIndex(node); nextSpec++) {
                newSpecs.add(JobCodec.encode(graph.specs().get(nextSpec)));
            }
        }
        return new GraphLogEntry(entry);
    }

    /** Creates an entry for the sealing of the graph. */
    public static GraphLogEntry graphSealed() {
        return new GraphLogEntry(Codec.object().put(KIND, GRAPH_SEALED));
    }

    /**
     * Creates an entry for nodes that failed or were cancelled.
     *
     * @param roots indexes of the nodes from which the terminations of all others follow
     * @param state the final state of the first root; the others are cancelled
     * @param reason why the first root was terminated
     */
    public static GraphLogEntry nodesTerminated(int[] roots, NodeState state, String reason) {
        ObjectNode entry = Codec.object()
                .put(KIND, NODES_TERMINATED)
                .put(STATE, encode(state))
                .put(REASON, reason);
        ArrayNode nodes = entry.putArray(NODES);
        for (int root : roots) {
            nodes.add(root);
        }
        return new GraphLogEntry(entry);
    }

    /** Creates an entry for the result of a node's task. */
    public static GraphLogEntry resultRecorded(int node, JsonNode result) {
        ObjectNode entry = Codec.object().put(KIND, RESULT_RECORDED).put(NODES, node);
        entry.set(RESULT, result);
        return new GraphLogEntry(entry);
    }

    private static String encode(NodeState state) {
        return switch (state) {
            case FAILED -> FAILED;
            case CANCELLED -> CANCELLED;
            default ->
                throw new IllegalArgumentException(
                        "state of a terminated node is neither FAILED nor CANCELLED: " + state);
        };
    }

    private static NodeState decodeState(String state) throws JobCodec.InvalidException {
        return switch (state) {
            case FAILED -> NodeState.FAILED;
            case CANCELLED -> NodeState.CANCELLED;
            default ->
                throw new JobCodec.InvalidException(
                        "unknown state of terminated nodes in field " + STATE + ": " + state);
        };
    }

    // ---- reading ----

    /** Applies an entry to a graph that holds the effects of all entries before it. */
    public static void replay(GraphLogEntry entry, Graph graph, ResultConsumer results)
            throws JobCodec.InvalidException {
        JsonNode fields = entry.encoded();
        switch (fields.path(KIND).asText()) {
            case NODES_ADDED -> replayNodesAdded(fields, graph);
            case GRAPH_SEALED -> graph.seal();
            case NODES_TERMINATED -> replayNodesTerminated(fields, graph);
            case RESULT_RECORDED -> results.accept(fields.path(NODES).asInt(), fields.path(RESULT));
            default ->
                throw new JobCodec.InvalidException("unknown kind of log entry in field " + KIND + ": "
                        + fields.path(KIND).asText());
        }
    }

    private static void replayNodesAdded(JsonNode entry, Graph graph) throws JobCodec.InvalidException {
        int from = entry.path(FROM).asInt();
        if (from != graph.count()) {
            throw new JobCodec.InvalidException("log entry adds nodes from index " + from + " in field " + FROM
                    + ", but the graph has " + graph.count() + " nodes");
        }
        List<JobSpec> specs = new ArrayList<>(graph.specs());
        for (JsonNode spec : entry.path(NEW_SPECS)) {
            specs.add(JobCodec.decode(spec));
        }
        List<String> addedIds = new ArrayList<>();
        entry.path(NODES).forEach(fields -> addedIds.add(fields.path(0).asText()));
        List<NodeSpec> added = new ArrayList<>();
        for (int i = 0; i < addedIds.size(); i++) {
            JsonNode fields = entry.path(NODES).path(i);
            List<String> dependencies = new ArrayList<>();
            for (int k = FIRST_DEPENDENCY_FIELD; k < fields.size(); k++) {
                int dependency = from + i - fields.path(k).asInt();
                dependencies.add(dependency >= from ? addedIds.get(dependency - from) : graph.id(dependency));
            }
            added.add(new NodeSpec(addedIds.get(i), specs.get(fields.path(1).asInt()), dependencies));
        }
        graph.append(added, textOrNull(entry, PARENT), textOrNull(entry, CONTINUATION));
        graph.markDurable(graph.count());
    }

    private static String textOrNull(JsonNode entry, String field) {
        return entry.path(field).isTextual() ? entry.path(field).asText() : null;
    }

    private static void replayNodesTerminated(JsonNode entry, Graph graph) throws JobCodec.InvalidException {
        int[] roots = new int[entry.path(NODES).size()];
        Arrays.setAll(roots, i -> entry.path(NODES).path(i).asInt());
        graph.terminateRoots(
                roots,
                decodeState(entry.path(STATE).asText()),
                entry.path(REASON).asText());
    }

    // ---- records ----

    /**
     * Encodes several entries as one record. The entries are packed into one string, which takes far less memory than a
     * JSON tree.
     */
    public static ObjectNode encodeRecord(String graphId, List<GraphLogEntry> entries) {
        ArrayNode list = Codec.array();
        entries.forEach(entry -> list.add(entry.encoded()));
        return Codec.object().put(GRAPH, graphId).put(PACKED_ENTRIES, PackedText.pack(Codec.write(list, false)));
    }

    /** Decodes the entries of a record in their order. */
    public static List<GraphLogEntry> decodeRecord(JsonNode record) throws JobCodec.InvalidException {
        JsonNode list = Codec.read(PackedText.unpack(record.path(PACKED_ENTRIES).asText()), false);
        if (list == null || !list.isArray()) {
            throw new JobCodec.InvalidException("packed entries in field " + PACKED_ENTRIES + " aren't a list");
        }
        List<GraphLogEntry> entries = new ArrayList<>();
        list.forEach(entry -> entries.add(new GraphLogEntry(entry)));
        return entries;
    }

    /** The id of the graph that a record belongs to. */
    public static String graphId(JsonNode record) {
        return record.path(GRAPH).asText();
    }

    /** Encoded size of a record that holds only this entry, in bytes. */
    public static int recordBytes(String graphId, GraphLogEntry entry) {
        return RecordSize.encodedBytes(encodeRecord(graphId, List.of(entry)));
    }
}
