package org.hollypick.core.routing;

import java.util.Arrays;
import org.hollypick.config.constants.ReachabilityConstants;

/**
 * Which way calls to a service go: directly, or by way of another controller that reaches it. Judged by how earlier
 * calls fared alone, since nobody tells of a cut (docs/links.md). Pure.
 */
public final class RouteSelector {
    /** When the newest answer over the direct way came. */
    private long answeredAt;

    private boolean direct = true;
    /** Until when each peer isn't asked, after it was asked in vain. */
    private final long[] notBefore;

    private int preferred;
    /** The peer that the last call went by, and with success; -1: none. */
    private int proven = -1;

    public RouteSelector(int peers, long now) {
        notBefore = new long[peers];
        Arrays.fill(notBefore, now);
        answeredAt = now;
    }

    public boolean direct() {
        return direct;
    }

    /** The service answered a direct call. */
    public void answered(long now) {
        answeredAt = now;
        direct = true;
    }

    /**
     * A direct call sent then was refused, or isn't answered yet though it should be. True if the way is bad from now
     * on and wasn't before.
     */
    public boolean failed(long sentAt) {
        boolean turned = direct && answeredAt <= sentAt; // what was answered since outweighs one call
        direct &= !turned;
        return turned;
    }

    /** The peer to go by; -1: none, the direct way is as good as any. */
    public int peer(long now) {
        for (int i = 0; !direct && i < notBefore.length; i++) {
            int peer = (preferred + i) % notBefore.length;
            if (now >= notBefore[peer]) {
                preferred = peer;
                return peer;
            }
        }
        return -1;
    }

    /** A call went by that peer. */
    public void peerAnswered(int peer) {
        proven = peer;
    }

    /** Whether what takes long, and so can't show by itself that it goes nowhere, may go by that peer. */
    public boolean proven(int peer) {
        return proven == peer;
    }

    /** That peer doesn't reach the service either, or isn't reached. */
    public void peerFailed(int peer, long now) {
        proven = proven == peer ? -1 : proven;
        notBefore[peer] = now + ReachabilityConstants.ROUTE_RETRY_MS;
    }
}
