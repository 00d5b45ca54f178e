package org.hollypick.core.assignment;

/**
 * Whether the leader's peers reach a machine, from the leader's requests to them. Times are milliseconds of the event
 * loop's clock. Confined to the event loop.
 */
public final class PeerContact {
    private long reachedByPeerAt;
    private long reachedByPeerSince;
    private long peerCheckRequestedAt;
    private long peerCheckFailedAt;

    PeerContact() {}

    /**
     * Records that another controller reached the machine while this one didn't.
     *
     * @param unbroken whether this continues the current period in which only peers reach the machine
     */
    public void recordReachedByPeer(boolean unbroken, long now) {
        if (!unbroken) {
            reachedByPeerSince = now;
        }
        reachedByPeerAt = now;
    }

    /** When another controller last reached the machine while this one didn't, in milliseconds; 0 for never. */
    public long reachedByPeerAt() {
        return reachedByPeerAt;
    }

    /** The start of the current period in which other controllers reach the machine and this one doesn't. */
    public long reachedByPeerSince() {
        return reachedByPeerSince;
    }

    /** Records that the other controllers are asked whether they reach the machine. */
    public void recordPeerCheckRequest(long now) {
        peerCheckRequestedAt = now;
    }

    /** When the other controllers were last asked whether they reach the machine, in milliseconds; 0 for never. */
    public long peerCheckRequestedAt() {
        return peerCheckRequestedAt;
    }

    /** Records that another controller failed to reach the machine. */
    public void recordPeerCheckFailure(long now) {
        peerCheckFailedAt = now;
    }

    /** When another controller last failed to reach the machine, in milliseconds; 0 for never. */
    public long peerCheckFailedAt() {
        return peerCheckFailedAt;
    }
}
