package org.hollypick.core.routing;

import org.hollypick.config.constants.ElectionConstants;

/**
 * How long a candidate leaves a vacant leadership to other controllers, by how many of the probed machines it reaches:
 * the controller that reaches most becomes leader, and of two that reach the same the one that needs no peer for it.
 *
 * <p>Of the probed machines, {@code direct} answered this controller, {@code byPeers} answered only a peer, and
 * {@code bestPeer} answered the peer that reached most. Pure, any thread.
 */
public final class CandidacyDelay {
    private CandidacyDelay() {}

    /** The delay before the candidacy, in milliseconds. */
    public static long delayMs(int probed, int direct, int byPeers) {
        if (probed == 0 || majorityResponded(probed, direct)) {
            return 0;
        }
        double reachedShare = (direct + byPeers) / (double) probed;
        double minorityShare = Math.max(0, 0.5 - reachedShare) * 2;
        double delayMs = ElectionConstants.CANDIDACY_DELAY_UNREACHED_MS * (1 - reachedShare)
                + ElectionConstants.CANDIDACY_DELAY_BY_PEER_MS * byPeers / (double) probed
                + ElectionConstants.CANDIDACY_DELAY_MAX_MS * minorityShare;
        return Math.round(delayMs);
    }

    /** Whether nearly all machines are reached, directly or by way of peers. */
    public static boolean reachesNearlyAll(int probed, int direct, int byPeers) {
        return direct + byPeers >= probed * ElectionConstants.BETTER_LEADER_SHARE;
    }

    /**
     * Whether a peer would lead better: alone it reaches more machines than this controller does, and hardly fewer than
     * this controller does with the help of all peers.
     */
    public static boolean peerLeadsBetter(int direct, int byPeers, int bestPeer) {
        return bestPeer > direct && bestPeer >= (direct + byPeers) * ElectionConstants.BETTER_LEADER_SHARE;
    }

    /** Whether more than half of the machines answered: the rest need not be waited for, since some always hang. */
    public static boolean majorityResponded(int probed, int direct) {
        return direct * 2 > probed;
    }
}
