package org.hollypick.core.graph;

import java.util.function.IntConsumer;

/**
 * Releases nodes whose tasks may start: those that are durable in a sealed graph and have no dependency left that isn't
 * done. Confined to the event loop.
 */
final class NodeReleaser {
    private final NodeTable nodes;
    private final IntConsumer onRelease;
    private int durableNodes;
    private boolean sealed;

    /** Calls {@code onRelease} once with each node that becomes ready. */
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

    /** The first {@code nodeCount} nodes are durable. */
    void markDurable(int nodeCount) {
        int from = durableNodes;
        durableNodes = Math.max(durableNodes, nodeCount);
        for (int node = from; node < durableNodes; node++) {
            releaseIfReady(node);
        }
    }

    /** The client has submitted all nodes of its own. */
    void seal() {
        sealed = true;
        for (int node = 0; node < durableNodes; node++) {
            releaseIfReady(node);
        }
    }

    /** One of the node's dependencies is done. */
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
