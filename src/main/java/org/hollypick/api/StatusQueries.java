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
 * Answers users' status queries: from what this controller is certain of, else from the leader, else from the store.
 * The queries of a short while reach the leader as one request: there are hundreds a second. Confined to the event
 * loop.
 */
final class StatusQueries {
    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final LocalJobState localJobs;
    private final LeaderClient leaderClient;
    /** Queries of the batch that is sent next, by job id. */
    private final Map<String, List<Consumer<ServerResponse>>> nextBatch = new LinkedHashMap<>();

    private boolean batchScheduled;

    StatusQueries(EventLoop eventLoop, StoreReplica replica, LocalJobState localJobs, LeaderClient leaderClient) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.localJobs = localJobs;
        this.leaderClient = leaderClient;
    }

    /** Answers with the job's status, now or later. */
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
     * The leader's answer may have been overtaken on its way by a newer one or by this controller's replica: a state
     * that isn't terminal is only passed on if it rests on a revision no older than any answer before.
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

    /** Answers from the replica once that is as new as the store. */
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
