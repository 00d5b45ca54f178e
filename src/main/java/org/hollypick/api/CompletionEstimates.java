package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.control.LeaderTerm;
import org.hollypick.core.Job;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.estimate.CompletionEstimate;
import org.hollypick.core.estimate.PredictionInterval;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.JobCodec;

/** Responds to users with estimates of job completion, which the leader computes. Confined to the event loop. */
final class CompletionEstimates {
    private static final String SECONDS_UNTIL_DONE = "done_in_s";
    private static final String P10 = "p10";
    private static final String P50 = "p50";
    private static final String P90 = "p90";
    private static final String REASON = "reason";
    private static final String HISTORY = "history";
    private static final String HISTORY_RUNS = "n";
    private static final String HISTORY_SOURCE = "from";

    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final JobDependencies dependencies;
    private final LocalJobState localJobs;
    private final LeaderClient leaderClient;

    CompletionEstimates(
            EventLoop eventLoop,
            StoreReplica replica,
            JobDependencies dependencies,
            LocalJobState localJobs,
            LeaderClient leaderClient) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.dependencies = dependencies;
        this.localJobs = localJobs;
        this.leaderClient = leaderClient;
    }

    /** Responds with an estimate, or with the job's status if that is terminal. */
    void estimate(String id, Consumer<ServerResponse> responder) {
        Optional<LeaderTerm> term = localJobs.activeTerm();
        if (term.isPresent()) {
            responder.accept(estimate(id, term.get()));
            return;
        }
        Optional<String> leaderAddress = JobCodec.isId(id) ? leaderClient.leaderAddress() : Optional.empty();
        if (leaderAddress.isEmpty()) {
            responder.accept(UserResponses.noLeader());
            return;
        }
        leaderClient.estimate(
                leaderAddress.get(),
                replica.observedRevision(),
                id,
                answer -> responder.accept(handleLeaderAnswer(id, answer)));
    }

    private ServerResponse handleLeaderAnswer(String id, PeerCodec.ForwardedAnswer answer) {
        Optional<JobStatus> terminal = localJobs.terminalStatus(id);
        if (terminal.isPresent()) {
            return terminal.get().toResponse();
        }
        if (answer.status() == 0 || answer.status() == 503 || !replica.allowsAnswerAt(answer.revision())) {
            return ServerResponse.retryLater("leader");
        }
        replica.observe(answer.revision());
        return ServerResponse.of(answer.status(), answer.body()).onlyWhile(() -> !localJobs.isTerminal(id));
    }

    /**
     * Returns the response to a peer that requests an estimate on behalf of its user.
     *
     * @param request null if it couldn't be parsed
     */
    ServerResponse estimateForPeer(JsonNode request) {
        ServerResponse response = localJobs
                .activeTerm()
                .filter(term -> request != null)
                .map(term -> estimate(PeerCodec.estimatedJob(request), term))
                .orElseGet(() -> ServerResponse.retryLater("not the leader"));
        return PeerCodec.forwardedAnswer(replica.observedRevision(), response);
    }

    private ServerResponse estimate(String id, LeaderTerm term) {
        Optional<JobStatus> terminal = localJobs.terminalStatus(id);
        if (terminal.isPresent()) {
            return terminal.get().toResponse();
        }
        Optional<Job> live = localJobs.certainlyLiveJob(id);
        if (live.isEmpty()) {
            // The job's terminal state may be durable already, and reported by another controller. The user can send a
            // status query, which reads the store.
            return ServerResponse.retryLater("not known here yet");
        }
        Job job = live.get();
        ObjectNode body = Codec.object()
                .put(JobStatus.ID, id)
                .put(JobStatus.STATE, JobStatus.liveState(job).wireName());
        if (job.spec.service()) {
            return ServerResponse.of(200, body.put(REASON, "a service runs until it is cancelled"));
        }
        CompletionEstimate.Answer estimate = new CompletionEstimate(
                        term.scheduler(), term.scheduler().estimates(), dependencies::liveDependencies, eventLoop.now())
                .of(job);
        write(estimate, body);
        return ServerResponse.of(200, body);
    }

    private static void write(CompletionEstimate.Answer estimate, ObjectNode body) {
        PredictionInterval interval = estimate.interval();
        body.putObject(SECONDS_UNTIL_DONE)
                .put(P10, roundToTenths(interval.p10()))
                .put(P50, roundToTenths(interval.p50()))
                .put(P90, roundToTenths(interval.p90()));
        body.put(REASON, reason(estimate.bottleneck()));
        body.putObject(HISTORY).put(HISTORY_RUNS, interval.runs()).put(HISTORY_SOURCE, interval.source());
    }

    private static String reason(CompletionEstimate.Bottleneck bottleneck) {
        return switch (bottleneck) {
            case CAPACITY -> "room";
            case IMAGE_FETCH -> "image";
            case RUN_TIME -> "running";
            case DEPENDENCIES -> "what it awaits";
        };
    }

    private static double roundToTenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }
}
