package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Supplier;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.control.LeaderTerm;
import org.hollypick.core.Job;
import org.hollypick.core.JobDependencies;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.JobRecordCodec;
import org.hollypick.records.TerminalStatus;

/**
 * The state of jobs that this controller can determine without a request to another one: terminal states from its
 * replica of the store and, while it is the leader, live jobs. Confined to the event loop.
 */
public final class LocalJobState {
    private final StoreReplica replica;
    private final JobDependencies dependencies;
    private final Supplier<LeaderTerm> term;

    /**
     * Creates the view of the jobs.
     *
     * @param term this controller's current term as leader; null while it isn't the leader
     */
    public LocalJobState(StoreReplica replica, JobDependencies dependencies, Supplier<LeaderTerm> term) {
        this.replica = replica;
        this.dependencies = dependencies;
        this.term = term;
    }

    /** This controller's term as leader, if it holds a valid leader lease. */
    Optional<LeaderTerm> activeTerm() {
        LeaderTerm current = term.get();
        return current != null && current.holdsLeaderLease() ? Optional.of(current) : Optional.empty();
    }

    /** The live job, if this controller is the leader and schedules it. */
    Optional<Job> ownedJob(String id) {
        return activeTerm().map(active -> active.scheduler().job(id));
    }

    /** Whether the replica holds a record of the job. */
    boolean hasRecord(String id) {
        return replica.get(StoreKeys.job(id)) != null;
    }

    /** Whether the job is a service, which never completes. Requires {@link #hasRecord}. */
    boolean isService(String id) {
        return JobRecordCodec.isService(replica.get(StoreKeys.job(id)).data());
    }

    /** Whether the job's terminal state is durable. */
    boolean isTerminal(String id) {
        return terminalStatus(id).isPresent();
    }

    /**
     * The job's terminal status, if it is durable. A job that depends on a cancelled job counts as cancelled, even if
     * its own record doesn't show the cancellation. The revision on which the status is based is recorded with
     * {@link StoreReplica#observe}.
     */
    Optional<JobStatus> terminalStatus(String id) {
        StoreReplica.Entry entry = replica.get(StoreKeys.job(id));
        if (entry == null) {
            return Optional.empty();
        }
        if (JobRecordCodec.isTerminal(entry.data())) {
            replica.observe(entry.revision());
            JsonNode record = entry.data();
            JobStatus.State state = JobRecordCodec.status(record) == TerminalStatus.COMPLETED
                    ? JobStatus.State.DONE
                    : JobStatus.State.CANCELLED;
            return Optional.of(new JobStatus(id, state, JobRecordCodec.completedTasks(record), 0));
        }
        if (dependencies.isCancelled(id)) {
            replica.observe(replica.appliedRevision());
            return Optional.of(JobStatus.cancelled(id, 0));
        }
        return Optional.empty();
    }

    /** The status, if this controller is certain of it: the job is durably terminal, or live and owned here. */
    Optional<JobStatus> certainStatus(String id) {
        return terminalStatus(id).or(() -> certainlyLiveJob(id).map(JobStatus::ofLive));
    }

    /** The response with the status, if this controller is certain of it; only sent while it is still certain. */
    Optional<ServerResponse> certainResponse(String id) {
        Optional<JobStatus> terminal = terminalStatus(id);
        if (terminal.isPresent()) {
            return terminal.map(JobStatus::toResponse);
        }
        return certainlyLiveJob(id)
                .map(job -> JobStatus.ofLive(job).toResponse().onlyWhile(() -> isCertainlyLive(job)));
    }

    /** The live job, if this controller owns it and is certain that no terminal state of the job is durable. */
    Optional<Job> certainlyLiveJob(String id) {
        return ownedJob(id).filter(this::isCertainlyLive);
    }

    /**
     * Whether this controller owns the job and no write of its terminal state has an unknown outcome: such a write may
     * be durable already, and another controller may have reported it to a user.
     */
    private boolean isCertainlyLive(Job job) {
        return activeTerm()
                .filter(active -> active.scheduler().job(job.spec.id()) == job)
                .filter(active -> !active.jobTermination().hasUnresolvedTerminalWrite(job))
                .isPresent();
    }
}
