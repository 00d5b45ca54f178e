package org.hollypick.core.graph;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntConsumer;
import org.hollypick.core.JobSpec;
import org.hollypick.core.TaskSet;

/**
 * A directed acyclic graph of tasks that grows while it runs. A node is released once it is durable, the graph is
 * sealed, and all of its dependencies are durably done. A node that delegated its result to a continuation is done when
 * the continuation is. A node that fails or is cancelled takes with it all nodes that depend on it.
 *
 * <p>Does no input or output, and doesn't recurse, since chains may be as long as the graph is large. Not final: tests
 * replace it by faulty ones. Confined to the event loop.
 */
public class Graph implements TaskSet {
    private static final int NONE = NodeTable.NONE;

    private final int retries;
    private final NodeTable nodes = new NodeTable();
    private final NodeReleaser releaser;
    private final Map<Integer, Integer> failureCounts = new HashMap<>();
    /** Nodes that failed too often, and whose failure isn't recorded yet. */
    private IntArrayList exhaustedNodes = new IntArrayList();

    private final BitSet completedTasks = new BitSet();

    /**
     * An empty graph.
     *
     * @param retries how often a node's failed task is started again
     * @param onRelease called with each node whose task may start from now on
     */
    public Graph(int retries, IntConsumer onRelease) {
        this.retries = retries;
        this.releaser = new NodeReleaser(nodes, onRelease);
    }

    // ---- growth ----

    /**
     * Whether nodes may be added. Nodes that are known already may be repeated, if they are described alike.
     *
     * @param parentId the running node that adds them; null for nodes of the client
     * @param continuationId the one among them, or among the parent's earlier children, that the parent delegates its
     *     result to; null if there is none
     * @return why they may not be added; empty if they may
     */
    public Optional<GraphRejection> validate(List<NodeSpec> batch, String parentId, String continuationId) {
        int parent = parentId == null ? NONE : nodes.indexOf(parentId);
        if (parentId != null && parent == NONE) {
            return Optional.of(GraphRejection.invalid("unknown parent " + parentId));
        }
        return new BatchValidator(nodes, batch, parent, continuationId).validate();
    }

    /**
     * Adds nodes that {@link #validate} accepts, except those that are known already. They aren't durable yet.
     *
     * @param parentId the running node that adds them; null for nodes of the client
     * @param continuationId the node that the parent delegates its result to; null if there is none
     * @return the new ones
     */
    public List<NodeSpec> append(List<NodeSpec> batch, String parentId, String continuationId) {
        int parent = parentId == null ? NONE : nodes.indexOf(parentId);
        List<NodeSpec> added = nodes.append(batch, parent);
        for (NodeSpec spec : added) {
            cancelIfDependencyFailed(nodes.indexOf(spec.id()));
        }
        if (continuationId != null && nodes.continuation(parent) == NONE) {
            delegate(parent, nodes.indexOf(continuationId));
        }
        return added;
    }

    private void cancelIfDependencyFailed(int node) {
        for (int dependency : nodes.dependencies(node)) {
            if (nodes.state(dependency).isUnsuccessful()) {
                terminateRoots(
                        new int[] {node},
                        NodeState.CANCELLED,
                        "needs " + nodes.id(dependency) + ": " + nodes.terminationReason(dependency));
            }
        }
    }

    private void delegate(int node, int continuation) {
        nodes.setContinuation(node, continuation);
        if (nodes.state(continuation).isUnsuccessful()) {
            terminateRoots(
                    new int[] {node},
                    NodeState.CANCELLED,
                    "its continuation " + nodes.id(continuation) + " can't be done: "
                            + nodes.terminationReason(continuation));
        }
    }

    /** The first {@code nodeCount} nodes are durable. */
    public void markDurable(int nodeCount) {
        releaser.markDurable(nodeCount);
    }

    /** The client has submitted all nodes of its own; from now on only running nodes add further ones. */
    public void seal() {
        releaser.seal();
    }

    // ---- completion ----

    @Override
    public void completionsCommitted(BitSet done) {
        BitSet newlyCompleted = (BitSet) done.clone();
        newlyCompleted.andNot(completedTasks);
        completedTasks.or(done);
        newlyCompleted.stream().forEach(this::taskCompleted);
    }

    /** The node's own task is durably done. */
    private void taskCompleted(int node) {
        if (isTerminal(node)) {
            return;
        }
        int continuation = nodes.continuation(node);
        if (continuation != NONE && nodes.state(continuation) != NodeState.DONE) {
            nodes.setState(node, NodeState.DELEGATED);
        } else {
            markDone(node);
        }
    }

    /** Marks the node done, and with it those whose results it stands for, from one to the next. */
    private void markDone(int first) {
        int node = first;
        while (node != NONE && !isTerminal(node)) {
            nodes.setState(node, NodeState.DONE);
            for (int dependent : nodes.removeDependents(node)) {
                releaser.dependencyMet(dependent);
            }
            int delegator = nodes.delegator(node);
            node = delegator != NONE && nodes.state(delegator) == NodeState.DELEGATED ? delegator : NONE;
        }
    }

    // ---- failure and cancellation ----

    /**
     * Nodes that reached a final state together.
     *
     * @param nodes every node whose state changed
     * @param roots those from which the others follow
     */
    public record Termination(int[] nodes, int[] roots) {}

    /**
     * Fails or cancels a node and the chain of its continuations, and cancels all nodes that depend on one of them or
     * delegated their result to it.
     */
    public Termination terminate(int node, NodeState state, String reason) {
        IntArrayList open = new IntArrayList();
        for (int at = node; at != NONE; at = nodes.continuation(at)) {
            if (!isTerminal(at)) {
                open.add(at);
            }
        }
        int[] roots = open.toIntArray();
        return new Termination(terminateRoots(roots, state, reason), roots);
    }

    /**
     * Does the same for nodes that were determined as roots already, as when a log is replayed.
     *
     * @param roots the first gets {@code state}; the others, its continuations, are cancelled
     * @return every node whose state changed
     */
    public int[] terminateRoots(int[] roots, NodeState state, String reason) {
        IntArrayList terminated = new IntArrayList();
        IntArrayList affected = new IntArrayList();
        for (int i = 0; i < roots.length; i++) {
            if (isTerminal(roots[i])) {
                continue;
            }
            if (i == 0) {
                terminate(roots[i], state, reason, terminated, affected);
            } else {
                String inherited = "its result stood for " + nodes.id(roots[0]) + ": " + reason;
                terminate(roots[i], NodeState.CANCELLED, inherited, terminated, affected);
            }
        }
        String inherited = roots.length == 0 ? reason : "needs " + nodes.id(roots[0]) + ": " + reason;
        while (!affected.isEmpty()) {
            int node = affected.popInt();
            if (!isTerminal(node)) {
                terminate(node, NodeState.CANCELLED, inherited, terminated, affected);
            }
        }
        return terminated.toIntArray();
    }

    private void terminate(int node, NodeState state, String reason, IntArrayList terminated, IntArrayList affected) {
        nodes.terminate(node, state, reason);
        terminated.add(node);
        affected.addElements(affected.size(), nodes.removeDependents(node));
        if (nodes.delegator(node) != NONE) {
            affected.add(nodes.delegator(node));
        }
    }

    @Override
    public void taskFailed(int node) {
        if (nodes.state(node) == NodeState.READY && failureCounts.merge(node, 1, Integer::sum) > retries) {
            exhaustedNodes.add(node);
        }
    }

    /** Nodes that used up their retries since the last call; the caller has to terminate them. */
    public int[] takeExhaustedNodes() {
        int[] taken = exhaustedNodes.toIntArray();
        exhaustedNodes = new IntArrayList();
        return taken;
    }

    // ---- what the scheduler asks ----

    @Override
    public int count() {
        return nodes.size();
    }

    @Override
    public JobSpec spec(int node) {
        return nodes.spec(node);
    }

    @Override
    public boolean isHeterogeneous() {
        return nodes.specs().size() > 1;
    }

    @Override
    public int unreleasedTasks() {
        return nodes.count(NodeState.WAITING);
    }

    @Override
    public boolean mayStart(int node) {
        return nodes.state(node) == NodeState.READY && !exhaustedNodes.contains(node);
    }

    @Override
    public boolean isFinished(BitSet done) {
        return isSealed()
                && nodes.count(NodeState.WAITING) == 0
                && nodes.count(NodeState.READY) == 0
                && nodes.count(NodeState.DELEGATED) == 0;
    }

    @Override
    public boolean isSuccessful() {
        return nodes.count(NodeState.DONE) == nodes.size();
    }

    // ---- queries ----

    /** Whether the client has submitted all nodes of its own. */
    public boolean isSealed() {
        return releaser.isSealed();
    }

    /** How many nodes are durable: always the first ones. */
    public int durableNodes() {
        return releaser.durableNodes();
    }

    /** The node's index, or -1 if the graph has no such node. */
    public int indexOf(String id) {
        return nodes.indexOf(id);
    }

    /** Whether the graph has a node of that id, durable or not. */
    public boolean contains(String id) {
        return indexOf(id) != NONE;
    }

    /** The node's id. */
    public String id(int node) {
        return nodes.id(node);
    }

    /** The node's state. */
    public NodeState state(int node) {
        return nodes.state(node);
    }

    /** Whether the node has reached a final state. */
    public boolean isTerminal(int node) {
        return nodes.state(node).isTerminal();
    }

    /** How many nodes are in that state. */
    public int count(NodeState state) {
        return nodes.count(state);
    }

    /** Why the node failed or was cancelled; empty if it wasn't. */
    public String terminationReason(int node) {
        return nodes.terminationReason(node);
    }

    /** Indexes of the nodes that this one depends on, each once. */
    public int[] dependencies(int node) {
        return nodes.dependencies(node);
    }

    /** The different task descriptions in the order in which they came. */
    public List<JobSpec> specs() {
        return nodes.specs();
    }

    /** Index of the node's task description in {@link #specs}. */
    public int specIndex(int node) {
        return nodes.specIndex(node);
    }

    /** Whether the node delegated its result to a continuation. */
    public boolean hasContinuation(int node) {
        return nodes.continuation(node) != NONE;
    }

    /** The node whose result stands for this one's: itself, or the last in the chain of its continuations. */
    public int resultNode(int node) {
        int last = node;
        while (nodes.continuation(last) != NONE) {
            last = nodes.continuation(last);
        }
        return last;
    }
}
