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
 * The user API for jobs on any controller, and the peer endpoints to which controllers forward requests of their users.
 * Confined to the event loop.
 */
public final class UserApi {
    private final StoreReplica replica;
    private final LocalJobState localJobs;
    private final StatusQueries statusQueries;
    private final JobSubmission submission;
    private final JobCancellation cancellation;
    private final CompletionEstimates estimates;

    /** Creates the endpoints; all arguments are instances that the rest of the controller uses too. */
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

    /**
     * Handles the submission of a job.
     *
     * @param body null if it couldn't be parsed
     */
    public void submit(JsonNode body, Consumer<ServerResponse> responder) {
        submission.submit(body, responder);
    }

    /** Responds with a job's status. */
    public void status(String id, Consumer<ServerResponse> responder) {
        statusQueries.query(id, responder);
    }

    /** Cancels a job and responds with its status. */
    public void cancel(String id, Consumer<ServerResponse> responder) {
        cancellation.cancel(id, responder);
    }

    /** Responds with an estimate of when a job will be complete. */
    public void estimate(String id, Consumer<ServerResponse> responder) {
        estimates.estimate(id, responder);
    }

    // ---- peers ----

    /**
     * Returns the response to a peer's request on {@link PeerCodec#STATUS_PATH}: the statuses of which this controller
     * is certain.
     *
     * @param request null if it couldn't be parsed
     */
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

    /** Handles a peer's request to cancel a job, on the path that {@link PeerCodec#cancelledJob} parses. */
    public void cancelForPeer(String id, Consumer<ServerResponse> responder) {
        cancellation.cancelForPeer(id, responder);
    }

    /**
     * Returns the response to a peer's request on {@link PeerCodec#ESTIMATE_PATH}.
     *
     * @param request null if it couldn't be parsed
     */
    public ServerResponse estimateForPeer(JsonNode request) {
        observeRevision(request);
        return estimates.estimateForPeer(request);
    }

    /** Records the newest revision that the peer has observed: answers from here must not be based on an older one. */
    private void observeRevision(JsonNode request) {
        if (request != null) {
            replica.observe(PeerCodec.revision(request));
        }
    }
}
