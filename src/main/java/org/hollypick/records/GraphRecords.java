package org.hollypick.records;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.hollypick.core.JobSpec;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.io.Codec;

/** What the records of a graph hold: one in the place of a job's, and a log of what became of its nodes, packed. */
public final class GraphRecords {
    private static final String GRAPH = "graph";
    private static final String ENDED = "ended_graph";

    private GraphRecords() {}

    /** What holds for the graph as a whole. {@code base}: its class, team and rank. */
    public record Head(JobSpec base, int retries, boolean endOnFailure) {}

    public static ObjectNode live(Head head, long leaderRecordRevision) {
        ObjectNode record = Codec.object().put("under", leaderRecordRevision);
        ObjectNode graph =
                record.putObject(GRAPH).put("retries", head.retries).put("end_on_failure", head.endOnFailure);
        graph.set("base", JobCodec.write(head.base));
        return record;
    }

    /** Whether it is what the end of a graph left. */
    public static boolean isEnded(JsonNode record) {
        return record.path(ENDED).asBoolean();
    }

    public static boolean isGraph(JsonNode record) {
        return record.has(GRAPH);
    }

    /** The description that holds the graph's class, team and rank. */
    static JsonNode base(JsonNode record) {
        return record.path(GRAPH).path("base");
    }

    public static Head head(JsonNode record) throws JobCodec.Invalid {
        JsonNode graph = record.path(GRAPH);
        return new Head(
                JobCodec.read(graph.path("base")),
                graph.path("retries").asInt(),
                graph.path("end_on_failure").asBoolean());
    }

    /** The end of a graph: how many nodes ended how. */
    public static ObjectNode over(String status, Graph graph, String why) {
        ObjectNode record = Records.over(status, graph.count(Graph.State.DONE));
        record.put(ENDED, true)
                .put("nodes", graph.count())
                .put("failed", graph.count(Graph.State.FAILED))
                .put("cancelled", graph.count(Graph.State.CANCELLED))
                .put("why", why);
        return record;
    }

    // ---- one entry of the log ----

    /**
     * Nodes that were added; the graph has them already. {@code next}: the continuation that the parent named with
     * them, or null.
     */
    public static ObjectNode nodes(Graph graph, int from, int to, int firstSpec, String parent, String next) {
        ObjectNode op = Codec.object().put("k", "n").put("from", from);
        if (parent != null) {
            op.put("p", parent);
        }
        if (next != null) {
            op.put("t", next);
        }
        ArrayNode specs = op.putArray("s");
        int lastSpec = firstSpec - 1;
        ArrayNode nodes = op.putArray("n");
        for (int i = from; i < to; i++) {
            ArrayNode node = nodes.addArray().add(graph.id(i)).add(graph.specNumber(i));
            for (int other : graph.awaits(i)) {
                node.add(i - other);
            }
            for (; lastSpec < graph.specNumber(i); lastSpec++) {
                specs.add(JobCodec.write(graph.specs().get(lastSpec + 1)));
            }
        }
        return op;
    }

    public static ObjectNode sealed() {
        return Codec.object().put("k", "s");
    }

    /** {@code nodes}: those from which all else that ended with them follows. */
    public static ObjectNode ended(int[] nodes, Graph.State as, String why) {
        ObjectNode op = Codec.object().put("k", "e").put("as", as.name()).put("why", why);
        ArrayNode list = op.putArray("n");
        for (int i : nodes) {
            list.add(i);
        }
        return op;
    }

    public static ObjectNode result(int node, JsonNode result) {
        ObjectNode op = Codec.object().put("k", "r").put("n", node);
        op.set("v", result);
        return op;
    }

    /** Whoever a log is read for. */
    public interface Reader {
        void result(int node, JsonNode result);
    }

    /** Carries one entry out on a graph that holds all before it. */
    public static void replay(JsonNode op, Graph graph, Reader reader) throws JobCodec.Invalid {
        switch (op.path("k").asText()) {
            case "n" -> replayNodes(op, graph);
            case "s" -> graph.seal();
            case "e" -> {
                int[] nodes = new int[op.path("n").size()];
                Arrays.setAll(nodes, i -> op.path("n").path(i).asInt());
                graph.endAll(
                        nodes,
                        Graph.State.valueOf(op.path("as").asText()),
                        op.path("why").asText());
            }
            case "r" -> reader.result(op.path("n").asInt(), op.path("v"));
            default ->
                throw new JobCodec.Invalid("entry of a kind that this version doesn't know: "
                        + op.path("k").asText());
        }
    }

    private static void replayNodes(JsonNode op, Graph graph) throws JobCodec.Invalid {
        int from = op.path("from").asInt();
        if (from != graph.count()) {
            throw new JobCodec.Invalid("nodes from " + from + " after " + graph.count());
        }
        List<JobSpec> specs = new ArrayList<>(graph.specs());
        for (JsonNode s : op.path("s")) {
            specs.add(JobCodec.read(s));
        }
        List<String> names = new ArrayList<>();
        op.path("n").forEach(n -> names.add(n.path(0).asText()));
        List<NodeSpec> nodes = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            JsonNode n = op.path("n").path(i);
            List<String> awaits = new ArrayList<>();
            for (int k = 2; k < n.size(); k++) {
                int other = from + i - n.path(k).asInt();
                awaits.add(other >= from ? names.get(other - from) : graph.id(other));
            }
            nodes.add(new NodeSpec(names.get(i), specs.get(n.path(1).asInt()), awaits));
        }
        graph.add(
                nodes,
                op.path("p").isTextual() ? op.path("p").asText() : null,
                op.path("t").isTextual() ? op.path("t").asText() : null);
        graph.durable(graph.count());
    }

    // ---- packing ----

    /**
     * A record of several entries: CBOR, deflated, in base64. One string takes far less memory on every node than a
     * tree.
     */
    public static ObjectNode record(String graph, List<ObjectNode> ops) {
        ArrayNode list = Codec.array();
        ops.forEach(list::add);
        byte[] plain = Codec.write(list, false);
        Deflater deflater = new Deflater(Deflater.BEST_COMPRESSION, true);
        deflater.setInput(plain);
        deflater.finish();
        ByteArrayOutputStream packed = new ByteArrayOutputStream(plain.length / 2 + 64);
        byte[] buffer = new byte[4096];
        while (!deflater.finished()) {
            packed.write(buffer, 0, deflater.deflate(buffer));
        }
        deflater.end();
        return Codec.object().put("g", graph).put("b", Base64.getEncoder().encodeToString(packed.toByteArray()));
    }

    public static JsonNode unpack(JsonNode record) throws JobCodec.Invalid {
        Inflater inflater = new Inflater(true);
        try {
            inflater.setInput(Base64.getDecoder().decode(record.path("b").asText()));
            ByteArrayOutputStream plain = new ByteArrayOutputStream();
            byte[] buffer = new byte[8192];
            while (!inflater.finished()) {
                int n = inflater.inflate(buffer);
                if (n == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new JobCodec.Invalid("packed entries are cut short");
                }
                plain.write(buffer, 0, n);
            }
            JsonNode ops = Codec.read(plain.toByteArray(), false);
            if (ops == null || !ops.isArray()) {
                throw new JobCodec.Invalid("packed entries");
            }
            return ops;
        } catch (DataFormatException | IllegalArgumentException e) {
            throw new JobCodec.Invalid("packed entries: " + e.getMessage());
        } finally {
            inflater.end();
        }
    }

    public static String graphOf(JsonNode record) {
        return record.path("g").asText();
    }
}
