package org.hollypick.api;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.cluster.Membership;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ApiConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/** Sends requests to the leader on behalf of this controller's users. Confined to the event loop. */
public final class LeaderClient {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final Membership membership;
    /**
     * Event loop time, in milliseconds, until which the leader is skipped after it left a status request unanswered.
     */
    private long unresponsiveUntilMs;

    /**
     * Creates a client.
     *
     * @param membership names the leader to which requests are sent
     */
    public LeaderClient(EventLoop eventLoop, Settings settings, Membership membership) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.membership = membership;
    }

    /**
     * The address of the controller that the leader record names, if it is another one; empty if there is none, or if
     * the leader recently left a status request unanswered.
     */
    Optional<String> leaderAddress() {
        return eventLoop.now() < unresponsiveUntilMs
                ? Optional.empty()
                : Optional.ofNullable(settings.meshAddr(membership.namedLeader()));
    }

    /**
     * Requests the status of several jobs.
     *
     * @param revision the newest revision that this controller has observed
     */
    void queryStatus(String address, long revision, Collection<String> ids, Consumer<PeerCodec.StatusAnswer> callback) {
        Request request = new Request(
                address,
                "POST",
                PeerCodec.STATUS_PATH,
                PeerCodec.statusRequest(revision, ids),
                NetworkConstants.PEER_TIMEOUT_MS,
                true);
        eventLoop.send(request, response -> {
            if (!response.isAnswered()) {
                unresponsiveUntilMs = eventLoop.now() + ApiConstants.UNRESPONSIVE_LEADER_BACKOFF_MS;
            }
            callback.accept(PeerCodec.statusAnswer(response, ids));
        });
    }

    /** Requests the cancellation of a job. A successful response holds the job's status and a revision. */
    void cancel(String address, String id, Consumer<Response> callback) {
        Request request = new Request(
                address, "POST", PeerCodec.cancellationPath(id), Codec.object(), StoreConstants.STORE_TIMEOUT_MS, true);
        eventLoop.send(request, callback);
    }

    /**
     * Requests an estimate of a job's completion.
     *
     * @param revision the newest revision that this controller has observed
     */
    void estimate(String address, long revision, String id, Consumer<PeerCodec.ForwardedAnswer> callback) {
        Request request = new Request(
                address,
                "POST",
                PeerCodec.ESTIMATE_PATH,
                PeerCodec.estimateRequest(revision, id),
                NetworkConstants.PEER_TIMEOUT_MS,
                true);
        eventLoop.send(request, response -> callback.accept(PeerCodec.forwardedAnswer(response)));
    }
}
