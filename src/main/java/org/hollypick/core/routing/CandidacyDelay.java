package org.hollypick.core.routing;

import org.hollypick.config.constants.ElectionConstants;

/**
 * For how long a controller leaves a free lead to others: the longer, the fewer machines it reaches, by itself or by
 * way of another. Who reaches most claims first, and of two that reach the same the one that needs no other. Pure.
 */
public final class CandidacyDelay {
    private CandidacyDelay() {}

    /**
     * {@code direct}, {@code byPeers}: those of the machines asked that answered this controller, and those that
     * answered only another.
     */
    public static long waitMs(int asked, int direct, int byPeers) {
        if (enough(asked, direct) || asked == 0) {
            return 0;
        }
        double reached = (direct + byPeers) / (double) asked;
        double wait = ElectionConstants.CANDIDACY_DELAY_UNREACHED_MS * (1 - reached)
                + ElectionConstants.CANDIDACY_DELAY_BY_PEER_MS * byPeers / (double) asked;
        return Math.round(wait + ElectionConstants.CANDIDACY_DELAY_MAX_MS * Math.max(0, 0.5 - reached) * 2);
    }

    /** Nearly all machines are reached, by one way or another. */
    public static boolean nearlyAll(int asked, int direct, int byPeers) {
        return direct + byPeers >= asked * ElectionConstants.BETTER_LEADER_SHARE;
    }

    /**
     * Whether a lead should go over: one other reaches, alone, more than this controller does, and hardly less than it
     * does with the help of all.
     */
    public static boolean better(int direct, int byPeers, int bestPeer) {
        return bestPeer > direct && bestPeer >= (direct + byPeers) * ElectionConstants.BETTER_LEADER_SHARE;
    }

    /** More than half have answered: the rest needn't be waited for, since some machines always hang. */
    public static boolean enough(int asked, int direct) {
        return direct * 2 > asked;
    }
}
