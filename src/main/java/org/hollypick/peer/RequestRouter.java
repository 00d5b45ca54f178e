package org.hollypick.peer;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.routing.RouteSelector;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Routes requests to the key-value store: directly, or, while the direct route is down, through a peer that reaches the
 * store. Both routes give the same guarantees: a request may be lost, delayed, or executed without a response
 * (docs/safety.md, "By way of a peer"). Confined to the event loop.
 */
public final class RequestRouter {
    /** The path on which a controller receives requests that it forwards for a peer. */
    public static final String FORWARD_PATH = "/state";

    /**
     * The path on which a controller receives watches that it forwards for a peer; watches use separate connections.
     */
    public static final String FORWARD_WATCH_PATH = "/watch";

    private static final int HTTP_SERVICE_UNAVAILABLE = 503;
    private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);

    /** Whether a request may be sent a second time while the first may still be executed. */
    public enum Kind {
        /** The request must not be sent again. */
        ONCE,
        /** The request may be sent again by another route. */
        REPEATABLE,
        /**
         * A long poll: a late response doesn't show that the route is down, since the store may have no changes to
         * report. Aborted once the route is found to be down.
         */
        WATCH
    }

    private final EventLoop eventLoop;
    private final Request probe;
    private final List<Settings.Sibling> peers;
    private final RouteSelector route;
    /** Requests on the direct route and watches on any route that have no response yet. */
    private final Set<RoutedRequest> inFlight = new LinkedHashSet<>();
    /** The number of peers' requests that are being forwarded by this controller. */
    private int forwardedInFlight;

    /** {@code probe}: a small request that shows whether the store responds on the direct route. */
    public RequestRouter(EventLoop eventLoop, List<Settings.Sibling> peers, Request probe) {
        this.eventLoop = eventLoop;
        this.peers = peers;
        this.probe = probe;
        this.route = new RouteSelector(peers.size(), eventLoop.now());
    }

    /** A request in flight, possibly on several routes; only the first response is used. */
    private final class RoutedRequest {
        private final Request request;
        private final Kind kind;
        private Consumer<Response> callback;
        private int peer = RouteSelector.DIRECT;

        RoutedRequest(Request request, Kind kind, Consumer<Response> callback) {
            this.request = request;
            this.kind = kind;
            this.callback = callback;
        }

        boolean isWatch() {
            return kind == Kind.WATCH;
        }

        void complete(Response response) {
            inFlight.remove(this);
            if (callback != null) {
                Consumer<Response> receiver = callback;
                callback = null;
                receiver.accept(response);
            }
        }

        boolean isComplete() {
            return callback == null;
        }
    }

    /** Sends a request by the best route; the callback runs exactly once. */
    public void call(Request request, Kind kind, Consumer<Response> callback) {
        send(new RoutedRequest(request, kind, callback));
    }

    private void send(RoutedRequest routed) {
        int peer = route.selectPeer(eventLoop.now());
        if (peer == RouteSelector.DIRECT) {
            sendDirectly(routed);
        } else if (routed.isWatch() && !route.isLastSuccessful(peer)) {
            probeBeforeWatch(routed);
        } else {
            new ForwardedAttempt(routed, peer).send();
        }
    }

    /**
     * Sends a small request first, and the watch only if the small request is answered: the watch itself wouldn't show
     * for a long time whether the route works.
     */
    private void probeBeforeWatch(RoutedRequest watch) {
        call(probe, Kind.REPEATABLE, response -> {
            if (response.isAnswered() && !watch.isComplete()) {
                send(watch);
            } else {
                watch.complete(Response.noResponse());
            }
        });
    }

    private void sendDirectly(RoutedRequest routed) {
        long sentAtMillis = eventLoop.now();
        routed.peer = RouteSelector.DIRECT;
        inFlight.add(routed);
        eventLoop.send(routed.request, response -> {
            directRequestCompleted(response, sentAtMillis);
            routed.complete(response);
        });
        if (!routed.isWatch()) {
            eventLoop.after(ReachabilityConstants.ROUTE_FAILOVER_MS, () -> {
                if (inFlight.contains(routed) && routed.peer == RouteSelector.DIRECT) {
                    directRouteFailed(sentAtMillis);
                }
            });
        }
    }

    private void directRequestCompleted(Response response, long sentAtMillis) {
        if (response.isAnswered() && response.status() != HTTP_SERVICE_UNAVAILABLE) {
            if (!route.isDirect()) {
                LOG.info("store.route.restored");
            }
            route.directAnswered(eventLoop.now());
        } else if (!response.failedWith(Response.Failure.NO_CAPACITY)) {
            directRouteFailed(sentAtMillis);
        }
    }

    private void directRouteFailed(long sentAtMillis) {
        if (peers.isEmpty() || !route.directFailed(sentAtMillis)) {
            return;
        }
        LOG.info("store.route.failed_over");
        scheduleProbe();
        abortWatches(RouteSelector.DIRECT);
        for (RoutedRequest routed : new ArrayList<>(inFlight)) {
            if (routed.kind == Kind.REPEATABLE
                    && routed.peer == RouteSelector.DIRECT
                    && route.selectPeer(eventLoop.now()) != RouteSelector.DIRECT) {
                send(routed);
            }
        }
    }

    private void scheduleProbe() {
        eventLoop.after(ReachabilityConstants.ROUTE_RETRY_MS, () -> {
            if (!route.isDirect()) {
                long sentAtMillis = eventLoop.now();
                eventLoop.send(probe, response -> directRequestCompleted(response, sentAtMillis));
                scheduleProbe();
            }
        });
    }

    /** One attempt to send a request through a peer. */
    private final class ForwardedAttempt {
        private final RoutedRequest routed;
        private final int peer;
        private boolean peerResponded;

        ForwardedAttempt(RoutedRequest routed, int peer) {
            this.routed = routed;
            this.peer = peer;
        }

        void send() {
            Request request = new Request(
                    peers.get(peer).addr(),
                    "POST",
                    routed.isWatch() ? FORWARD_WATCH_PATH : FORWARD_PATH,
                    ForwardingCodec.encode(routed.request),
                    routed.request.timeoutMs(),
                    true);
            routed.peer = peer;
            if (routed.isWatch()) {
                inFlight.add(routed);
            }
            eventLoop.send(request, this::responseReceived);
            if (!routed.isWatch()) {
                eventLoop.after(ReachabilityConstants.ROUTE_FAILOVER_MS, this::failOverIfUnanswered);
            }
        }

        private void responseReceived(Response response) {
            peerResponded = true;
            if (routed.isComplete()) {
                return;
            }
            if (response.ok()) {
                storeResponseReceived(ForwardingCodec.decodeResponse(response.body()));
                return;
            }
            peerFailed(peer);
            if (response.failedWith(Response.Failure.NO_RESPONSE)) {
                routed.complete(response);
            } else {
                RequestRouter.this.send(routed); // the peer didn't forward the request
            }
        }

        private void storeResponseReceived(Response storeResponse) {
            if (!storeResponse.isAnswered() || storeResponse.status() == HTTP_SERVICE_UNAVAILABLE) {
                peerFailed(peer);
            } else {
                route.peerAnswered(peer);
            }
            routed.complete(storeResponse);
        }

        private void failOverIfUnanswered() {
            if (peerResponded || routed.isComplete()) {
                return;
            }
            peerFailed(peer);
            if (routed.kind == Kind.REPEATABLE) {
                RequestRouter.this.send(routed);
            }
        }
    }

    private void peerFailed(int peer) {
        route.peerFailed(peer, eventLoop.now());
        abortWatches(peer);
    }

    /** Completes the watches on this route without a response; their callers watch again, on another route. */
    private void abortWatches(int peer) {
        for (RoutedRequest routed : new ArrayList<>(inFlight)) {
            if (routed.isWatch() && routed.peer == peer) {
                routed.complete(Response.noResponse());
            }
        }
    }

    /**
     * Forwards a peer's request to the store on the direct route only, so that requests aren't forwarded in a loop.
     *
     * @param body the peer's message; null if the message isn't JSON
     */
    public void forward(JsonNode body, Consumer<ServerResponse> responder) {
        if (body == null || !route.isDirect() || forwardedInFlight >= ReachabilityConstants.MAX_FORWARDED_REQUESTS) {
            responder.accept(ServerResponse.retryLater("no way from here"));
            return;
        }
        forwardedInFlight++;
        long sentAtMillis = eventLoop.now();
        eventLoop.send(ForwardingCodec.decodeRequest(body, probe.address()), response -> {
            forwardedInFlight--;
            directRequestCompleted(response, sentAtMillis);
            responder.accept(ServerResponse.of(200, ForwardingCodec.encode(response)));
        });
    }
}
