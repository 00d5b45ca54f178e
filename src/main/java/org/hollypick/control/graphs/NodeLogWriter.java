package org.hollypick.control.graphs;

import org.hollypick.config.constants.GraphConstants;
import org.hollypick.core.graph.Graph;
import org.hollypick.records.GraphLogCodec;
import org.hollypick.records.GraphLogEntry;

/**
 * Appends a graph's new nodes to its log. An entry holds up to {@link GraphConstants#MAX_GRAPH_LOG_ENTRY_NODES} nodes,
 * fewer if it doesn't fit into a record. Confined to the event loop.
 */
final class NodeLogWriter {
    private final Graph graph;
    private final GraphLog log;
    private int loggedNodes;
    private int loggedSpecs;

    NodeLogWriter(Graph graph, GraphLog log) {
        this.graph = graph;
        this.log = log;
    }

    /** Marks all present nodes as logged, after they were read from the log. */
    void skipToEnd() {
        loggedNodes = graph.count();
        loggedSpecs = graph.specs().size();
    }

    /**
     * Appends the nodes that were added to the graph since the last call; they are durable once their entries are.
     *
     * @param parentId the node that added them; null for nodes of the client
     * @param continuationId the node that the parent has just delegated its result to, or null
     */
    void appendNewNodes(String parentId, String continuationId) {
        int count = graph.count();
        if (loggedNodes == count && continuationId != null) {
            log.append(entry(count, count, parentId, continuationId), () -> {});
        }
        while (loggedNodes < count) {
            appendNextEntry(parentId, continuationId);
        }
    }

    private void appendNextEntry(String parentId, String continuationId) {
        int end = Math.min(graph.count(), loggedNodes + GraphConstants.MAX_GRAPH_LOG_ENTRY_NODES);
        GraphLogEntry entry = entry(loggedNodes, end, parentId, continuationId);
        while (end - loggedNodes > 1 && !log.fits(entry)) {
            end = loggedNodes + (end - loggedNodes) / 2;
            entry = entry(loggedNodes, end, parentId, continuationId);
        }
        int durableNodes = end;
        log.append(entry, () -> graph.markDurable(durableNodes));
        for (int node = loggedNodes; node < end; node++) {
            loggedSpecs = Math.max(loggedSpecs, graph.specIndex(node) + 1);
        }
        loggedNodes = end;
    }

    /** Encodes nodes. Only the last entry names the continuation, which may be any of the new nodes. */
    private GraphLogEntry entry(int from, int to, String parentId, String continuationId) {
        boolean last = to == graph.count();
        return GraphLogCodec.nodesAdded(graph, from, to, loggedSpecs, parentId, last ? continuationId : null);
    }
}
