package org.hollypick.cluster;

import java.util.Optional;
import org.hollypick.cluster.PeerMessages.LeaderLeaseRequest;
import org.hollypick.cluster.PeerMessages.LeaderLeaseResponse;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.core.ClockBounds;
import org.hollypick.core.WorkerLeases;
import org.hollypick.io.EventLoop;

/**
 * The leader lease that peers grant while the key-value store is unreachable. While its session renewals fail, a leader
 * requests a lease from all peers. A peer that grants it does not campaign until the lease expires, so that the leader
 * can continue if every peer grants it: no other controller can become leader. Controllers that do not lead send the
 * same requests to find out the current leader. Confined to the event loop.
 */
final class PeerLeaderLease {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final MemberRegistration registration;
    private final LeaderDirectory directory;
    private final IsolationDetector isolation;
    private final UnanimousPeerCall peers;

    /** The time until which the lease granted by all peers is valid, and the fencing token for which it was granted. */
    private long validUntil;

    private long grantedToken;
    /** The time at which the last lease that this controller granted to a leader expires. */
    private long noCandidacyUntil;

    PeerLeaderLease(
            EventLoop eventLoop,
            Settings settings,
            MemberRegistration registration,
            LeaderDirectory directory,
            IsolationDetector isolation) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.registration = registration;
        this.directory = directory;
        this.isolation = isolation;
        this.peers = new UnanimousPeerCall(eventLoop, settings);
        // An earlier process of this controller may have granted a lease just before it ended.
        this.noCandidacyUntil = eventLoop.now() + ClockBounds.atMost(ElectionConstants.LEASE_GRANT_MS);
    }

    /** Requests the lease periodically while the session's renewals fail. */
    void requestPeriodically() {
        long sinceRenewalMs = eventLoop.now() - registration.session().renewedAt();
        if (!settings.siblings().isEmpty() && sinceRenewalMs > ElectionConstants.LEASE_GRANT_REQUEST_AFTER_MS) {
            request();
        }
        eventLoop.after(ElectionConstants.LEASE_GRANT_REQUEST_INTERVAL_MS, this::requestPeriodically);
    }

    private void request() {
        long token = ownToken();
        long sentAt = eventLoop.now();
        peers.send(
                PeerMessageCodec.LEADER_LEASE_PATH,
                PeerMessageCodec.write(new LeaderLeaseRequest(token)),
                body -> {
                    LeaderLeaseResponse response = PeerMessageCodec.readLeaderLeaseResponse(body);
                    isolation.peerResponded(response.reachesStore());
                    response.currentLeader().ifPresent(directory::recordLeaderKnownToPeer);
                    return response.granted();
                },
                () -> {
                    if (token == ownToken()) {
                        grantedToken = token;
                        validUntil = sentAt + ClockBounds.atLeast(ElectionConstants.LEASE_GRANT_MS);
                    }
                });
    }

    private long ownToken() {
        return directory.fencingToken(registration.memberRevision());
    }

    /**
     * Returns the time until which the lease for this fencing token is valid; {@link WorkerLeases#NEVER} if it was not
     * granted by all peers.
     */
    long validUntil(long token) {
        return grantedToken == token ? validUntil : WorkerLeases.NEVER;
    }

    /**
     * Answers a peer's request for the lease. The response also names the current leader, since the peer cannot read
     * the store itself.
     */
    LeaderLeaseResponse respond(LeaderLeaseRequest request) {
        boolean granted = mayGrant(request.token());
        if (granted) {
            long expiresAt = eventLoop.now() + ClockBounds.atMost(ElectionConstants.LEASE_GRANT_MS);
            noCandidacyUntil = Math.max(noCandidacyUntil, expiresAt);
        }
        return new LeaderLeaseResponse(
                granted, registration.session().reachesStore(), Optional.ofNullable(directory.currentLeader()));
    }

    /**
     * Returns whether this controller may grant a lease for this fencing token. The replica must contain the leader's
     * member key: then this controller has no write in flight that would replace the leader. While this controller
     * reaches the store, no lease is granted: a failover is better than a leader that does not reach the store.
     */
    private boolean mayGrant(long token) {
        return directory.isLoaded()
                && token != 0
                && directory.leaderRecordRevision() == token
                && !directory.isVacant()
                && !registration.session().reachesStore();
    }

    /**
     * Returns whether a lease granted by this controller, or by an earlier process of it, forbids it to campaign now.
     * Leases do not matter while there is no leader record, or while the record names this controller itself.
     */
    boolean forbidsCandidacy() {
        String namedLeader = directory.namedLeader();
        return eventLoop.now() < noCandidacyUntil
                && namedLeader != null
                && !settings.node().equals(namedLeader);
    }
}
