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
 * Durable log of one graph. Entries are written in order, one transaction at a time; a transaction holds as many
 * records, and a record as many entries, as the store's limits allow. Each transaction is conditional on the leader's
 * fencing token and on the revision of the graph's own record, and creates keys that were never used before. While its
 * outcome is unknown, the same transaction is sent again, so that no entry is stored twice. Confined to the event loop.
 */
final class GraphLog {
    private static final Logger LOG = LoggerFactory.getLogger(GraphLog.class);

    /** Maximum bytes of the values in one transaction; the rest of the request body is for its keys and conditions. */
    private static final int MAX_VALUE_BYTES = NetworkConstants.MAX_BODY_BYTES * 3 / 4;

    private final GraphContext context;
    private final String graphId;
    private final LongSupplier recordNumbers;
    private final int maxRecordBytes;
    private final ArrayDeque<PendingEntry> pending = new ArrayDeque<>();
    private boolean writeInFlight;
    /**
     * Set once the store has rejected a write: another controller leads, the graph has ended, or the record is invalid.
     * No further entries are written.
     */
    private boolean rejected;

    private long nextWriteAtMillis;

    /**
     * An entry that isn't durable yet.
     *
     * @param entry null for a marker, which counts as durable once all entries before it are
     * @param bytes size of a record that holds only this entry
     * @param onDurable called once the entry is durable
     */
    private record PendingEntry(GraphLogEntry entry, int bytes, Runnable onDurable) {
        boolean isMarker() {
            return entry == null;
        }
    }

    /** The first pending entries, as many as fit into one transaction. */
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

        /** Adds the entry if it fits, and returns whether it did. */
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
     * Creates an empty log.
     *
     * @param recordNumbers supplies the numbers in the keys of records, each one only once in this term
     */
    GraphLog(GraphContext context, String graphId, LongSupplier recordNumbers) {
        this.context = context;
        this.graphId = graphId;
        this.recordNumbers = recordNumbers;
        this.maxRecordBytes = RecordSize.maxBytes(context.settings());
    }

    /** Appends an entry and calls {@code onDurable} once it is durable. */
    void append(GraphLogEntry entry, Runnable onDurable) {
        pending.add(new PendingEntry(entry, GraphLogCodec.recordBytes(graphId, entry), onDurable));
    }

    /** Calls {@code onDurable} once all entries appended so far are durable: immediately if they already are. */
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

    /** Whether an entry fits into a record that holds nothing else. */
    boolean fits(GraphLogEntry entry) {
        return GraphLogCodec.recordBytes(graphId, entry) <= maxRecordBytes;
    }

    /**
     * Starts to write pending entries, unless a write is in flight, an earlier one was rejected, the last one was
     * committed less than {@link GraphConstants#GRAPH_WRITE_GAP_MS} ago, or the store is overloaded.
     *
     * @param graphRevision revision of the graph's own record
     * @param onWritten called after the write was committed
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
        if (batch.records.isEmpty()) { // only markers, appended while the last entry was being written
            onBatchDurable(batch);
            return;
        }
        writeInFlight = true;
        commit(transaction(batch, graphRevision), batch, onWritten);
    }

    private Batch nextBatch() {
        int maxRecordsInBody = MAX_VALUE_BYTES / context.settings().valueBytes();
        Batch batch = new Batch(maxRecordBytes, Math.min(context.settings().txnOps(), maxRecordsInBody));
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

    /** Commits a transaction and repeats it with the same keys until its outcome is known. */
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
                context.eventLoop().after(ElectionConstants.STORE_RETRY_MS, () -> commit(changes, batch, onWritten));
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

    /**
     * Whether the only conditions that failed are those on the keys that the transaction creates: then an earlier
     * attempt whose outcome was unknown had been committed.
     */
    private static boolean wasCommittedByEarlierAttempt(CommitResult result) {
        return result.conflicted()
                && result.conflictingKeys().stream().allMatch(key -> key.startsWith(StoreKeys.GRAPH_LOG));
    }
}
