package org.hollypick.control.graphs;

import java.util.Map;
import org.hollypick.core.graph.GraphRejection;
import org.hollypick.core.graph.NodeState;

/** Response to a request that changes a graph. */
public sealed interface GraphResponse {
    /** How a request was accepted. */
    enum Acceptance {
        /** The request changed the graph and announced no further nodes. */
        CREATED,
        /** The request changed the graph and announced further nodes. */
        CREATED_PARTIALLY,
        /** The request changed nothing, since the graph had all of its content already. */
        ALREADY_KNOWN
    }

    /**
     * All changes that were requested are durable.
     *
     * @param taskIds the task id of each node in the request, by node id, in the order of the request
     */
    record Accepted(Acceptance acceptance, String graphId, Map<String, String> taskIds) implements GraphResponse {}

    /** The node's cancellation is durable, or the node had reached another final state before, which is given. */
    record NodeCancelled(String nodeId, NodeState state) implements GraphResponse {}

    /** Nothing was changed, or it is unknown whether the change is durable; the rejection says whether to retry. */
    record Rejected(GraphRejection rejection) implements GraphResponse {}
}
