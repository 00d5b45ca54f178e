package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.control.jobs.JobStore;
import org.hollypick.core.JobDependencies;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;

/**
 * The users' endpoints for jobs, on any controller, and the peer endpoints by which controllers ask the leader on
 * behalf of their users. Confined to the event loop.
 */
public final class UserApi {
    private final StoreReplica replica;
    private final LocalJobState localJobs;
    private final StatusQueries statusQueries;
    private final JobSubmission submission;
    private final JobCancellation cancellation;
    private final CompletionEstimates estimates;

    /** Wires the endpoints; the parts are shared with the rest of the controller. */
    public UserApi(
            EventLoop eventLoop,
            StoreReplica replica,
            JobStore jobStore,
            JobDependencies dependencies,
            Admission admission,
            LocalJobState localJobs,
            LeaderClient leaderClient) {
        this.replica = replica;
        this.localJobs = localJobs;
        this.statusQueries = new StatusQueries(eventLoop, replica, localJobs, leaderClient);
        this.submission = new JobSubmission(replica, jobStore, dependencies, admission, localJobs, statusQueries);
        this.cancellation = new JobCancellation(replica, localJobs, leaderClient);
        this.estimates = new CompletionEstimates(eventLoop, replica, dependencies, localJobs, leaderClient);
    }

    // ---- users ----

    /** Accepts a job; {@code body}: null if it couldn't be read. */
    public void submit(JsonNode body, Consumer<ServerResponse> responder) {
        submission.submit(body, responder);
    }

    /** Answers with a job's status. */
    public void status(String id, Consumer<ServerResponse> responder) {
        statusQueries.query(id, responder);
    }

    /** Cancels a job and answers with its status. */
    public void cancel(String id, Consumer<ServerResponse> responder) {
        cancellation.cancel(id, responder);
    }

    /** Answers with an estimate of when a job will be complete. */
    public void estimate(String id, Consumer<ServerResponse> responder) {
        estimates.estimate(id, responder);
    }

    // ---- peers ----

    /** Answers a peer's {@link PeerCodec#STATUS_PATH} with the jobs that this controller is certain of. */
    public ServerResponse statusForPeer(JsonNode request) {
        observeRevision(request);
        long revision = replica.observedRevision();
        Map<String, JobStatus> jobs = new LinkedHashMap<>();
        if (request != null) {
            PeerCodec.requestedJobs(request)
                    .forEach(id -> localJobs.certainStatus(id).ifPresent(status -> jobs.put(id, status)));
        }
        return ServerResponse.of(200, PeerCodec.write(new PeerCodec.StatusAnswer(revision, jobs)));
    }

    /** Answers a peer's request to cancel a job ({@link PeerCodec#cancelledJob}). */
    public void cancelForPeer(String id, Consumer<ServerResponse> responder) {
        cancellation.cancelForPeer(id, responder);
    }

    /** Answers a peer's {@link PeerCodec#ESTIMATE_PATH}. */
    public ServerResponse estimateForPeer(JsonNode request) {
        observeRevision(request);
        return estimates.estimateForPeer(request);
    }

    /** The newest revision that answers of the peer were built on counts as answered from here too. */
    private void observeRevision(JsonNode request) {
        if (request != null) {
            replica.observe(PeerCodec.revision(request));
        }
    }
}
