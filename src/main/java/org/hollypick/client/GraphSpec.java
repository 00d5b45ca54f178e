package org.hollypick.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A graph under construction, validated before it is sent. Not thread-safe. */
public final class GraphSpec {
    /** Bytes of nodes in one request, by their JSON; the protocol allows 64 KiB. */
    private static final int MAX_NODE_BYTES_PER_REQUEST = 44 * 1024;

    private final ObjectNode options = JsonNodeFactory.instance.objectNode();
    private final Map<String, ObjectNode> nodes = new LinkedHashMap<>();

    /**
     * Something that is wrong with a graph.
     *
     * @param place where, as {@code nodes[3].awaits[0]}
     */
    public record Problem(String place, String what) {
        @Override
        public String toString() {
            return place + ": " + what;
        }
    }

    /**
     * A graph without nodes.
     *
     * @param id as a job's, {@code req-} and digits
     * @param kind the class of work
     */
    public GraphSpec(String id, String kind) {
        options.put(WireFields.GRAPH_ID, id)
                .put(WireFields.JOB_CLASS, kind)
                .put(WireFields.PRIORITY, WireFields.DEFAULT_PRIORITY);
    }

    private GraphSpec(ObjectNode options, Map<String, ObjectNode> nodes) {
        this.options.setAll(options);
        this.nodes.putAll(nodes);
    }

    /** A graph from a tree with the wire's names, as a file holds it; {@link #check(JsonNode)} validates one. */
    public static GraphSpec of(JsonNode tree) {
        ObjectNode options = tree.deepCopy();
        options.remove(WireFields.NODES);
        Map<String, ObjectNode> nodes = new LinkedHashMap<>();
        tree.path(WireFields.NODES)
                .forEach(node -> nodes.put(node.path(WireFields.NODE_ID).asText(), node.deepCopy()));
        return new GraphSpec(options, nodes);
    }

    // ---- building ----

    /** The team whose quota it uses. */
    public GraphSpec team(String team) {
        options.put(WireFields.TEAM, team);
        return this;
    }

    /** The priority: {@code prod}, {@code urgent}, {@code standard} or {@code low}. */
    public GraphSpec rank(String rank) {
        options.put(WireFields.PRIORITY, rank);
        return this;
    }

    /** How often a failed task is started again before its node has failed. */
    public GraphSpec retries(int retries) {
        options.put(WireFields.RETRIES, retries);
        return this;
    }

    /** Makes a failed node cancel the whole graph, instead of only what depends on it. */
    public GraphSpec endOnFailure() {
        options.put(WireFields.ON_FAILURE, WireFields.ON_FAILURE_CANCEL);
        return this;
    }

    /** What holds for the task of each node that doesn't say otherwise. */
    public GraphSpec defaults(Task task) {
        options.set(WireFields.DEFAULTS, task.fields());
        return this;
    }

    /** Adds a node; {@code awaits}: ids of the nodes that it depends on. */
    public GraphSpec node(String id, Task task, String... awaits) {
        nodes.put(id, toJson(id, task, List.of(awaits)));
        return this;
    }

    static ObjectNode toJson(String id, Task task, List<String> dependencies) {
        ObjectNode node = JsonNodeFactory.instance.objectNode().put(WireFields.NODE_ID, id);
        node.setAll(task.fields());
        ArrayNode list = node.putArray(WireFields.DEPENDENCIES);
        dependencies.forEach(list::add);
        return node;
    }

    // ---- queries ----

    /** The graph's id. */
    public String id() {
        return options.path(WireFields.GRAPH_ID).asText();
    }

    /** Ids of the nodes in the order in which they were added. */
    public Set<String> nodeIds() {
        return nodes.keySet();
    }

    /** What is wrong with it, as far as that can be known without the service. */
    public List<Problem> check() {
        ObjectNode tree = options.deepCopy();
        tree.set(WireFields.NODES, nodesAsJson());
        return check(tree);
    }

    /** What is wrong with a tree with the wire's names, as a file holds it. */
    public static List<Problem> check(JsonNode tree) {
        return GraphSpecValidator.validate(tree);
    }

    private ArrayNode nodesAsJson() {
        return JsonNodeFactory.instance.arrayNode().addAll(nodes.values());
    }

    /** The requests that submit a valid graph, in order: parts that fit a request, the last of which seals it. */
    List<ObjectNode> submissionRequests() {
        List<ObjectNode> requests = new ArrayList<>();
        ArrayNode list = null;
        int bytesLeft = 0;
        for (JsonNode node : NodeOrder.topological(nodesAsJson())) {
            int bytes = node.toString().length() + 1;
            if (list == null || bytesLeft < bytes) {
                ObjectNode request = options.deepCopy().put(WireFields.MORE, true);
                list = request.putArray(WireFields.NODES);
                requests.add(request);
                bytesLeft = MAX_NODE_BYTES_PER_REQUEST;
            }
            list.add(node);
            bytesLeft -= bytes;
        }
        requests.get(requests.size() - 1).put(WireFields.MORE, false);
        return requests;
    }
}
