package org.hollypick.core.routing;

import java.util.Arrays;
import org.hollypick.config.constants.ReachabilityConstants;

/**
 * Selects the route of requests to a service: direct, or through a peer that reaches it. Only the outcomes of earlier
 * requests count, since nothing else reveals a partition (docs/partial-connectivity.md). Peers are numbered from 0.
 * Times are milliseconds of the steady clock. Does no I/O; not thread-safe.
 */
public final class RouteSelector {
    /** Returned in place of a peer's number for the direct route. */
    public static final int DIRECT = -1;

    private static final int NO_PEER = -1;

    /** When the newest response on the direct route was received. */
    private long directAnsweredAtMillis;

    private boolean direct = true;
    /** The earliest time at which each peer may be selected again after a request through it failed. */
    private final long[] notBeforeMillis;

    private int preferredPeer;
    /** The peer of the newest successful request through a peer, unless a request through it has failed since. */
    private int lastSuccessfulPeer = NO_PEER;

    /** Creates a selector whose direct route is up. */
    public RouteSelector(int peerCount, long nowMillis) {
        notBeforeMillis = new long[peerCount];
        Arrays.fill(notBeforeMillis, nowMillis);
        directAnsweredAtMillis = nowMillis;
    }

    /** Whether the direct route is considered up. */
    public boolean isDirect() {
        return direct;
    }

    /** Records that the service responded on the direct route, which is up from now on. */
    public void directAnswered(long nowMillis) {
        directAnsweredAtMillis = nowMillis;
        direct = true;
    }

    /**
     * Records that a direct request sent at {@code sentAtMillis} failed, or that its response is overdue. Ignored if a
     * direct response was received after that time.
     *
     * @return whether this took the direct route down
     */
    public boolean directFailed(long sentAtMillis) {
        boolean wentDown = direct && directAnsweredAtMillis <= sentAtMillis;
        direct &= !wentDown;
        return wentDown;
    }

    /**
     * Selects the peer to send a request through; {@link #DIRECT} if the direct route is up, or if requests through all
     * peers have failed recently.
     */
    public int selectPeer(long nowMillis) {
        for (int i = 0; !direct && i < notBeforeMillis.length; i++) {
            int peer = (preferredPeer + i) % notBeforeMillis.length;
            if (nowMillis >= notBeforeMillis[peer]) {
                preferredPeer = peer;
                return peer;
            }
        }
        return DIRECT;
    }

    /** Records that the service responded to a request through the peer. */
    public void peerAnswered(int peer) {
        lastSuccessfulPeer = peer;
    }

    /** Whether the newest successful request through a peer went through this one, and none has failed there since. */
    public boolean isLastSuccessful(int peer) {
        return lastSuccessfulPeer == peer;
    }

    /** Records that the peer isn't reachable, or doesn't reach the service. */
    public void peerFailed(int peer, long nowMillis) {
        lastSuccessfulPeer = lastSuccessfulPeer == peer ? NO_PEER : lastSuccessfulPeer;
        notBeforeMillis[peer] = nowMillis + ReachabilityConstants.ROUTE_RETRY_MS;
    }
}
