package org.hollypick.cluster;

import org.hollypick.io.EventLoop;

/**
 * The leader lease of this controller. It is valid while the leader record names this incarnation, and either the
 * session with the key-value store is valid or all peers have granted a lease. Confined to the event loop.
 */
final class LeaderLease {
    private final EventLoop eventLoop;
    private final MemberRegistration registration;
    private final LeaderDirectory directory;
    private final PeerLeaderLease peerLease;

    LeaderLease(
            EventLoop eventLoop,
            MemberRegistration registration,
            LeaderDirectory directory,
            PeerLeaderLease peerLease) {
        this.eventLoop = eventLoop;
        this.registration = registration;
        this.directory = directory;
        this.peerLease = peerLease;
    }

    /** Returns the source of the leader lease that is valid now under the given fencing token. */
    LeaderLeaseSource source(long token) {
        if (token == 0 || token != directory.fencingToken(registration.memberRevision())) {
            return LeaderLeaseSource.NONE;
        }
        StoreSession session = registration.session();
        if (session.isValid()) {
            return LeaderLeaseSource.SESSION;
        }
        boolean grantedByPeers = session.isOpen() && eventLoop.now() < peerLease.validUntil(token);
        return grantedByPeers ? LeaderLeaseSource.PEERS : LeaderLeaseSource.NONE;
    }

    /**
     * Returns the latest time until which this controller may act as leader under the given fencing token, unless the
     * session or the grant of the peers is renewed.
     */
    long validUntil(long token) {
        return Math.max(registration.session().validUntil(), peerLease.validUntil(token));
    }
}
