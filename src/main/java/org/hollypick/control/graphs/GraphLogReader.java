package org.hollypick.control.graphs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.records.GraphLogCodec;
import org.hollypick.records.GraphLogEntry;
import org.hollypick.records.JobCodec;

/** Reads the stored log of a graph from the replica of the store. Confined to the event loop. */
final class GraphLogReader {
    private final StoreReplica replica;

    GraphLogReader(StoreReplica replica) {
        this.replica = replica;
    }

    /** Returns the keys of the graph's log records in the order in which the records were written. */
    List<String> keys(String graphId) {
        String prefix = StoreKeys.graphLog(graphId);
        List<String> keys = new ArrayList<>();
        replica.entries().keySet().forEach(key -> {
            if (key.startsWith(prefix)) {
                keys.add(key);
            }
        });
        keys.sort(Comparator.<String, Long>comparing(replica::revisionOf, Long::compareUnsigned)
                .thenComparingLong(StoreKeys::graphLogCount));
        return keys;
    }

    /** Decodes the entries of one log record in their order. */
    List<GraphLogEntry> entries(String key) throws JobCodec.InvalidException {
        return GraphLogCodec.decodeRecord(replica.get(key).data());
    }
}
