package org.hollypick.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.client.GraphSpec.Problem;

/**
 * Finds the problems of a graph that can be found without the service, which validates the graph again. One instance
 * validates one graph.
 */
final class GraphSpecValidator {
    private static final Set<String> GRAPH_FIELDS = Set.of(
            WireFields.GRAPH_ID,
            WireFields.JOB_CLASS,
            WireFields.TEAM,
            WireFields.PRIORITY,
            WireFields.RETRIES,
            WireFields.ON_FAILURE,
            WireFields.DEFAULTS,
            WireFields.NODES);
    private static final Set<String> NODE_FIELDS = Set.of(WireFields.NODE_ID, WireFields.DEPENDENCIES);
    private static final List<String> REQUIRED_TASK_FIELDS =
            List.of(WireFields.CPUS, WireFields.MEMORY_GB, WireFields.IMAGE);
    private static final Set<String> PRIORITIES = Set.of("prod", "urgent", "standard", "low");
    private static final String GRAPH_ID_PATTERN = "req-[0-9]{1,18}";
    private static final String NODE_ID_PATTERN = "[!-~&&[^/?#%]]{1,64}";

    private final JsonNode graph;
    private final JsonNode nodes;
    private final Map<String, Integer> indexById = new HashMap<>();
    private final List<Problem> problems = new ArrayList<>();

    private GraphSpecValidator(JsonNode graph) {
        this.graph = graph;
        this.nodes = graph.path(WireFields.NODES);
    }

    /** Returns the problems of a graph that is given with the field names of the protocol; empty if it is valid. */
    static List<Problem> validate(JsonNode graph) {
        if (!graph.isObject()) {
            return List.of(new Problem("graph", "not a map"));
        }
        GraphSpecValidator validator = new GraphSpecValidator(graph);
        validator.checkGraphFields();
        if (validator.nodes.isArray() && !validator.nodes.isEmpty()) {
            validator.checkNodes();
            validator.checkDependencies();
            validator.checkAcyclic();
        } else {
            validator.report(WireFields.NODES, "missing, or not a list with at least one node");
        }
        return validator.problems;
    }

    private void report(String place, String message) {
        problems.add(new Problem(place, message));
    }

    private void checkGraphFields() {
        graph.fieldNames().forEachRemaining(field -> {
            if (!GRAPH_FIELDS.contains(field)) {
                report(field, "unknown key");
            }
        });
        if (!graph.path(WireFields.GRAPH_ID).asText().matches(GRAPH_ID_PATTERN)) {
            report(WireFields.GRAPH_ID, "must be req- followed by 1 to 18 digits");
        }
        if (!graph.path(WireFields.JOB_CLASS).isTextual()) {
            report(WireFields.JOB_CLASS, "missing");
        }
        if (!PRIORITIES.contains(graph.path(WireFields.PRIORITY).asText())) {
            report(WireFields.PRIORITY, "must be one of prod, urgent, standard, low");
        }
        checkTaskFields(WireFields.DEFAULTS, graph.path(WireFields.DEFAULTS), Set.of());
    }

    private void checkTaskFields(String place, JsonNode task, Set<String> otherFields) {
        task.fieldNames().forEachRemaining(field -> {
            if (!WireFields.TASK_FIELDS.contains(field) && !otherFields.contains(field)) {
                report(place + "." + field, "unknown key");
            }
        });
    }

    private void checkNodes() {
        for (int i = 0; i < nodes.size(); i++) {
            JsonNode node = nodes.get(i);
            String place = "nodes[" + i + "]";
            checkNodeId(place, node.path(WireFields.NODE_ID).asText(""), i);
            checkTaskFields(place, node, NODE_FIELDS);
            for (String field : REQUIRED_TASK_FIELDS) {
                if (!node.has(field) && !graph.path(WireFields.DEFAULTS).has(field)) {
                    report(place + "." + field, "missing, and not set in \"task\" either");
                }
            }
        }
    }

    private void checkNodeId(String place, String id, int index) {
        if (!id.matches(NODE_ID_PATTERN)) {
            report(place + ".id", "must be 1 to 64 printable ASCII characters other than space, /, ?, # and %");
            return;
        }
        Integer earlier = indexById.putIfAbsent(id, index);
        if (earlier != null) {
            report(place + ".id", "\"" + id + "\" is nodes[" + earlier + "] already");
        }
    }

    private void checkDependencies() {
        for (int i = 0; i < nodes.size(); i++) {
            JsonNode dependencies = nodes.get(i).path(WireFields.DEPENDENCIES);
            for (int k = 0; k < dependencies.size(); k++) {
                String dependency = dependencies.get(k).asText();
                if (!indexById.containsKey(dependency)) {
                    report("nodes[" + i + "].awaits[" + k + "]", "\"" + dependency + "\" is no node of this graph");
                }
            }
        }
    }

    /** Reports the first node that is on a cycle or depends on one; skipped if another problem was found. */
    private void checkAcyclic() {
        if (!problems.isEmpty()) {
            return;
        }
        Set<String> cyclic = new HashSet<>(indexById.keySet());
        NodeOrder.topological(nodes)
                .forEach(node -> cyclic.remove(node.path(WireFields.NODE_ID).asText()));
        if (!cyclic.isEmpty()) {
            int first = cyclic.stream().mapToInt(indexById::get).min().orElseThrow();
            report("nodes[" + first + "].awaits", "a cycle: the node depends on itself, or on a node that does");
        }
    }
}
