package org.hollypick.control.graphs;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.records.GraphLogCodec;
import org.hollypick.records.GraphLogEntry;
import org.hollypick.records.RecordSize;
import org.hollypick.store.CommitResult;
import org.hollypick.store.CompareAndSwap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Durable log of one graph. Entries are written in their order, as many to a record and records to a transaction as
 * fit, one transaction at a time. Each transaction is conditional on the fencing token and on the graph's own record,
 * and creates keys that were never used; while its outcome isn't known the very same one is sent again. Confined to the
 * event loop.
 */
final class GraphLog {
    private static final Logger LOG = LoggerFactory.getLogger(GraphLog.class);

    private final GraphContext context;
    private final String graphId;
    private final LongSupplier recordNumbers;
    private final int maxRecordBytes;
    private final ArrayDeque<PendingEntry> pending = new ArrayDeque<>();
    private boolean writeInFlight;
    /** The store rejected a write: another controller leads, or the graph has ended. Nothing is written any more. */
    private boolean rejected;

    private long nextWriteAtMillis;

    /**
     * Something that waits to be durable.
     *
     * @param entry null for a marker, which only waits for what was appended before it
     * @param bytes that the entry takes in a record of its own
     */
    private record PendingEntry(GraphLogEntry entry, int bytes, Runnable onDurable) {
        boolean isMarker() {
            return entry == null;
        }
    }

    /** The longest run of pending entries that one transaction holds. */
    private static final class Batch {
        private final int maxRecordBytes;
        private final int maxRecords;
        private final List<PendingEntry> entries = new ArrayList<>();
        private final List<List<GraphLogEntry>> records = new ArrayList<>();
        private int bytesLeftInRecord;

        Batch(int maxRecordBytes, int maxRecords) {
            this.maxRecordBytes = maxRecordBytes;
            this.maxRecords = maxRecords;
        }

        /** Adds the entry, if it fits. */
        boolean add(PendingEntry added) {
            if (!added.isMarker()) {
                if (bytesLeftInRecord < added.bytes) {
                    if (records.size() == maxRecords) {
                        return false;
                    }
                    records.add(new ArrayList<>());
                    bytesLeftInRecord = maxRecordBytes;
                }
                records.get(records.size() - 1).add(added.entry);
                bytesLeftInRecord -= added.bytes;
            }
            entries.add(added);
            return true;
        }
    }

    /**
     * An empty log.
     *
     * @param recordNumbers gives each number once in this term
     */
    GraphLog(GraphContext context, String graphId, LongSupplier recordNumbers) {
        this.context = context;
        this.graphId = graphId;
        this.recordNumbers = recordNumbers;
        this.maxRecordBytes = RecordSize.maxBytes(context.settings());
    }

    /** Adds an entry and calls {@code onDurable} once it is durable. */
    void append(GraphLogEntry entry, Runnable onDurable) {
        pending.add(new PendingEntry(entry, GraphLogCodec.recordBytes(graphId, entry), onDurable));
    }

    /** Calls {@code onDurable} once all that was appended so far is durable: at once, if it is. */
    void whenDurable(Runnable onDurable) {
        if (pending.isEmpty()) {
            onDurable.run();
        } else {
            pending.add(new PendingEntry(null, 0, onDurable));
        }
    }

    int pendingEntries() {
        return pending.size();
    }

    boolean isDurable() {
        return pending.isEmpty();
    }

    /** Whether an entry fits into a record of its own. */
    boolean fits(GraphLogEntry entry) {
        return GraphLogCodec.recordBytes(graphId, entry) <= maxRecordBytes;
    }

    /**
     * Starts to write pending entries, unless a write is in flight or the store is overloaded.
     *
     * @param graphRevision revision of the graph's own record
     * @param onWritten called after each successful write
     */
    void flush(long graphRevision, Runnable onWritten) {
        if (writeInFlight
                || rejected
                || pending.isEmpty()
                || context.eventLoop().now() < nextWriteAtMillis
                || context.store().shouldShedWrite()) {
            return;
        }
        Batch batch = nextBatch();
        if (batch.records.isEmpty()) { // only markers, added while the last entry was being written
            onBatchDurable(batch);
            return;
        }
        writeInFlight = true;
        commit(transaction(batch, graphRevision), batch, onWritten);
    }

    private Batch nextBatch() {
        int recordsInBody =
                NetworkConstants.MAX_BODY_BYTES * 3 / 4 / context.settings().valueBytes();
        Batch batch = new Batch(maxRecordBytes, Math.min(context.settings().txnOps(), recordsInBody));
        for (PendingEntry entry : pending) {
            if (!batch.add(entry)) {
                break;
            }
        }
        return batch;
    }

    private CompareAndSwap transaction(Batch batch, long graphRevision) {
        CompareAndSwap changes = new CompareAndSwap()
                .expectRevision(StoreKeys.LEADER_RECORD, context.fencingToken())
                .expectRevision(StoreKeys.job(graphId), graphRevision);
        for (List<GraphLogEntry> entries : batch.records) {
            String key = StoreKeys.graphLog(graphId, context.fencingToken(), recordNumbers.getAsLong());
            changes.expectAbsent(key).put(key, GraphLogCodec.encodeRecord(graphId, entries));
        }
        return changes;
    }

    /** Sends the same keys until the outcome is known: an entry must never be stored twice. */
    private void commit(CompareAndSwap changes, Batch batch, Runnable onWritten) {
        context.store().commit(changes, result -> {
            if (result.committed() || wasCommittedByEarlierAttempt(result)) {
                writeInFlight = false;
                nextWriteAtMillis = context.eventLoop().now() + GraphConstants.GRAPH_WRITE_GAP_MS;
                onBatchDurable(batch);
                onWritten.run();
            } else if (result.conflicted() || result.invalid()) {
                onWriteRejected(result);
            } else {
                context.eventLoop().after(ElectionConstants.SESSION_RETRY_MS, () -> commit(changes, batch, onWritten));
            }
        });
    }

    private void onBatchDurable(Batch batch) {
        for (PendingEntry entry : batch.entries) {
            pending.poll();
            entry.onDurable.run();
        }
    }

    private void onWriteRejected(CommitResult result) {
        if (result.invalid()) {
            LOG.error("graph.log_record_rejected graph={}", graphId);
        }
        rejected = true;
        writeInFlight = false;
    }

    /** Only the keys that the transaction creates stand in its way: an earlier try was carried out after all. */
    private static boolean wasCommittedByEarlierAttempt(CommitResult result) {
        return result.conflicted()
                && result.conflictingKeys().stream().allMatch(key -> key.startsWith(StoreKeys.GRAPH_LOG));
    }
}
