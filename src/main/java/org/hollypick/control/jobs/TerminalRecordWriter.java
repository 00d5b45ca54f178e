package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.core.Job;
import org.hollypick.core.JobDependencies;
import org.hollypick.records.TerminalStatus;
import org.hollypick.store.CommitResult;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;

/**
 * Commits terminal records under the leader's fencing token, on the condition that the job's live record is still the
 * one that this leader read. Tracks the writes whose outcome is unknown: while a job has one, users can't be answered
 * from this controller's state of the job. Confined to the event loop.
 */
final class TerminalRecordWriter {
    private final long token;
    private final KeyValueStoreClient store;
    private final JobDependencies dependencies;
    private final BiFunction<Job, TerminalStatus, ObjectNode> recordFactory;
    /** Ids of jobs whose cancellation was sent and may be, or become, durable. */
    private final Set<String> unresolvedCancellations = new HashSet<>();

    TerminalRecordWriter(
            long token,
            KeyValueStoreClient store,
            JobDependencies dependencies,
            BiFunction<Job, TerminalStatus, ObjectNode> recordFactory) {
        this.token = token;
        this.store = store;
        this.dependencies = dependencies;
        this.recordFactory = recordFactory;
    }

    TerminalWrite prepare(Job job, TerminalStatus status) {
        return new TerminalWrite(job, status, recordFactory.apply(job, status));
    }

    /** Commits all the writes in one transaction. Their outcome stays unknown only if the store does not respond. */
    void commit(List<TerminalWrite> writes, Consumer<CommitResult> onResult) {
        CompareAndSwap transaction = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, token);
        for (TerminalWrite write : writes) {
            write.job().terminalWriteSent();
            if (write.status() == TerminalStatus.CANCELLED) {
                unresolvedCancellations.add(write.jobId());
            }
            String key = StoreKeys.job(write.jobId());
            transaction.expectRevision(key, write.job().arrivalRevision).put(key, write.record());
        }
        store.commit(transaction, result -> {
            if (!result.wasUnanswered()) {
                writes.forEach(this::resolve);
            }
            onResult.accept(result);
        });
    }

    private void resolve(TerminalWrite write) {
        Job job = write.job();
        job.terminalWriteResolved();
        if (!job.hasUnresolvedTerminalWrites()) {
            unresolvedCancellations.remove(write.jobId());
        }
    }

    /** Discards what is kept about the job, whose terminal state is durable. */
    void jobTerminated(String id) {
        unresolvedCancellations.remove(id);
    }

    boolean hasUnresolvedCancellations() {
        return !unresolvedCancellations.isEmpty();
    }

    /**
     * Whether the job may be terminal by a write with unknown outcome: its own, or the cancellation of a dependency.
     */
    boolean hasUnresolvedWrite(Job job) {
        return job.hasUnresolvedTerminalWrites()
                || (hasUnresolvedCancellations() && dependencies.dependsOnAny(job.spec.id(), unresolvedCancellations));
    }
}
