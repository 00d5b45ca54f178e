package org.hollypick.core.graph;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.core.JobSpec;

/**
 * The nodes of one graph and their edges. A node is identified by its index: nodes are numbered in the order in which
 * they are added, and none is ever removed. Stored as one array per property, since a graph may have a hundred thousand
 * nodes. Confined to the event loop.
 */
final class NodeTable {
    /** The index that means "no node". */
    static final int NONE = -1;

    private static final int INITIAL_CAPACITY = 16;
    private static final int[] NO_NODES = {};

    private final List<String> ids = new ArrayList<>();
    private final Object2IntOpenHashMap<String> indexById = new Object2IntOpenHashMap<>();
    /** Distinct task descriptions in the order in which they were first added; nodes with equal ones share one. */
    private final List<JobSpec> specs = new ArrayList<>();

    private final Map<JobSpec, Integer> indexBySpec = new HashMap<>();
    private int[] specIndexes = new int[INITIAL_CAPACITY];
    private NodeState[] states = new NodeState[INITIAL_CAPACITY];
    private int[] unmetDependencies = new int[INITIAL_CAPACITY];
    private int[] parents = new int[INITIAL_CAPACITY];
    /** The node to which each node delegated its result, or {@link #NONE}. */
    private int[] continuations = new int[INITIAL_CAPACITY];
    /** The inverse of {@link #continuations}. */
    private int[] delegators = new int[INITIAL_CAPACITY];

    private int[][] dependencies = new int[INITIAL_CAPACITY][];
    private IntArrayList[] dependents = new IntArrayList[INITIAL_CAPACITY];
    private final Map<Integer, String> terminationReasons = new HashMap<>();
    private final int[] countByState = new int[NodeState.values().length];

    NodeTable() {
        indexById.defaultReturnValue(NONE);
    }

    int size() {
        return ids.size();
    }

    /** The node's index, or {@link #NONE}. */
    int indexOf(String id) {
        return indexById.getInt(id);
    }

    String id(int node) {
        return ids.get(node);
    }

    JobSpec spec(int node) {
        return specs.get(specIndexes[node]);
    }

    /** Index of the node's description in {@link #specs}. */
    int specIndex(int node) {
        return specIndexes[node];
    }

    List<JobSpec> specs() {
        return specs;
    }

    NodeState state(int node) {
        return states[node];
    }

    int count(NodeState state) {
        return countByState[state.ordinal()];
    }

    /** The node whose task added this one, or {@link #NONE}. */
    int parent(int node) {
        return parents[node];
    }

    int[] dependencies(int node) {
        return dependencies[node] == null ? NO_NODES : dependencies[node];
    }

    boolean hasUnmetDependencies(int node) {
        return unmetDependencies[node] > 0;
    }

    /** The node that this one delegated its result to, or {@link #NONE}. */
    int continuation(int node) {
        return continuations[node];
    }

    /** The node that delegated its result to this one, or {@link #NONE}. */
    int delegator(int node) {
        return delegators[node];
    }

    /** Why the node failed or was cancelled; empty if it did neither. */
    String terminationReason(int node) {
        return terminationReasons.getOrDefault(node, "");
    }

    /**
     * Adds the nodes whose ids are new, in the batch's order and in state {@link NodeState#WAITING}.
     *
     * @param parent the node whose task adds them, or {@link #NONE}
     * @return the added nodes
     */
    List<NodeSpec> append(List<NodeSpec> batch, int parent) {
        List<NodeSpec> added = new ArrayList<>();
        for (NodeSpec spec : batch) {
            if (indexById.getInt(spec.id()) == NONE) {
                indexById.put(spec.id(), ids.size());
                ids.add(spec.id());
                added.add(spec);
            }
        }
        ensureCapacity(ids.size());
        for (NodeSpec spec : added) {
            initialize(indexOf(spec.id()), spec, parent);
        }
        return added;
    }

    private void initialize(int node, NodeSpec spec, int parent) {
        specIndexes[node] = specIndex(spec.task());
        states[node] = NodeState.WAITING;
        countByState[NodeState.WAITING.ordinal()]++;
        parents[node] = parent;
        continuations[node] = NONE;
        delegators[node] = NONE;
        dependencies[node] =
                spec.dependencies().stream().mapToInt(this::indexOf).distinct().toArray();
        for (int dependency : dependencies[node]) {
            if (states[dependency] != NodeState.DONE) {
                unmetDependencies[node]++;
                addDependent(dependency, node);
            }
        }
    }

    private void addDependent(int dependency, int dependent) {
        if (dependents[dependency] == null) {
            dependents[dependency] = new IntArrayList(2);
        }
        dependents[dependency].add(dependent);
    }

    private int specIndex(JobSpec spec) {
        return indexBySpec.computeIfAbsent(spec, added -> {
            specs.add(added);
            return specs.size() - 1;
        });
    }

    private void ensureCapacity(int nodes) {
        if (nodes <= specIndexes.length) {
            return;
        }
        int capacity = Math.max(nodes, specIndexes.length * 2);
        specIndexes = Arrays.copyOf(specIndexes, capacity);
        states = Arrays.copyOf(states, capacity);
        unmetDependencies = Arrays.copyOf(unmetDependencies, capacity);
        parents = Arrays.copyOf(parents, capacity);
        continuations = Arrays.copyOf(continuations, capacity);
        delegators = Arrays.copyOf(delegators, capacity);
        dependencies = Arrays.copyOf(dependencies, capacity);
        dependents = Arrays.copyOf(dependents, capacity);
    }

    void setContinuation(int node, int continuation) {
        continuations[node] = continuation;
        delegators[continuation] = node;
    }

    void setState(int node, NodeState state) {
        countByState[states[node].ordinal()]--;
        countByState[state.ordinal()]++;
        states[node] = state;
    }

    /** Sets a final state other than {@link NodeState#DONE}, and the reason for it. */
    void terminate(int node, NodeState state, String reason) {
        setState(node, state);
        terminationReasons.put(node, reason);
    }

    /** Records that one of the node's dependencies is done. */
    void dependencyMet(int node) {
        unmetDependencies[node]--;
    }

    /** Returns the nodes that depend on this one, which has reached a final state, and drops the edges to them. */
    int[] removeDependents(int node) {
        IntArrayList removed = dependents[node];
        dependents[node] = null;
        return removed == null ? NO_NODES : removed.toIntArray();
    }
}
