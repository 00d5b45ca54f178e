package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.core.Job;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.Scheduler;
import org.hollypick.io.EventLoop;
import org.hollypick.records.TerminalStatus;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Ends the jobs of one term: writes their terminal records, and applies durable terminal states to the scheduler and
 * the dependency graph. A terminal state is visible to users only once it is durable; while the outcome of such a write
 * is unknown, users are not answered from this controller's state of the job. Confined to the event loop.
 */
public final class JobTermination {
    private static final Logger LOG = LoggerFactory.getLogger(JobTermination.class);

    /** Callbacks for jobs that end. */
    public interface Listener {
        /** Creates the record to be stored for a job that ends with {@code status}. */
        ObjectNode terminalRecord(Job job, TerminalStatus status);

        /** Called when the job's terminal state is durable, or follows from a dependency's that is. */
        void jobTerminated(String id);

        /**
         * Called when jobs changed state, which may make dependent jobs ready or cancelled, and records due to be
         * written.
         */
        void jobStatesChanged();
    }

    private final long token;
    private final EventLoop eventLoop;
    private final Scheduler scheduler;
    private final JobDependencies dependencies;
    private final KeyValueStoreClient store;
    private final Listener listener;
    private final TerminalRecordWriter recordWriter;
    private final FinishedJobWriter finishedJobWriter;
    /** Live jobs whose cancellation was requested, by id. */
    private final Map<String, PendingCancellation> pendingCancellations = new LinkedHashMap<>();
    /**
     * Ids of jobs whose terminal record is durable by the response to a write, while the replica holds their live
     * record.
     */
    private final Set<String> terminalAheadOfReplica = new HashSet<>();

    private long lastCancellationRevision;

    /** Creates a component that writes under the scheduler's fencing token. */
    public JobTermination(
            EventLoop eventLoop,
            Scheduler scheduler,
            JobDependencies dependencies,
            KeyValueStoreClient store,
            Listener listener) {
        this.token = scheduler.token();
        this.eventLoop = eventLoop;
        this.scheduler = scheduler;
        this.dependencies = dependencies;
        this.store = store;
        this.listener = listener;
        this.recordWriter = new TerminalRecordWriter(token, store, dependencies, listener::terminalRecord);
        this.finishedJobWriter = new FinishedJobWriter(scheduler, store, recordWriter, this::finishedJobWritten);
    }

    // ---- terminal states ----

    /**
     * Whether this term ended the job though the replica still holds its live record. The job mustn't be added again
     * from that record: users would see it as live, and its tasks would start again.
     */
    public boolean isTerminalAheadOfReplica(String id) {
        return terminalAheadOfReplica.contains(id);
    }

    /** Called when the replica holds the job's terminal record. */
    public void terminalRecordApplied(String id) {
        terminalAheadOfReplica.remove(id);
    }

    /**
     * Marks the job as terminal, after the response to the write of its terminal record showed that the record is
     * durable.
     */
    private void markTerminalAfterCommit(Job job, TerminalStatus status) {
        boolean appliedFromReplica = !scheduler.hasJob(job.spec.id());
        if (!appliedFromReplica) {
            terminalAheadOfReplica.add(job.spec.id());
        }
        markTerminal(job, status);
    }

    /** Marks the job as terminal. Its terminal state is durable, or follows from a dependency's that is. */
    public void markTerminal(Job job, TerminalStatus status) {
        String id = job.spec.id();
        scheduler.removeJob(id);
        listener.jobTerminated(id);
        recordWriter.jobTerminated(id);
        finishedJobWriter.jobTerminated(id);
        if (status == TerminalStatus.CANCELLED) {
            scheduler.markCancelled(job);
            dependencies.markCancelled(id);
        } else {
            scheduler.markDone(job);
            dependencies.markDone(id);
        }
        PendingCancellation cancellation = pendingCancellations.remove(id);
        if (cancellation != null) {
            cancellation.answerCallers(status == TerminalStatus.CANCELLED);
        }
        listener.jobStatesChanged();
    }

    /**
     * Whether the job may be terminal by a write with unknown outcome, of its own terminal record or of the
     * cancellation of a dependency. Another controller may have reported the terminal state to users already.
     */
    public boolean hasUnresolvedTerminalWrite(Job job) {
        return recordWriter.hasUnresolvedWrite(job);
    }

    /** Writes the terminal records of jobs whose tasks have all ended. */
    public void writeFinishedJobs() {
        finishedJobWriter.writeFinishedJobs();
    }

    private void finishedJobWritten(TerminalWrite write) {
        LOG.info(
                "job.terminated job={} status={} token={}",
                write.jobId(),
                write.status().wireName(),
                token);
        markTerminalAfterCommit(write.job(), write.status());
    }

    // ---- cancellation ----

    /**
     * Cancels a job: stops its tasks at once, and writes its terminal record, repeatedly until the record is known to
     * be durable.
     *
     * @param caller receives true once the cancellation is durable; false if the job completes instead, if a write
     *     fails, or after {@link JobConstants#CANCELLATION_RESPONSE_TIMEOUT_MS}. After a failed write or the timeout,
     *     another controller may still report the cancellation.
     */
    public void cancel(Job job, Consumer<Boolean> caller) {
        PendingCancellation cancellation =
                pendingCancellations.computeIfAbsent(job.spec.id(), id -> requestCancellation(job));
        cancellation.addCaller(caller);
        eventLoop.after(JobConstants.CANCELLATION_RESPONSE_TIMEOUT_MS, () -> {
            if (cancellation.removeCaller(caller)) {
                caller.accept(false);
            }
        });
        scheduler.cancel(job);
        listener.jobStatesChanged();
    }

    private PendingCancellation requestCancellation(Job job) {
        LOG.info(
                "job.cancellation_requested job={} token={} launch_may_execute={}",
                job.spec.id(),
                token,
                scheduler.launchMayStillExecute(job));
        return new PendingCancellation(job, eventLoop.now());
    }

    /** Whether the job is live and its cancellation was requested. The cancellation may be durable already. */
    public boolean isCancellationRequested(String id) {
        return pendingCancellations.containsKey(id);
    }

    /**
     * Writes the pending cancellations. None is written while a task of the job may still start, by a launch in flight
     * or once its image is fetched. Thus no task starts after users can learn of the cancellation, and the remaining
     * tasks appear in heartbeats, whose responses stop them.
     *
     * @param storeReachable whether the store responds; a cancellation without a waiting caller is written only then,
     *     and only while the store has spare write capacity
     */
    public void writeCancellations(boolean storeReachable) {
        long now = eventLoop.now();
        for (PendingCancellation cancellation : new ArrayList<>(pendingCancellations.values())) {
            boolean rewrite = storeReachable && cancellation.isRewriteDue(now) && store.hasSpareWriteCapacity();
            if (!cancellation.isWriteInFlight()
                    && (rewrite || cancellation.hasWaitingCallers())
                    && !scheduler.launchMayStillExecute(cancellation.job())) {
                writeCancellation(cancellation);
            }
        }
    }

    private void writeCancellation(PendingCancellation cancellation) {
        Job job = cancellation.job();
        cancellation.writeStarted(eventLoop.now());
        recordWriter.commit(List.of(recordWriter.prepare(job, TerminalStatus.CANCELLED)), result -> {
            cancellation.writeFinished();
            LOG.info("job.cancellation_written job={} status={} token={}", job.spec.id(), result.status(), token);
            if (result.committed()) {
                updateLastCancellationRevision(result.revision());
                markTerminalAfterCommit(job, TerminalStatus.CANCELLED);
            }
            cancellation.answerCallers(result.committed());
        });
    }

    /** Marks a live job as cancelled, after the replica showed its cancelled record. */
    public void cancelledRecordFound(Job job, long revision) {
        updateLastCancellationRevision(revision);
        markTerminal(job, TerminalStatus.CANCELLED);
    }

    private void updateLastCancellationRevision(long revision) {
        if (Long.compareUnsigned(revision, lastCancellationRevision) > 0) {
            lastCancellationRevision = revision;
        }
    }

    /** The newest revision, unsigned, at which a job was cancelled in this term, as far as this controller knows. */
    public long lastCancellationRevision() {
        return lastCancellationRevision;
    }

    /**
     * Whether a replica that holds every change up to {@code appliedRevision} shows all cancellations; false while the
     * outcome of one is unknown.
     */
    public boolean replicaShowsAllCancellations(long appliedRevision) {
        return !recordWriter.hasUnresolvedCancellations()
                && Long.compareUnsigned(appliedRevision, lastCancellationRevision) >= 0;
    }

    /**
     * Whether a new fencing token is needed to stop a launch in flight, which has delayed a cancellation by more than
     * {@link JobConstants#CANCELLATION_FENCING_DELAY_MS} on a machine whose lease was renewed within that time. Agents
     * reject what was sent under an older token.
     */
    public boolean needsNewFencingToken(long now) {
        long oldest = now - JobConstants.CANCELLATION_FENCING_DELAY_MS;
        return pendingCancellations.values().stream()
                .anyMatch(cancellation -> cancellation.wasRequestedBefore(oldest)
                        && scheduler.commands().directLaunchPending(cancellation.job(), oldest));
    }
}
