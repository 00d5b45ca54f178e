package org.hollypick.client;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A graph under construction, checked before it is sent. */
public final class GraphSpec {
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
    private static final Set<String> GRAPH =
            Set.of("name_id", "jobkind", "owner", "rank", "retries", "on_failure", "task", "nodes");
    private static final Set<String> RANKS = Set.of("prod", "urgent", "standard", "low");
    /** Bytes of nodes in one call, by their JSON; the protocol allows 64 KiB. */
    private static final int CALL_BYTES = 44 * 1024;

    /** Something that is wrong, and where: {@code nodes[3].awaits[0]}. */
    public record Problem(String place, String what) {
        @Override
        public String toString() {
            return place + ": " + what;
        }
    }

    private final ObjectNode head = JsonNodeFactory.instance.objectNode();
    private final Map<String, ObjectNode> nodes = new LinkedHashMap<>();

    /** {@code id}: as a job's, {@code req-} and digits. {@code kind}: the class of work. */
    public GraphSpec(String id, String kind) {
        head.put("name_id", id).put("jobkind", kind).put("rank", "standard");
    }

    private GraphSpec(ObjectNode head, Map<String, ObjectNode> nodes) {
        this.head.setAll(head);
        this.nodes.putAll(nodes);
    }

    /**
     * A graph from a tree with the wire's names, as a file holds it; {@link #check(JsonNode)} tells what is wrong with
     * one.
     */
    public static GraphSpec of(JsonNode tree) {
        ObjectNode head = tree.deepCopy();
        head.remove("nodes");
        Map<String, ObjectNode> nodes = new LinkedHashMap<>();
        tree.path("nodes").forEach(n -> nodes.put(n.path("id").asText(), n.deepCopy()));
        return new GraphSpec(head, nodes);
    }

    public GraphSpec team(String team) {
        head.put("owner", team);
        return this;
    }

    /** {@code prod}, {@code urgent}, {@code standard} or {@code low}. */
    public GraphSpec rank(String rank) {
        head.put("rank", rank);
        return this;
    }

    /** How often a failed task is tried again before its node has failed. */
    public GraphSpec retries(int retries) {
        head.put("retries", retries);
        return this;
    }

    /** A failed node ends the whole graph; else only what needs it is cancelled. */
    public GraphSpec endOnFailure() {
        head.put("on_failure", "end");
        return this;
    }

    /** What a node has that says nothing else. */
    public GraphSpec defaults(Task task) {
        head.set("task", task.fields());
        return this;
    }

    public GraphSpec node(String id, Task task, String... awaits) {
        nodes.put(id, describe(id, task, List.of(awaits)));
        return this;
    }

    static ObjectNode describe(String id, Task task, List<String> awaits) {
        ObjectNode n = JsonNodeFactory.instance.objectNode().put("id", id);
        n.setAll(task.fields());
        ArrayNode list = n.putArray("awaits");
        awaits.forEach(list::add);
        return n;
    }

    public String id() {
        return head.path("name_id").asText();
    }

    public Set<String> nodeIds() {
        return nodes.keySet();
    }

    private ObjectNode tree() {
        ObjectNode tree = head.deepCopy();
        ArrayNode list = tree.putArray("nodes");
        nodes.values().forEach(list::add);
        return tree;
    }

    /** What is wrong with it, as far as that can be told without the service. */
    public List<Problem> check() {
        return check(tree());
    }

    /** The same for a tree that a file holds. */
    public static List<Problem> check(JsonNode tree) {
        List<Problem> problems = new ArrayList<>();
        if (!tree.isObject()) {
            return List.of(new Problem("graph", "not a map"));
        }
        tree.fieldNames().forEachRemaining(f -> {
            if (!GRAPH.contains(f)) {
                problems.add(new Problem(f, "unknown key"));
            }
        });
        if (!tree.path("name_id").asText().matches("req-[0-9]{1,18}")) {
            problems.add(new Problem("name_id", "must be req- and up to 18 digits"));
        }
        if (!tree.path("jobkind").isTextual()) {
            problems.add(new Problem("jobkind", "missing"));
        }
        if (!RANKS.contains(tree.path("rank").asText())) {
            problems.add(new Problem("rank", "must be one of prod, urgent, standard, low"));
        }
        unknownFields("task", tree.path("task"), Set.of(), problems);
        JsonNode nodes = tree.path("nodes");
        if (!nodes.isArray() || nodes.isEmpty()) {
            problems.add(new Problem("nodes", "missing, or not a list with at least one node"));
            return problems;
        }
        Map<String, Integer> places = new HashMap<>();
        for (int i = 0; i < nodes.size(); i++) {
            JsonNode n = nodes.get(i);
            String at = "nodes[" + i + "]";
            String id = n.path("id").asText("");
            if (!id.matches("[!-~&&[^/?#%]]{1,64}")) {
                problems.add(new Problem(at + ".id", "1 to 64 printable characters without / ? # %"));
            } else if (places.putIfAbsent(id, i) != null) {
                problems.add(new Problem(at + ".id", "\"" + id + "\" is nodes[" + places.get(id) + "] already"));
            }
            unknownFields(at, n, Set.of("id", "awaits"), problems);
            for (String needed : List.of("cores", "ram_gb", "bundle")) {
                if (!n.has(needed) && !tree.path("task").has(needed)) {
                    problems.add(new Problem(at + "." + needed, "missing, and \"task\" doesn't say it either"));
                }
            }
        }
        edges(nodes, places, problems);
        return problems;
    }

    private static void unknownFields(String at, JsonNode n, Set<String> also, List<Problem> problems) {
        n.fieldNames().forEachRemaining(f -> {
            if (!TASK.contains(f) && !also.contains(f)) {
                problems.add(new Problem(at + "." + f, "unknown key"));
            }
        });
    }

    private static void edges(JsonNode nodes, Map<String, Integer> places, List<Problem> problems) {
        for (int i = 0; i < nodes.size(); i++) {
            for (int k = 0; k < nodes.get(i).path("awaits").size(); k++) {
                String other = nodes.get(i).path("awaits").get(k).asText();
                if (!places.containsKey(other)) {
                    problems.add(new Problem(
                            "nodes[" + i + "].awaits[" + k + "]", "\"" + other + "\" is no node of this graph"));
                }
            }
        }
        if (problems.isEmpty()) {
            Set<String> cyclic = new HashSet<>(places.keySet());
            order(nodes, places).forEach(n -> cyclic.remove(n.path("id").asText()));
            if (!cyclic.isEmpty()) {
                int first = cyclic.stream().mapToInt(places::get).min().orElseThrow();
                problems.add(
                        new Problem("nodes[" + first + "].awaits", "a cycle: the node can't be done before itself"));
            }
        }
    }

    /** Each node behind those that it awaits; nodes on cycles are left out. */
    private static List<JsonNode> order(JsonNode nodes, Map<String, Integer> places) {
        int[] open = new int[nodes.size()];
        List<List<Integer>> behind = new ArrayList<>();
        nodes.forEach(n -> behind.add(new ArrayList<>()));
        for (int i = 0; i < nodes.size(); i++) {
            for (JsonNode other : nodes.get(i).path("awaits")) {
                open[i]++;
                behind.get(places.get(other.asText())).add(i);
            }
        }
        ArrayDeque<Integer> free = new ArrayDeque<>();
        for (int i = 0; i < open.length; i++) {
            if (open[i] == 0) {
                free.add(i);
            }
        }
        List<JsonNode> ordered = new ArrayList<>();
        while (!free.isEmpty()) {
            int i = free.poll();
            ordered.add(nodes.get(i));
            for (int other : behind.get(i)) {
                if (--open[other] == 0) {
                    free.add(other);
                }
            }
        }
        return ordered;
    }

    /** The calls that submit it, in order: parts of a call's size, the last of which seals it. */
    List<ObjectNode> calls() {
        JsonNode all = tree().path("nodes");
        Map<String, Integer> places = new HashMap<>();
        for (int i = 0; i < all.size(); i++) {
            places.put(all.get(i).path("id").asText(), i);
        }
        List<ObjectNode> calls = new ArrayList<>();
        ArrayNode list = null;
        int left = 0;
        for (JsonNode n : order(all, places)) {
            int bytes = n.toString().length() + 1;
            if (list == null || left < bytes) {
                ObjectNode call = head.deepCopy().put("more", true);
                list = call.putArray("nodes");
                calls.add(call);
                left = CALL_BYTES;
            }
            list.add(n);
            left -= bytes;
        }
        calls.get(calls.size() - 1).put("more", false);
        return calls;
    }
}
