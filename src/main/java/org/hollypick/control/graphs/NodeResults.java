package org.hollypick.control.graphs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hollypick.records.RecordSize;

/** Results of the nodes of one graph, and their total size. Confined to the event loop. */
final class NodeResults {
    private final Map<Integer, JsonNode> byNode = new HashMap<>();
    private int totalBytes;

    void put(int node, JsonNode result) {
        byNode.put(node, result);
        totalBytes += RecordSize.encodedBytes(result);
    }

    Optional<JsonNode> get(int node) {
        return Optional.ofNullable(byNode.get(node));
    }

    /** Encoded size of all results together, in bytes. */
    int totalBytes() {
        return totalBytes;
    }
}
