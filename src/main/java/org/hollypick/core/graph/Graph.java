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
 * the continuation is. When a node fails or is cancelled, all nodes that depend on it are cancelled.
 *
 * <p>Performs no I/O. Doesn't recurse, since one chain may contain every node of the graph. Not final, so that tests
 * can substitute faulty subclasses. Confined to the event loop.
 */
public class Graph implements TaskSet {
    private static final int NONE = NodeTable.NONE;

    private final int retries;
    private final NodeTable nodes = new NodeTable();
    private final NodeReleaser releaser;
    private final Map<Integer, Integer> failureCounts = new HashMap<>();
    /** Nodes that used up their retries and that the caller hasn't taken yet to terminate them. */
    private IntArrayList exhaustedNodes = new IntArrayList();

    private final BitSet completedTasks = new BitSet();

    /**
     * Creates an empty graph.
     *
     * @param retries how many times a node's failed task is restarted
     * @param onRelease called with each node whose task may start from now on
     */
    public Graph(int retries, IntConsumer onRelease) {
        this.retries = retries;
        this.releaser = new NodeReleaser(nodes, onRelease);
    }

    // ---- adding nodes ----

    /**
     * Checks whether nodes may be added. The batch may repeat nodes of the graph with the same description, parent and
     * dependencies.
     *
     * @param parentId the running node that adds them; null for nodes of the client
     * @param continuationId the node of the batch, or the node that the parent added earlier, to which the parent
     *     delegates its result; null if there is none
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
     * Adds the nodes of a batch that {@link #validate} accepts, except those that the graph has already. The added
     * nodes aren't durable yet.
     *
     * @param parentId the running node that adds them; null for nodes of the client
     * @param continuationId the node that the parent delegates its result to; null if there is none
     * @return the added nodes
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

    /** Marks the first {@code nodeCount} nodes as durable and releases those that are ready. */
    public void markDurable(int nodeCount) {
        releaser.markDurable(nodeCount);
    }

    /** Marks that the client has submitted all its nodes; from now on only running nodes add further ones. */
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

    /** Marks the node done, or delegated if its continuation isn't done, after its own task has durably completed. */
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

    /** Marks the node done and, along the chain of delegators, each one that was waiting for its continuation. */
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
     * The nodes that one failure or cancellation terminated.
     *
     * @param nodes every node whose state changed
     * @param roots the node that was terminated and its unfinished continuations; the other nodes follow from these
     */
    public record Termination(int[] nodes, int[] roots) {}

    /**
     * Fails or cancels a node, and cancels its chain of continuations and all nodes that depend on one of these or
     * delegated their result to one.
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
     * Terminates the given roots and cancels all nodes that follow from them. Called directly where the roots are
     * known, as when a log is replayed.
     *
     * @param roots the first enters {@code state}; the others, its continuations, are cancelled
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

    // ---- queries of the scheduler ----

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

    // ---- other queries ----

    /** Whether the client has submitted all nodes of its own. */
    public boolean isSealed() {
        return releaser.isSealed();
    }

    /** The number of durable nodes; these are always the ones with the lowest indexes. */
    public int durableNodes() {
        return releaser.durableNodes();
    }

    /** The node's index, or -1 if the graph has no such node. */
    public int indexOf(String id) {
        return nodes.indexOf(id);
    }

    /** Whether the graph has a node with that id, durable or not. */
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

    /** The number of nodes in that state. */
    public int count(NodeState state) {
        return nodes.count(state);
    }

    /** Why the node failed or was cancelled; empty if it did neither. */
    public String terminationReason(int node) {
        return nodes.terminationReason(node);
    }

    /** The distinct indexes of the nodes that this one depends on. */
    public int[] dependencies(int node) {
        return nodes.dependencies(node);
    }

    /** The distinct task descriptions in the order in which they were first added. */
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

    /** The node that provides this one's result: itself, or the last in its chain of continuations. */
    public int resultNode(int node) {
        int last = node;
        while (nodes.continuation(last) != NONE) {
            last = nodes.continuation(last);
        }
        return last;
    }
}
