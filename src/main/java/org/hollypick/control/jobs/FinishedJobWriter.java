package org.hollypick.control.jobs;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.records.RecordSize;
import org.hollypick.records.TerminalStatus;
import org.hollypick.store.CommitResult;
import org.hollypick.store.KeyValueStoreClient;

/** Writes the terminal records of jobs whose tasks have all ended, in batches. Confined to the event loop. */
final class FinishedJobWriter {
    private static final int MAX_BATCH_BYTES = NetworkConstants.MAX_BODY_BYTES / 2;

    private final Scheduler scheduler;
    private final KeyValueStoreClient store;
    private final TerminalRecordWriter recordWriter;
    private final Consumer<TerminalWrite> onDurable;
    /**
     * Ids of jobs whose records had an unexpected revision. Each is written in a transaction of its own, whose
     * conflicts don't affect other jobs.
     */
    private final Set<String> jobsInSeparateTransactions = new HashSet<>();

    private int batchesInFlight;

    /** Creates a writer; {@code onDurable} receives each write that is known to be durable. */
    FinishedJobWriter(
            Scheduler scheduler,
            KeyValueStoreClient store,
            TerminalRecordWriter recordWriter,
            Consumer<TerminalWrite> onDurable) {
        this.scheduler = scheduler;
        this.store = store;
        this.recordWriter = recordWriter;
        this.onDurable = onDurable;
    }

    /**
     * Writes the terminal records that are due, in batches. While requests to the store are queued, fewer batches are
     * in flight: more of them would keep new jobs from being accepted, and still fewer would delay the terminal states
     * that users see.
     */
    void writeFinishedJobs() {
        List<Job> finishedJobs = new ArrayList<>();
        for (Job job : scheduler.outbox().jobsWithNewCompletions()) {
            if (job.isFinished() && !job.terminalWriteInFlight()) {
                finishedJobs.add(job);
            }
        }
        int next = 0;
        while (next < finishedJobs.size() && batchesInFlight < maxBatchesInFlight()) {
            List<TerminalWrite> batch = nextBatch(finishedJobs.subList(next, finishedJobs.size()));
            next += batch.size();
            writeBatch(batch);
        }
    }

    private int maxBatchesInFlight() {
        return store.areQueuesEmpty()
                ? JobConstants.TERMINAL_WRITES_IN_FLIGHT
                : JobConstants.TERMINAL_WRITES_WHILE_QUEUED;
    }

    /** Prepares the writes of the first jobs, as many as fit into one transaction. */
    private List<TerminalWrite> nextBatch(List<Job> finishedJobs) {
        List<TerminalWrite> batch = new ArrayList<>();
        int bytes = 0;
        for (Job job : finishedJobs) {
            TerminalWrite write =
                    recordWriter.prepare(job, job.isSuccessful() ? TerminalStatus.COMPLETED : TerminalStatus.CANCELLED);
            bytes += RecordSize.encodedBytes(write.record());
            boolean separate = jobsInSeparateTransactions.contains(write.jobId());
            boolean full = separate || batch.size() >= store.maxBatchWrites() || bytes > MAX_BATCH_BYTES;
            if (full && !batch.isEmpty()) {
                break;
            }
            batch.add(write);
            if (separate) {
                break;
            }
        }
        return batch;
    }

    private void writeBatch(List<TerminalWrite> batch) {
        batchesInFlight++;
        for (TerminalWrite write : batch) {
            scheduler.outbox().removeNewCompletions(write.job());
            write.job().beginTerminalWrite();
        }
        recordWriter.commit(batch, result -> {
            batchesInFlight--;
            separateConflictingJobs(result);
            batch.forEach(write -> handleWriteResult(write, result.committed()));
        });
    }

    private void separateConflictingJobs(CommitResult result) {
        for (String key : result.conflictingKeys()) {
            if (key.startsWith(StoreKeys.JOBS)) {
                jobsInSeparateTransactions.add(key.substring(StoreKeys.JOBS.length()));
            }
        }
    }

    private void handleWriteResult(TerminalWrite write, boolean durable) {
        Job job = write.job();
        job.endTerminalWrite();
        if (durable) {
            onDurable.accept(write);
        } else if (job.isLive()) {
            scheduler.outbox().addNewCompletions(job);
        }
    }

    /** Discards what is kept about the job, whose terminal state is durable by this or another write. */
    void jobTerminated(String id) {
        jobsInSeparateTransactions.remove(id);
    }
}
