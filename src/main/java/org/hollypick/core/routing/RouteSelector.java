package org.hollypick.core.routing;

import java.util.Arrays;
import org.hollypick.config.constants.ReachabilityConstants;

/**
 * Selects the route of requests to a service: direct, or by way of a peer that reaches it. Judges only by the outcome
 * of earlier requests, since nothing else shows a partition (docs/partial-connectivity.md). Peers are numbered from 0.
 * Times are milliseconds of the steady clock. Pure; not thread-safe.
 */
public final class RouteSelector {
    /** Stands in the place of a peer for the direct route. */
    public static final int DIRECT = -1;

    private static final int NO_PEER = -1;

    /** When the newest response on the direct route came. */
    private long directAnsweredAtMillis;

    private boolean direct = true;
    /** Until when each peer isn't selected, after a request by way of it failed. */
    private final long[] notBeforeMillis;

    private int preferredPeer;
    /** The peer by way of which the newest request succeeded. */
    private int lastSuccessfulPeer = NO_PEER;

    /** Starts with the direct route. */
    public RouteSelector(int peerCount, long nowMillis) {
        notBeforeMillis = new long[peerCount];
        Arrays.fill(notBeforeMillis, nowMillis);
        directAnsweredAtMillis = nowMillis;
    }

    /** Whether the direct route counts as up. */
    public boolean isDirect() {
        return direct;
    }

    /** The service answered a request on the direct route. */
    public void directAnswered(long nowMillis) {
        directAnsweredAtMillis = nowMillis;
        direct = true;
    }

    /**
     * A direct request that was sent at that time failed, or has no response yet though it should. A response that came
     * since outweighs it.
     *
     * @return whether the direct route counts as down from now on and didn't before
     */
    public boolean directFailed(long sentAtMillis) {
        boolean wentDown = direct && directAnsweredAtMillis <= sentAtMillis;
        direct &= !wentDown;
        return wentDown;
    }

    /** The peer to send a request by; {@link #DIRECT} if the direct route is up, or no peer is any better. */
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

    /** The service answered a request by way of that peer. */
    public void peerAnswered(int peer) {
        lastSuccessfulPeer = peer;
    }

    /** Whether the newest request that succeeded by way of a peer went by that one, and none has failed there since. */
    public boolean isLastSuccessful(int peer) {
        return lastSuccessfulPeer == peer;
    }

    /** That peer isn't reached, or doesn't reach the service. */
    public void peerFailed(int peer, long nowMillis) {
        lastSuccessfulPeer = lastSuccessfulPeer == peer ? NO_PEER : lastSuccessfulPeer;
        notBeforeMillis[peer] = nowMillis + ReachabilityConstants.ROUTE_RETRY_MS;
    }
}
