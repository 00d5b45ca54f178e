package org.hollypick.client;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Sorts the nodes of a graph by their dependencies. */
final class NodeOrder {
    private NodeOrder() {}

    /**
     * Returns the nodes in topological order, without those that are on a cycle or depend on one.
     *
     * @param nodes a list that contains all dependencies of its nodes
     */
    static List<JsonNode> topological(JsonNode nodes) {
        Map<String, Integer> indexById = new HashMap<>();
        for (int i = 0; i < nodes.size(); i++) {
            indexById.putIfAbsent(nodes.get(i).path(WireFields.NODE_ID).asText(), i);
        }
        int[] unmetDependencies = new int[nodes.size()];
        List<List<Integer>> dependents = new ArrayList<>();
        nodes.forEach(node -> dependents.add(new ArrayList<>()));
        for (int i = 0; i < nodes.size(); i++) {
            for (JsonNode dependency : nodes.get(i).path(WireFields.DEPENDENCIES)) {
                unmetDependencies[i]++;
                dependents.get(indexById.get(dependency.asText())).add(i);
            }
        }
        ArrayDeque<Integer> ready = new ArrayDeque<>();
        for (int i = 0; i < unmetDependencies.length; i++) {
            if (unmetDependencies[i] == 0) {
                ready.add(i);
            }
        }
        List<JsonNode> ordered = new ArrayList<>();
        while (!ready.isEmpty()) {
            int node = ready.poll();
            ordered.add(nodes.get(node));
            for (int dependent : dependents.get(node)) {
                unmetDependencies[dependent]--;
                if (unmetDependencies[dependent] == 0) {
                    ready.add(dependent);
                }
            }
        }
        return ordered;
    }
}
