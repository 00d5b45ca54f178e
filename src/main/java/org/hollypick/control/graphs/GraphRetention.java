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
 * Keeps nodes and results of ended graphs for a while, then deletes their logs, some records at a time and only while
 * the store has capacity to spare. Confined to the event loop.
 */
final class GraphRetention {
    private final GraphContext context;
    private final GraphLogReader logReader;
    private final long retentionMillis;
    private final Consumer<String> onDeleted;
    /** Ended graphs that still have a log, by id: when they ended. */
    private final Map<String, Long> endedAtMillis = new LinkedHashMap<>();

    private boolean deletionInFlight;

    /** Calls {@code onDeleted} with the id of each graph whose log is gone. */
    GraphRetention(GraphContext context, GraphLogReader logReader, long retentionMillis, Consumer<String> onDeleted) {
        this.context = context;
        this.logReader = logReader;
        this.retentionMillis = retentionMillis;
        this.onDeleted = onDeleted;
    }

    /** The graph has ended now. */
    void graphEnded(String graphId) {
        endedAtMillis.put(graphId, context.eventLoop().now());
    }

    /** The graph ended before this term: it is kept as if it had ended when the term came to know it. */
    void graphEndedEarlier(String graphId) {
        endedAtMillis.putIfAbsent(graphId, context.eventLoop().now());
    }

    /** Finds the ended graphs that earlier terms left. */
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

    /** Deletes some records of the first graph whose time is over. */
    void deleteExpired(long now) {
        if (deletionInFlight || !context.store().hasSpareWriteCapacity()) {
            return;
        }
        for (Map.Entry<String, Long> ended : endedAtMillis.entrySet()) {
            if (now - ended.getValue() > retentionMillis) {
                deleteSome(ended.getKey());
                return;
            }
        }
    }

    private void deleteSome(String graphId) {
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
                                .after(ElectionConstants.SESSION_RETRY_MS, () -> deletionInFlight = false));
    }
}
