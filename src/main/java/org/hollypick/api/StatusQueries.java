package org.hollypick.api;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.constants.ApiConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;
import org.hollypick.records.JobCodec;

/**
 * Responds to users' status queries from this controller's own state if that is certain, else from the leader's answer,
 * else from the store. Queries are sent to the leader in batches, since hundreds can arrive per second. Confined to the
 * event loop.
 */
final class StatusQueries {
    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final LocalJobState localJobs;
    private final LeaderClient leaderClient;
    /** The callbacks of the queries in the next batch, by job id. */
    private final Map<String, List<Consumer<ServerResponse>>> nextBatch = new LinkedHashMap<>();

    private boolean batchScheduled;

    StatusQueries(EventLoop eventLoop, StoreReplica replica, LocalJobState localJobs, LeaderClient leaderClient) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.localJobs = localJobs;
        this.leaderClient = leaderClient;
    }

    /** Responds with the job's status, at once or after requests to the leader or the store. */
    void query(String id, Consumer<ServerResponse> responder) {
        if (!JobCodec.isId(id)) {
            responder.accept(UserResponses.noSuchJob());
            return;
        }
        Optional<ServerResponse> certain = localJobs.certainResponse(id);
        if (certain.isPresent()) {
            responder.accept(certain.get());
            return;
        }
        if (localJobs.ownedJob(id).isPresent()) {
            answerFromStore(id, responder);
            return;
        }
        nextBatch.computeIfAbsent(id, absent -> new ArrayList<>()).add(responder);
        if (!batchScheduled) {
            batchScheduled = true;
            eventLoop.after(ApiConstants.STATUS_QUERY_BATCH_DELAY_MS, this::sendBatch);
        }
    }

    private void sendBatch() {
        batchScheduled = false;
        Map<String, List<Consumer<ServerResponse>>> batch = new LinkedHashMap<>(nextBatch);
        nextBatch.clear();
        Optional<String> leaderAddress =
                localJobs.activeTerm().isPresent() ? Optional.empty() : leaderClient.leaderAddress();
        if (leaderAddress.isEmpty()) {
            batch.forEach((id, responders) -> responders.forEach(responder -> answerFromStore(id, responder)));
            return;
        }
        leaderClient.queryStatus(
                leaderAddress.get(),
                replica.observedRevision(),
                batch.keySet(),
                answer -> batch.forEach((id, responders) ->
                        responders.forEach(responder -> handleLeaderAnswer(id, answer, responder))));
    }

    /**
     * Passes the leader's answer on unless a newer one may have been given while it was in transit: a state that isn't
     * terminal is only passed on if its revision is no older than those of all earlier answers. Otherwise the store is
     * read.
     */
    private void handleLeaderAnswer(String id, PeerCodec.StatusAnswer answer, Consumer<ServerResponse> responder) {
        Optional<JobStatus> terminal = localJobs.terminalStatus(id);
        if (terminal.isPresent()) {
            responder.accept(terminal.get().toResponse());
            return;
        }
        JobStatus status = answer.jobs().get(id);
        if (status == null || !(status.state().isTerminal() || replica.allowsAnswerAt(answer.revision()))) {
            answerFromStore(id, responder);
            return;
        }
        replica.observe(answer.revision());
        boolean isTerminal = status.state().isTerminal();
        responder.accept(status.toResponse().onlyWhile(() -> isTerminal || !localJobs.isTerminal(id)));
    }

    /** Responds from the replica after a linearizable read. */
    private void answerFromStore(String id, Consumer<ServerResponse> responder) {
        replica.linearizableRead(fresh -> {
            Optional<JobStatus> terminal = localJobs.terminalStatus(id);
            if (!fresh) {
                responder.accept(UserResponses.storeUnavailable());
            } else if (!localJobs.hasRecord(id)) {
                responder.accept(UserResponses.noSuchJob().onlyWhile(() -> !localJobs.hasRecord(id)));
            } else if (terminal.isPresent()) {
                responder.accept(terminal.get().toResponse());
            } else {
                responder.accept(JobStatus.pending(id).toResponse().onlyWhile(() -> !localJobs.isTerminal(id)));
            }
        });
    }
}
