package org.hollypick.control.graphs;

import java.util.Map;
import org.hollypick.core.graph.GraphRejection;
import org.hollypick.core.graph.NodeState;

/** Answer to a request that changes a graph. */
public sealed interface GraphResponse {
    /** How a request was accepted. */
    enum Acceptance {
        /** Something was added, and nothing is missing. */
        CREATED,
        /** Something was added, and the client has announced further nodes. */
        CREATED_PARTIALLY,
        /** All of it was known already. */
        ALREADY_KNOWN
    }

    /**
     * All that was asked for is durable.
     *
     * @param taskIds the task of each node in the request, by node id and in its order
     */
    record Accepted(Acceptance acceptance, String graphId, Map<String, String> taskIds) implements GraphResponse {}

    /** A node's cancellation is durable, or the node had ended before: as its state says. */
    record NodeCancelled(String nodeId, NodeState state) implements GraphResponse {}

    /** Nothing was changed, or it isn't known whether it became durable; the rejection says whether to try again. */
    record Rejected(GraphRejection rejection) implements GraphResponse {}
}
