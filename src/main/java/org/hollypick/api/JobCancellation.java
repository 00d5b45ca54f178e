package org.hollypick.api;

import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.control.jobs.JobTermination;
import org.hollypick.core.Job;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.JobCodec;

/**
 * Cancels jobs at the request of users of any controller. Only the leader cancels live jobs; the other controllers
 * forward the request to the leader. Confined to the event loop.
 */
final class JobCancellation {
    private final StoreReplica replica;
    private final LocalJobState localJobs;
    private final LeaderClient leaderClient;

    JobCancellation(StoreReplica replica, LocalJobState localJobs, LeaderClient leaderClient) {
        this.replica = replica;
        this.localJobs = localJobs;
        this.leaderClient = leaderClient;
    }

    /** Cancels the job and responds with its status once a terminal state is durable. */
    void cancel(String id, Consumer<ServerResponse> responder) {
        if (!JobCodec.isId(id)) {
            responder.accept(UserResponses.noSuchJob());
            return;
        }
        Optional<JobStatus> terminal = localJobs.terminalStatus(id);
        if (terminal.isPresent()) {
            responder.accept(terminal.get().toResponse());
            return;
        }
        Optional<Job> owned = localJobs.ownedJob(id);
        if (owned.isPresent()) {
            cancelOwned(owned.get(), responder);
            return;
        }
        Optional<String> leaderAddress =
                localJobs.activeTerm().isPresent() ? Optional.empty() : leaderClient.leaderAddress();
        if (leaderAddress.isPresent()) {
            leaderClient.cancel(leaderAddress.get(), id, response -> handleLeaderAnswer(id, response, responder));
        } else {
            answerWithoutLeader(id, responder);
        }
    }

    private void cancelOwned(Job job, Consumer<ServerResponse> responder) {
        JobTermination termination = localJobs.activeTerm().orElseThrow().jobTermination();
        termination.cancel(job, durable -> {
            replica.observe(termination.lastCancellationRevision());
            ServerResponse cancelled = JobStatus.cancelled(job.spec.id(), job.completedTasks.cardinality())
                    .toResponse();
            responder.accept(durable ? cancelled : UserResponses.storeUnavailable());
        });
    }

    private void handleLeaderAnswer(String id, Response response, Consumer<ServerResponse> responder) {
        Optional<JobStatus> status = response.ok() ? JobStatus.read(response.body()) : Optional.empty();
        if (status.isEmpty()) {
            answerWithoutLeader(id, responder);
            return;
        }
        replica.observe(PeerCodec.revision(response.body()));
        responder.accept(status.get().toResponse());
    }

    /**
     * Responds without the leader, after a linearizable read: with the status of a terminal job, or with 404 for a job
     * without a record. A live job can't be cancelled without the leader.
     */
    private void answerWithoutLeader(String id, Consumer<ServerResponse> responder) {
        replica.linearizableRead(fresh -> {
            Optional<JobStatus> terminal = localJobs.terminalStatus(id);
            if (fresh && !localJobs.hasRecord(id)) {
                responder.accept(UserResponses.noSuchJob().onlyWhile(() -> !localJobs.hasRecord(id)));
            } else if (fresh && terminal.isPresent()) {
                responder.accept(terminal.get().toResponse());
            } else {
                responder.accept(UserResponses.noLeader());
            }
        });
    }

    /**
     * Handles a peer's request to cancel a job on behalf of its user. The request isn't forwarded again if this
     * controller doesn't own the job.
     */
    void cancelForPeer(String id, Consumer<ServerResponse> responder) {
        if (localJobs.ownedJob(id).isPresent()) {
            cancel(
                    id,
                    response -> responder.accept(
                            response.status() == 200
                                    ? PeerCodec.withRevision(response, replica.observedRevision())
                                    : response));
            return;
        }
        responder.accept(localJobs
                .certainResponse(id)
                .map(response -> PeerCodec.withRevision(response, replica.observedRevision()))
                .orElseGet(() -> ServerResponse.error(404, "not owned here")));
    }
}
