package org.hollypick.core.graph;

import java.util.function.IntConsumer;

/**
 * Releases nodes whose tasks may start: those that are durable, belong to a sealed graph and have no unmet dependency.
 * Confined to the event loop.
 */
final class NodeReleaser {
    private final NodeTable nodes;
    private final IntConsumer onRelease;
    private int durableNodes;
    private boolean sealed;

    /** Creates a releaser that calls {@code onRelease} once for each node that becomes ready. */
    NodeReleaser(NodeTable nodes, IntConsumer onRelease) {
        this.nodes = nodes;
        this.onRelease = onRelease;
    }

    int durableNodes() {
        return durableNodes;
    }

    boolean isSealed() {
        return sealed;
    }

    /** Marks the first {@code nodeCount} nodes as durable and releases those that are ready. */
    void markDurable(int nodeCount) {
        int from = durableNodes;
        durableNodes = Math.max(durableNodes, nodeCount);
        for (int node = from; node < durableNodes; node++) {
            releaseIfReady(node);
        }
    }

    /** Marks that the client has submitted all its nodes, and releases the nodes that are ready. */
    void seal() {
        sealed = true;
        for (int node = 0; node < durableNodes; node++) {
            releaseIfReady(node);
        }
    }

    /** Records that one of the node's dependencies is done, and releases the node if it is ready. */
    void dependencyMet(int node) {
        nodes.dependencyMet(node);
        releaseIfReady(node);
    }

    private void releaseIfReady(int node) {
        if (sealed
                && node < durableNodes
                && nodes.state(node) == NodeState.WAITING
                && !nodes.hasUnmetDependencies(node)) {
            nodes.setState(node, NodeState.READY);
            onRelease.accept(node);
        }
    }
}
