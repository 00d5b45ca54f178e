package org.hollypick.control.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.io.EventLoop;
import org.hollypick.records.RecordSize;
import org.hollypick.records.TaskBitmapCodec;
import org.hollypick.store.CommitResult;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;

/**
 * Stores which tasks of the live jobs are completed. A record holds the tasks of many jobs, because the store's write
 * rate is limited. Each write is conditional on the revision that it replaces, so a write that is applied late can't
 * undo completions that were relied on since. If a record is too large to be written again, because the store's limits
 * were lowered, its parts move to other records one by one: a part is removed from the old record only once the other
 * record is durable, and {@link #load} combines the contents of all records. Confined to the event loop.
 */
public final class CompletionStore {
    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final Scheduler scheduler;
    private final int maxRecordBytes;
    private final int chunkTasks;

    private final List<CompletionRecord> records = new ArrayList<>();
    /** The record that each part is written to, by the part's name. */
    private final Map<String, CompletionRecord> recordsByPart = new HashMap<>();

    private boolean requestInFlight;
    private long nextWriteAtMillis;

    /** Creates a store that reads from {@code replica} and writes under the scheduler's fencing token. */
    public CompletionStore(
            EventLoop eventLoop,
            StoreReplica replica,
            KeyValueStoreClient store,
            Settings settings,
            Scheduler scheduler) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.store = store;
        this.settings = settings;
        this.scheduler = scheduler;
        this.maxRecordBytes = RecordSize.maxBytes(settings);
        this.chunkTasks = CompletionPart.maxTasks(maxRecordBytes);
    }

    /** Restores the completed tasks of the live jobs that earlier leaders recorded. */
    public void load() {
        replica.entries().forEach((key, entry) -> {
            if (key.startsWith(StoreKeys.CHECKPOINTS)) {
                load(key, entry);
            }
        });
    }

    private void load(String key, StoreReplica.Entry entry) {
        CompletionRecord record = new CompletionRecord(key, entry.revision());
        records.add(record);
        entry.data().fields().forEachRemaining(field -> {
            CompletionPart part = CompletionPart.parse(field.getKey(), scheduler::job);
            if (part != null) {
                part.restore(TaskBitmapCodec.decode(field.getValue()));
                record.addPart(part);
                recordsByPart.put(part.name(), record);
            }
        });
    }

    /**
     * Writes new completions, one transaction at a time, while the store has spare write capacity: users don't wait for
     * these writes.
     */
    public void flush() {
        if (requestInFlight
                || !scheduler.outbox().hasNewCompletions()
                || eventLoop.now() < nextWriteAtMillis
                || !store.hasSpareWriteCapacity()) {
            return;
        }
        CompletionBatch batch = new CompletionBatch(settings);
        for (Job job : new ArrayList<>(scheduler.outbox().jobsWithNewCompletions())) {
            boolean terminalRecordFollows = job.terminalWriteInFlight() || job.isFinished();
            if (job.status() != Job.Status.LIVE) {
                scheduler.outbox().removeNewCompletions(job);
            } else if (!terminalRecordFollows && addAllParts(job, batch)) {
                scheduler.outbox().removeNewCompletions(job);
            }
        }
        lookUpUncertainRevisions();
        if (!batch.isEmpty()) {
            write(batch);
        }
    }

    /** Adds the job's new completions to the batch, as far as they fit; returns whether all were added. */
    private boolean addAllParts(Job job, CompletionBatch batch) {
        List<CompletionPart> changedParts = new ArrayList<>();
        for (int from = 0; from < job.tasks(); from += chunkTasks) {
            CompletionPart part = CompletionPart.of(job, from, chunkTasks);
            if (part.hasNewCompletions()) {
                changedParts.add(part);
            }
        }
        boolean addedAll = true;
        for (CompletionPart part : changedParts) {
            addedAll &= batch.add(part, recordFor(part));
        }
        return addedAll;
    }

    /**
     * The record to write the part to: the one that holds it, or another if that one is too large to be written again.
     */
    private CompletionRecord recordFor(CompletionPart part) {
        CompletionRecord current = recordsByPart.get(part.name());
        if (current != null && current.maxBytes() <= maxRecordBytes) {
            return current;
        }
        CompletionRecord record = recordWithCapacityFor(part);
        record.addPart(part);
        recordsByPart.put(part.name(), record);
        return record;
    }

    private CompletionRecord recordWithCapacityFor(CompletionPart part) {
        for (CompletionRecord record : records) {
            if (record.maxBytes() + part.maxBytes() <= maxRecordBytes) {
                return record;
            }
        }
        String key = StoreKeys.checkpoint(records.size());
        CompletionRecord record = new CompletionRecord(key, replica.revisionOf(key));
        records.add(record);
        return record;
    }

    private void write(CompletionBatch batch) {
        CompareAndSwap transaction = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, scheduler.token());
        for (CompletionRecord record : batch.records()) {
            removePartsOfTerminalJobs(record);
            transaction.expectRevision(record.key(), record.revision()).put(record.key(), record.encode());
        }
        requestInFlight = true;
        nextWriteAtMillis = eventLoop.now() + JobConstants.COMPLETION_WRITE_GAP_MS;
        store.commit(transaction, result -> {
            requestInFlight = false;
            if (result.committed()) {
                writeCommitted(batch, result.revision());
            } else {
                writeFailed(batch, result);
            }
        });
    }

    private void removePartsOfTerminalJobs(CompletionRecord record) {
        record.parts().removeIf(part -> {
            if (!part.isLive()) {
                recordsByPart.remove(part.name());
            }
            return !part.isLive();
        });
    }

    private void writeCommitted(CompletionBatch batch, long revision) {
        for (CompletionRecord record : batch.records()) {
            record.markWritten(revision);
            record.parts().forEach(part -> removeFromOtherRecords(part.name(), record));
        }
        for (CompletionBatch.Completions completions : batch.completions()) {
            completions.part().markDurable(completions.completed());
            scheduler.assignments().completionsCommitted(completions.part().job());
        }
    }

    private void writeFailed(CompletionBatch batch, CommitResult result) {
        if (!result.wasNeverSent()) {
            batch.records().forEach(CompletionRecord::markRevisionUncertain);
        }
        batch.completions()
                .forEach(completions ->
                        scheduler.outbox().addNewCompletions(completions.part().job()));
    }

    /** Removes the part from the other records, if {@code durableIn} is the record that it is written to now. */
    private void removeFromOtherRecords(String partName, CompletionRecord durableIn) {
        if (recordsByPart.get(partName) != durableIn) {
            return;
        }
        for (CompletionRecord record : records) {
            if (record != durableIn) {
                record.removePart(partName);
            }
        }
    }

    /** Looks up, by a linearizable read, the revisions of the records whose last write has an unknown outcome. */
    private void lookUpUncertainRevisions() {
        List<CompletionRecord> uncertain =
                records.stream().filter(CompletionRecord::isRevisionUncertain).toList();
        if (uncertain.isEmpty()) {
            return;
        }
        requestInFlight = true;
        replica.linearizableRead(upToDate -> {
            requestInFlight = false;
            if (upToDate) {
                uncertain.forEach(record -> record.resolveRevision(replica.revisionOf(record.key())));
            }
        });
    }
}
