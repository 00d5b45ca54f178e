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
 * Ends the jobs of one term: writes their terminal records and applies what is durable to the scheduler and the
 * dependencies. A terminal state is visible to users only once it is durable; while the outcome of a write is
 * unresolved, this controller doesn't answer for the job. Confined to the event loop.
 */
public final class JobTermination {
    private static final Logger LOG = LoggerFactory.getLogger(JobTermination.class);

    /** What a term does about jobs that end. */
    public interface Listener {
        /** The record that is to be stored for a job that ends with {@code status}. */
        ObjectNode terminalRecord(Job job, TerminalStatus status);

        /** The job's terminal record is durable. */
        void jobTerminated(String id);

        /** The states of jobs changed: others may be ready or cancelled, and there may be something to write. */
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
    /** Jobs that are terminal by the response to a write, while the replica still holds their live record. */
    private final Set<String> terminalAheadOfReplica = new HashSet<>();

    private long lastCancellationRevision;

    /** Writes under the scheduler's fencing token. */
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
     * from that record: users would be told that it is live, and its tasks would start once more.
     */
    public boolean isTerminalAheadOfReplica(String id) {
        return terminalAheadOfReplica.contains(id);
    }

    /** The replica holds the job's terminal record. */
    public void terminalRecordApplied(String id) {
        terminalAheadOfReplica.remove(id);
    }

    /** The response to the write of the job's terminal record says that it is durable. */
    private void markTerminalAfterCommit(Job job, TerminalStatus status) {
        boolean replicaWasFirst = !scheduler.hasJob(job.spec.id());
        if (!replicaWasFirst) {
            terminalAheadOfReplica.add(job.spec.id());
        }
        markTerminal(job, status);
    }

    /** The job's terminal state is durable, or follows from a dependency's that is. */
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
     * Whether the job may be terminal by a write that is unresolved, its own or the cancellation of a dependency:
     * another controller may tell users so already.
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
     * Cancels a job: its tasks are cancelled at once, and its terminal record is written, again and again until that is
     * known to be durable.
     *
     * @param caller receives true once the cancellation is durable, and false if that takes longer than a user waits:
     *     another controller may tell the cancellation all the same by then
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

    /** Whether the job is live and its cancellation was requested; it may be durable already. */
    public boolean isCancellationRequested(String id) {
        return pendingCancellations.containsKey(id);
    }

    /**
     * Writes the pending cancellations. None is written while a task of the job may yet start, by a launch in flight or
     * once its image is fetched: so nothing of the job starts after anyone can be told that it is cancelled, and the
     * tasks that are left are in the heartbeats and are stopped by the responses to them.
     *
     * @param storeReachable whether the store answers; without a caller that waits, a cancellation is written only then
     *     and when the store has capacity to spare
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

    /** The replica holds the cancelled record of a job that was live in this term. */
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

    /** Whether a replica that holds every change up to {@code appliedRevision} shows all durable cancellations. */
    public boolean replicaShowsAllCancellations(long appliedRevision) {
        return !recordWriter.hasUnresolvedCancellations()
                && Long.compareUnsigned(appliedRevision, lastCancellationRevision) >= 0;
    }

    /**
     * Whether a launch in flight, on a machine whose lease is still renewed, has held up a cancellation for so long
     * that a new fencing token has to end it: agents refuse what was sent under an older token.
     */
    public boolean needsNewFencingToken(long now) {
        long oldest = now - JobConstants.FENCING_DELAY_MS;
        return pendingCancellations.values().stream()
                .anyMatch(cancellation -> cancellation.wasRequestedBefore(oldest)
                        && scheduler.commands().directLaunchPending(cancellation.job(), oldest));
    }
}
