package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Predicate;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.io.Countdown;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;

/**
 * Sends a request to all peers that succeeds only if every peer agrees. If a peer does not respond in time, responds
 * with an error or disagrees, or if there are no peers, the callback never runs. Confined to the event loop.
 */
final class UnanimousPeerCall {
    private final EventLoop eventLoop;
    private final Settings settings;

    UnanimousPeerCall(EventLoop eventLoop, Settings settings) {
        this.eventLoop = eventLoop;
        this.settings = settings;
    }

    /**
     * Sends the request to all peers at once.
     *
     * @param agrees receives the body of each successful response, and returns whether that peer agrees
     * @param onAllAgreed runs once, when every peer has agreed
     */
    void send(String path, JsonNode body, Predicate<JsonNode> agrees, Runnable onAllAgreed) {
        Countdown pendingAgreements = new Countdown(settings.siblings().size());
        for (Settings.Sibling peer : settings.siblings()) {
            Request request = new Request(peer.addr(), "POST", path, body, NetworkConstants.PEER_TIMEOUT_MS, true);
            eventLoop.send(request, response -> {
                if (response.ok() && agrees.test(response.body()) && pendingAgreements.countDown()) {
                    onAllAgreed.run();
                }
            });
        }
    }
}
