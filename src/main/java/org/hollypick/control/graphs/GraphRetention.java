package org.hollypick.control.graphs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.records.GraphLogCodec;
import org.hollypick.records.JobRecordCodec;
import org.hollypick.store.CompareAndSwap;

/**
 * Deletes the logs of ended graphs after the retention time, some records per transaction and only while the store has
 * spare write capacity. Until then the graphs' nodes and results can be read. Confined to the event loop.
 */
final class GraphRetention {
    private final GraphContext context;
    private final GraphLogReader logReader;
    private final long retentionMillis;
    private final Consumer<String> onDeleted;
    /** When each ended graph that still has a log ended, by graph id, on the event loop's clock. */
    private final Map<String, Long> endedAtMillis = new LinkedHashMap<>();

    private boolean deletionInFlight;

    /**
     * Creates the retention without graphs.
     *
     * @param onDeleted called with the id of each graph whose log has been deleted
     */
    GraphRetention(GraphContext context, GraphLogReader logReader, long retentionMillis, Consumer<String> onDeleted) {
        this.context = context;
        this.logReader = logReader;
        this.retentionMillis = retentionMillis;
        this.onDeleted = onDeleted;
    }

    /** Starts the retention time of a graph that has ended now. */
    void graphEnded(String graphId) {
        endedAtMillis.put(graphId, context.eventLoop().now());
    }

    /**
     * Starts the retention time of a graph that ended before this term, unless it was started already. The time of the
     * end isn't stored, so the retention time counts from now.
     */
    void graphEndedEarlier(String graphId) {
        endedAtMillis.putIfAbsent(graphId, context.eventLoop().now());
    }

    /** Finds the ended graphs of earlier terms that still have a log. */
    void load() {
        context.replica().entries().forEach((key, entry) -> {
            if (key.startsWith(StoreKeys.GRAPH_LOG)) {
                String graphId = GraphLogCodec.graphId(entry.data());
                StoreReplica.Entry graphRecord = context.replica().get(StoreKeys.job(graphId));
                if (graphRecord != null && JobRecordCodec.isTerminal(graphRecord.data())) {
                    graphEndedEarlier(graphId);
                }
            }
        });
    }

    /** Deletes some records of the first graph whose retention time has expired. */
    void deleteExpired(long now) {
        if (deletionInFlight || !context.store().hasSpareWriteCapacity()) {
            return;
        }
        for (Map.Entry<String, Long> ended : endedAtMillis.entrySet()) {
            if (now - ended.getValue() > retentionMillis) {
                deleteLastRecords(ended.getKey());
                return;
            }
        }
    }

    private void deleteLastRecords(String graphId) {
        List<String> keys = logReader.keys(graphId);
        if (keys.isEmpty()) {
            onDeleted.accept(graphId);
            endedAtMillis.remove(graphId);
            return;
        }
        CompareAndSwap changes = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, context.fencingToken());
        keys.subList(Math.max(0, keys.size() - context.settings().txnOps()), keys.size())
                .forEach(changes::delete);
        deletionInFlight = true;
        context.store()
                .commit(
                        changes,
                        response -> context.eventLoop()
                                .after(ElectionConstants.STORE_RETRY_MS, () -> deletionInFlight = false));
    }
}
