package org.hollypick.cluster;

import org.hollypick.io.EventLoop;

/**
 * Whether this controller may act as leader now: its incarnation is named by the leader record, and either its session
 * with the key-value store is valid or all peers have granted it a leader lease. Confined to the event loop.
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

    /** What the right to act under this fencing token rests on now. */
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

    /** Until when this controller may act, or might act, as leader under this fencing token. */
    long validUntil(long token) {
        return Math.max(registration.session().validUntil(), peerLease.validUntil(token));
    }
}
