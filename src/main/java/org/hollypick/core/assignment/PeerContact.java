package org.hollypick.core.assignment;

/**
 * What the leader knows of a machine's reachability from its peers. Times are milliseconds of the event loop's clock.
 * Confined to the event loop.
 */
public final class PeerContact {
    private long reachedByPeerAt;
    private long reachedByPeerSince;
    private long peerCheckRequestedAt;
    private long peerCheckFailedAt;

    PeerContact() {}

    /**
     * Another controller reached it while this one didn't.
     *
     * @param unbroken whether that was so until now, so that the period goes on
     */
    public void recordReachedByPeer(boolean unbroken, long now) {
        if (!unbroken) {
            reachedByPeerSince = now;
        }
        reachedByPeerAt = now;
    }

    /** When another controller last reached it while this one didn't, in milliseconds; 0 for never. */
    public long reachedByPeerAt() {
        return reachedByPeerAt;
    }

    /** Since when, without a break, another controller has reached it while this one didn't, in milliseconds. */
    public long reachedByPeerSince() {
        return reachedByPeerSince;
    }

    /** The other controllers are asked whether they reach it. */
    public void recordPeerCheckRequest(long now) {
        peerCheckRequestedAt = now;
    }

    /** When the other controllers were last asked whether they reach it, in milliseconds; 0 for never. */
    public long peerCheckRequestedAt() {
        return peerCheckRequestedAt;
    }

    /** Another controller tried it in vain. */
    public void recordPeerCheckFailure(long now) {
        peerCheckFailedAt = now;
    }

    /** When another controller last tried it in vain, in milliseconds; 0 for never. */
    public long peerCheckFailedAt() {
        return peerCheckFailedAt;
    }
}
