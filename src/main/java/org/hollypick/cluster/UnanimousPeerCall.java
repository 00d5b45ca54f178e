package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Predicate;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.io.Countdown;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;

/**
 * One request to all peers that counts only if every one of them agrees. A peer that does not answer in time, answers
 * with an error or disagrees makes it fail silently; so does a cluster without peers. Confined to the event loop.
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
     * @param agrees sees the body of each successful response, and returns whether that peer agrees
     * @param allAgreed runs once, when the last peer has agreed
     */
    void send(String path, JsonNode body, Predicate<JsonNode> agrees, Runnable allAgreed) {
        Countdown missing = new Countdown(settings.siblings().size());
        for (Settings.Sibling peer : settings.siblings()) {
            Request request = new Request(peer.addr(), "POST", path, body, NetworkConstants.PEER_TIMEOUT_MS, true);
            eventLoop.send(request, response -> {
                if (response.ok() && agrees.test(response.body()) && missing.countDown()) {
                    allAgreed.run();
                }
            });
        }
    }
}
