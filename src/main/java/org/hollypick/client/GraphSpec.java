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

/** Builds a task graph; {@link HollypickClient#submit} validates it before sending it. Not thread-safe. */
public final class GraphSpec {
    /** Limit of the length of the nodes in one request, as JSON; the whole body, in CBOR, may have 64 KiB. */
    private static final int MAX_NODE_BYTES_PER_REQUEST = 44 * 1024;

    private final ObjectNode options = JsonNodeFactory.instance.objectNode();
    private final Map<String, ObjectNode> nodes = new LinkedHashMap<>();

    /**
     * A fault in the description of a graph.
     *
     * @param place the path of the field, such as {@code nodes[3].awaits[0]}
     * @param what what is wrong with the field
     */
    public record Problem(String place, String what) {
        @Override
        public String toString() {
            return place + ": " + what;
        }
    }

    /**
     * Creates a graph without nodes.
     *
     * @param id the graph's id: {@code req-} and up to 18 digits, as for a job
     * @param kind the job class, by which the service groups run time statistics
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

    /**
     * Creates a graph from a tree with the field names of the protocol; {@link #check(JsonNode)} validates the tree.
     */
    public static GraphSpec of(JsonNode tree) {
        ObjectNode options = tree.deepCopy();
        options.remove(WireFields.NODES);
        Map<String, ObjectNode> nodes = new LinkedHashMap<>();
        tree.path(WireFields.NODES)
                .forEach(node -> nodes.put(node.path(WireFields.NODE_ID).asText(), node.deepCopy()));
        return new GraphSpec(options, nodes);
    }

    // ---- building ----

    /** Sets the team whose quota the graph uses. */
    public GraphSpec team(String team) {
        options.put(WireFields.TEAM, team);
        return this;
    }

    /** Sets the priority: {@code prod}, {@code urgent}, {@code standard} or {@code low}. */
    public GraphSpec rank(String rank) {
        options.put(WireFields.PRIORITY, rank);
        return this;
    }

    /** Sets how many times a failed task is restarted before its node counts as failed. */
    public GraphSpec retries(int retries) {
        options.put(WireFields.RETRIES, retries);
        return this;
    }

    /** Makes a failed node cancel the whole graph instead of only the nodes that depend on it. */
    public GraphSpec endOnFailure() {
        options.put(WireFields.ON_FAILURE, WireFields.ON_FAILURE_CANCEL);
        return this;
    }

    /** Sets the task settings of each node that doesn't set them itself. */
    public GraphSpec defaults(Task task) {
        options.set(WireFields.DEFAULTS, task.fields());
        return this;
    }

    /** Adds a node; {@code awaits}: ids of the nodes that the new one depends on. */
    public GraphSpec node(String id, Task task, String... awaits) {
        nodes.put(id, toJson(id, task, List.of(awaits)));
        return this;
    }

    /** Returns a node in the form in which requests contain it. */
    static ObjectNode toJson(String id, Task task, List<String> dependencies) {
        ObjectNode node = JsonNodeFactory.instance.objectNode().put(WireFields.NODE_ID, id);
        node.setAll(task.fields());
        ArrayNode list = node.putArray(WireFields.DEPENDENCIES);
        dependencies.forEach(list::add);
        return node;
    }

    // ---- queries ----

    /** Returns the graph's id. */
    public String id() {
        return options.path(WireFields.GRAPH_ID).asText();
    }

    /** Returns the ids of the nodes in the order in which they were added. */
    public Set<String> nodeIds() {
        return nodes.keySet();
    }

    /** Returns the problems of the graph that can be found without the service. */
    public List<Problem> check() {
        ObjectNode tree = options.deepCopy();
        tree.set(WireFields.NODES, nodesAsJson());
        return check(tree);
    }

    /** Returns the problems of a graph that is given as a tree with the field names of the protocol. */
    public static List<Problem> check(JsonNode tree) {
        return GraphSpecValidator.validate(tree);
    }

    private ArrayNode nodesAsJson() {
        return JsonNodeFactory.instance.arrayNode().addAll(nodes.values());
    }

    /** Returns the requests that submit a valid graph, in sending order; the last one marks it as complete. */
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
