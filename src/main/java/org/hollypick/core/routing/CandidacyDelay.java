package org.hollypick.core.routing;

import org.hollypick.config.constants.ElectionConstants;

/**
 * Computes how long a candidate waits before it claims a vacant leadership, from the number of probed machines that it
 * reaches. The controller that reaches most machines becomes leader; of two that reach the same number, the one that
 * reaches them without the help of peers.
 *
 * <p>Parameters are numbers of machines: {@code probed} were probed, of which {@code reachedDirectly} responded to this
 * controller, {@code reachedOnlyByPeers} responded only to a peer, and {@code reachedByBestPeer} responded to the peer
 * that reached most. Stateless; safe to call from any thread.
 */
public final class CandidacyDelay {
    private CandidacyDelay() {}

    /**
     * The delay before the candidacy, in milliseconds; 0 if no machine was probed or most of them responded directly.
     */
    public static long delayMs(int probed, int reachedDirectly, int reachedOnlyByPeers) {
        if (probed == 0 || majorityResponded(probed, reachedDirectly)) {
            return 0;
        }
        double reachedShare = (reachedDirectly + reachedOnlyByPeers) / (double) probed;
        double minorityShare = Math.max(0, 0.5 - reachedShare) * 2;
        double delayMs = ElectionConstants.CANDIDACY_DELAY_UNREACHED_MS * (1 - reachedShare)
                + ElectionConstants.CANDIDACY_DELAY_BY_PEER_MS * reachedOnlyByPeers / (double) probed
                + ElectionConstants.CANDIDACY_DELAY_MINORITY_MS * minorityShare;
        return Math.round(delayMs);
    }

    /** Whether nearly all machines are reached, directly or through peers. */
    public static boolean reachesNearlyAll(int probed, int reachedDirectly, int reachedOnlyByPeers) {
        return reachedDirectly + reachedOnlyByPeers >= probed * ElectionConstants.NEARLY_ALL_REACHED_SHARE;
    }

    /**
     * Whether a peer would be the better leader: it directly reaches more machines than this controller, and nearly as
     * many as this controller and all its peers together.
     */
    public static boolean peerLeadsBetter(int reachedDirectly, int reachedOnlyByPeers, int reachedByBestPeer) {
        return reachedByBestPeer > reachedDirectly
                && reachedByBestPeer
                        >= (reachedDirectly + reachedOnlyByPeers) * ElectionConstants.NEARLY_ALL_REACHED_SHARE;
    }

    /**
     * Whether more than half of the machines responded directly. The others needn't be waited for, since some machines
     * always hang.
     */
    public static boolean majorityResponded(int probed, int reachedDirectly) {
        return reachedDirectly * 2 > probed;
    }
}
