package org.hollypick.core.graph;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hollypick.config.constants.JobConstants;

/**
 * Decides whether a batch of nodes may be added to a graph, without changing it. Doesn't recurse, since one chain may
 * contain every node of the graph. Confined to the event loop.
 */
final class BatchValidator {
    private static final int NONE = NodeTable.NONE;

    private final NodeTable nodes;
    private final List<NodeSpec> batch;
    private final int parent;
    private final String continuationId;
    /** Nodes of the batch that the graph doesn't have yet, by id. */
    private final Map<String, NodeSpec> newNodes = new HashMap<>();

    /**
     * Creates a validator for one batch.
     *
     * @param parent the running node that adds the batch, or {@link NodeTable#NONE}
     * @param continuationId the node that the parent delegates its result to, or null
     */
    BatchValidator(NodeTable nodes, List<NodeSpec> batch, int parent, String continuationId) {
        this.nodes = nodes;
        this.batch = batch;
        this.parent = parent;
        this.continuationId = continuationId;
    }

    /** Why the batch may not be added; empty if it may. */
    Optional<GraphRejection> validate() {
        return collectNewNodes()
                .or(this::checkSize)
                .or(this::checkDependenciesExist)
                .or(this::checkAcyclic)
                .or(() -> continuationId == null ? Optional.empty() : checkContinuation());
    }

    private Optional<GraphRejection> collectNewNodes() {
        for (NodeSpec spec : batch) {
            int known = nodes.indexOf(spec.id());
            if (known != NONE) {
                Optional<String> difference = difference(known, spec);
                if (difference.isPresent()) {
                    return conflict("node " + spec.id() + " is known with another " + difference.get());
                }
            } else if (newNodes.put(spec.id(), spec) != null) {
                return invalid("node " + spec.id() + " stands twice in one call");
            }
        }
        return Optional.empty();
    }

    /** The property in which a repeated node differs from the existing one with its id; empty if they are equal. */
    private Optional<String> difference(int known, NodeSpec spec) {
        if (!nodes.spec(known).equals(spec.task())) {
            return Optional.of("description");
        }
        if (nodes.parent(known) != parent) {
            return Optional.of("parent");
        }
        int[] repeated = spec.dependencies().stream()
                .mapToInt(nodes::indexOf)
                .distinct()
                .sorted()
                .toArray();
        int[] recorded = nodes.dependencies(known).clone();
        Arrays.sort(recorded);
        return Arrays.equals(repeated, recorded) ? Optional.empty() : Optional.of("set of nodes that it awaits");
    }

    private Optional<GraphRejection> checkSize() {
        return nodes.size() + newNodes.size() > JobConstants.MAX_TASKS_PER_JOB
                ? invalid("more than " + JobConstants.MAX_TASKS_PER_JOB + " nodes")
                : Optional.empty();
    }

    private Optional<GraphRejection> checkDependenciesExist() {
        for (NodeSpec spec : newNodes.values()) {
            for (String dependency : spec.dependencies()) {
                if (!exists(dependency)) {
                    return invalid("node " + spec.id() + " awaits " + dependency + ", which is unknown");
                }
            }
        }
        return Optional.empty();
    }

    private boolean exists(String id) {
        return nodes.indexOf(id) != NONE || newNodes.containsKey(id);
    }

    /**
     * Removes new nodes in topological order; those that are left lie on a cycle or depend on one. Nodes that exist
     * already can't be part of a cycle, since they depend on no new node.
     */
    private Optional<GraphRejection> checkAcyclic() {
        Map<String, Integer> unmetDependencies = new HashMap<>();
        Map<String, List<String>> dependents = new HashMap<>();
        Deque<String> ready = new ArrayDeque<>();
        for (NodeSpec spec : newNodes.values()) {
            int unmet = 0;
            for (String dependency : spec.dependencies()) {
                if (newNodes.containsKey(dependency)) {
                    unmet++;
                    dependents
                            .computeIfAbsent(dependency, id -> new ArrayList<>())
                            .add(spec.id());
                }
            }
            unmetDependencies.put(spec.id(), unmet);
            if (unmet == 0) {
                ready.push(spec.id());
            }
        }
        while (!ready.isEmpty()) {
            String id = ready.pop();
            unmetDependencies.remove(id);
            for (String dependent : dependents.getOrDefault(id, List.of())) {
                if (unmetDependencies.merge(dependent, -1, Integer::sum) == 0) {
                    ready.push(dependent);
                }
            }
        }
        return unmetDependencies.isEmpty()
                ? Optional.empty()
                : invalid("a cycle through "
                        + unmetDependencies.keySet().iterator().next());
    }

    private Optional<GraphRejection> checkContinuation() {
        if (parent == NONE) {
            return invalid("only a running node hands on its result");
        }
        if (!exists(continuationId)) {
            return invalid("the continuation " + continuationId + " is unknown");
        }
        int known = nodes.indexOf(continuationId);
        int recorded = nodes.continuation(parent);
        if (recorded != NONE) {
            return recorded == known
                    ? Optional.empty()
                    : conflict("node " + nodes.id(parent) + " hands on to " + nodes.id(recorded) + " already");
        }
        if (known != NONE && (nodes.delegator(known) != NONE || nodes.parent(known) != parent)) {
            return conflict("node " + continuationId
                    + " can't be its continuation: it is no child of it, or stands for another");
        }
        return dependsOnParent(continuationId)
                ? invalid("the continuation " + continuationId + " needs " + nodes.id(parent) + ", which it stands for")
                : Optional.empty();
    }

    /** Whether a node depends on the parent, directly or through dependencies and their continuations. */
    private boolean dependsOnParent(String from) {
        IntArrayList knownToVisit = new IntArrayList();
        collectKnownDependencies(from, knownToVisit);
        IntOpenHashSet visited = new IntOpenHashSet();
        while (!knownToVisit.isEmpty()) {
            int node = knownToVisit.popInt();
            if (node == parent) {
                return true;
            }
            if (!visited.add(node) || nodes.state(node) == NodeState.DONE) {
                continue;
            }
            for (int dependency : nodes.dependencies(node)) {
                knownToVisit.add(dependency);
            }
            if (nodes.continuation(node) != NONE) {
                knownToVisit.add(nodes.continuation(node));
            }
        }
        return false;
    }

    /**
     * Collects the nodes of the graph that a node depends on, directly or through new ones; only the node itself if the
     * graph has it.
     */
    private void collectKnownDependencies(String from, IntArrayList known) {
        Deque<String> toVisit = new ArrayDeque<>(List.of(from));
        Set<String> visited = new HashSet<>();
        while (!toVisit.isEmpty()) {
            String id = toVisit.pop();
            NodeSpec spec = newNodes.get(id);
            if (spec == null) {
                known.add(nodes.indexOf(id));
            } else if (visited.add(id)) {
                spec.dependencies().forEach(toVisit::push);
            }
        }
    }

    private static Optional<GraphRejection> invalid(String message) {
        return Optional.of(GraphRejection.invalid(message));
    }

    private static Optional<GraphRejection> conflict(String message) {
        return Optional.of(GraphRejection.conflict(message));
    }
}
