package org.hollypick.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.routing.RouteSelector;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls to the state service: directly, or, while that way is cut, by way of another controller that reaches it. To the
 * service and to whoever calls it is a longer path, nothing else: calls may be lost, late or carried out unheard on it
 * as on any other (docs/safety.md, "By way of a peer").
 */
public final class RequestRouter {
    /** What other controllers are asked to pass on; watches have connections of their own. */
    public static final String PATH = "/state";

    public static final String WATCH_PATH = "/watch";

    private static final int DIRECT = -1;
    private static final Logger LOG = LoggerFactory.getLogger(RequestRouter.class);

    /** Whether a call may be sent a second time while the first may still be carried out. */
    public enum Kind {
        ONCE,
        REPEATABLE,
        WATCH
    }

    private final EventLoop eventLoop;
    private final Request probe;
    private final List<Settings.Sibling> peers;
    private final RouteSelector route;
    /** Calls that went the direct way and watches, as long as they aren't answered. */
    private final Set<Pending> waiting = new LinkedHashSet<>();
    /** Calls of others that are under way from here. */
    private int passing;

    /** {@code probe}: a small call that shows whether the service answers directly. */
    public RequestRouter(EventLoop eventLoop, List<Settings.Sibling> peers, Request probe) {
        this.eventLoop = eventLoop;
        this.peers = peers;
        this.probe = probe;
        this.route = new RouteSelector(peers.size(), eventLoop.now());
    }

    private final class Pending {
        private final Request call;
        private final Kind kind;
        private Consumer<Response> callback;
        private int peer = DIRECT;

        Pending(Request call, Kind kind, Consumer<Response> callback) {
            this.call = call;
            this.kind = kind;
            this.callback = callback;
        }

        /** The first answer counts. */
        void end(Response r) {
            waiting.remove(this);
            if (callback != null) {
                Consumer<Response> to = callback;
                callback = null;
                to.accept(r);
            }
        }

        boolean over() {
            return callback == null;
        }
    }

    public void call(Request call, Kind kind, Consumer<Response> callback) {
        send(new Pending(call, kind, callback));
    }

    private void send(Pending p) {
        int peer = route.peer(eventLoop.now());
        if (peer < 0) {
            direct(p);
        } else if (p.kind == Kind.WATCH && !route.proven(peer)) {
            call(probe, Kind.REPEATABLE, r -> {
                if (r.isAnswered() && !p.over()) {
                    send(p);
                } else {
                    p.end(Response.noResponse());
                }
            });
        } else {
            by(peer, p);
        }
    }

    private void direct(Pending p) {
        long sent = eventLoop.now();
        p.peer = DIRECT;
        waiting.add(p);
        eventLoop.send(p.call, r -> {
            heard(r, sent);
            p.end(r);
        });
        if (p.kind != Kind.WATCH) {
            eventLoop.after(ReachabilityConstants.ROUTE_FAILOVER_MS, () -> {
                if (waiting.contains(p) && p.peer == DIRECT) {
                    bad(sent);
                }
            });
        }
    }

    /** What a direct call's answer, or its want, says of the way. */
    private void heard(Response r, long sent) {
        if (r.isAnswered() && r.status() != 503) {
            if (!route.direct()) {
                LOG.info("the state service is reached directly again");
            }
            route.answered(eventLoop.now());
        } else if (!r.failedWith(Response.Failure.NO_CAPACITY)) {
            bad(sent);
        }
    }

    private void bad(long sent) {
        if (!peers.isEmpty() && route.failed(sent)) {
            LOG.info("the state service isn't reached directly, going by other controllers");
            probeAgain();
            endWatches(DIRECT);
            for (Pending p : new ArrayList<>(waiting)) {
                if (p.kind == Kind.REPEATABLE && p.peer == DIRECT && route.peer(eventLoop.now()) >= 0) {
                    send(p);
                }
            }
        }
    }

    private void probeAgain() {
        eventLoop.after(ReachabilityConstants.ROUTE_RETRY_MS, () -> {
            if (!route.direct()) {
                long sent = eventLoop.now();
                eventLoop.send(probe, r -> heard(r, sent));
                probeAgain();
            }
        });
    }

    private void by(int peer, Pending p) {
        ObjectNode body = Codec.object()
                .put("method", p.call.method())
                .put("path", p.call.path())
                .put("timeout_ms", p.call.timeoutMs());
        body.set("body", p.call.body());
        boolean[] answered = {false};
        p.peer = peer;
        if (p.kind == Kind.WATCH) {
            waiting.add(p);
        }
        eventLoop.send(
                new Request(
                        peers.get(peer).addr(),
                        "POST",
                        p.kind == Kind.WATCH ? WATCH_PATH : PATH,
                        body,
                        p.call.timeoutMs(),
                        true),
                r -> {
                    answered[0] = true;
                    if (p.over()) {
                        return;
                    }
                    if (r.ok()) {
                        int status = r.body().path("status").asInt();
                        if (status <= 0 || status == 503) {
                            peerFailed(peer);
                        } else {
                            route.peerAnswered(peer);
                        }
                        p.end(new Response(status, r.body().path("body")));
                    } else {
                        peerFailed(peer);
                        if (r.failedWith(Response.Failure.NO_RESPONSE)) {
                            p.end(r);
                        } else {
                            send(p); // it wasn't passed on
                        }
                    }
                });
        if (p.kind != Kind.WATCH) {
            eventLoop.after(ReachabilityConstants.ROUTE_FAILOVER_MS, () -> {
                if (!answered[0] && !p.over()) {
                    peerFailed(peer);
                    if (p.kind == Kind.REPEATABLE) {
                        send(p);
                    }
                }
            });
        }
    }

    private void peerFailed(int peer) {
        route.peerFailed(peer, eventLoop.now());
        endWatches(peer);
    }

    /** Whoever watches begins again, on another way. */
    private void endWatches(int peer) {
        for (Pending p : new ArrayList<>(waiting)) {
            if (p.kind == Kind.WATCH && p.peer == peer) {
                p.end(Response.noResponse());
            }
        }
    }

    /**
     * Another controller asks this one to pass a call on. Only what can be sent directly is: so no call goes in
     * circles.
     */
    public void pass(JsonNode body, Consumer<ServerResponse> responder) {
        if (body == null || !route.direct() || passing >= ReachabilityConstants.MAX_FORWARDED_REQUESTS) {
            responder.accept(ServerResponse.retryLater("no way from here"));
            return;
        }
        passing++;
        JsonNode content = body.path("body");
        Request call = Request.of(
                probe.address(),
                body.path("method").asText(),
                body.path("path").asText(),
                content.isNull() || content.isMissingNode() ? null : content,
                Math.min(body.path("timeout_ms").asLong(), ReachabilityConstants.FORWARDED_REQUEST_TIMEOUT_MS));
        long sent = eventLoop.now();
        eventLoop.send(call, r -> {
            passing--;
            heard(r, sent);
            ObjectNode told = Codec.object().put("status", r.status());
            told.set("body", r.body().isMissingNode() ? null : r.body());
            responder.accept(ServerResponse.of(200, told));
        });
    }
}
