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
 * asks all peers not to campaign for a while; it may go on leading if every one of them grants that, since nobody else
 * can then become leader. A controller that does not lead asks too, to learn who leads. Confined to the event loop.
 */
final class PeerLeaderLease {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final MemberRegistration registration;
    private final LeaderDirectory directory;
    private final IsolationDetector isolation;
    private final UnanimousPeerCall peers;

    /** The lease that all peers granted to this controller, and the fencing token that it was granted for. */
    private long validUntil;

    private long grantedToken;
    /** Until when a lease binds that this controller granted to a leader. */
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

    /** Requests the lease whenever renewals have failed for a while, from now on. */
    void requestPeriodically() {
        long sinceRenewalMs = eventLoop.now() - registration.session().renewedAt();
        if (!settings.siblings().isEmpty() && sinceRenewalMs > ElectionConstants.LEASE_GRANT_AFTER_MS) {
            request();
        }
        eventLoop.after(ElectionConstants.LEASE_GRANT_INTERVAL_MS, this::requestPeriodically);
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

    /** Until when all peers granted the lease for this fencing token; {@link WorkerLeases#NEVER} if they did not. */
    long validUntil(long token) {
        return grantedToken == token ? validUntil : WorkerLeases.NEVER;
    }

    /**
     * Answers a peer that asks for the lease: the response also names the leader, since the peer cannot read the store
     * itself.
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
     * Whether a lease may be granted for this fencing token. The replica must show that leader as registered: then this
     * controller has no write under way that would make itself leader in its place. While this controller reaches the
     * store, only the asking leader is cut off from it, and a failover serves better.
     */
    private boolean mayGrant(long token) {
        return directory.isLoaded()
                && token != 0
                && directory.leaderRecordRevision() == token
                && !directory.isVacant()
                && !registration.session().reachesStore();
    }

    /**
     * Whether a lease that this controller, or an earlier process of it, granted forbids it to campaign now. A leader
     * record that names this controller itself forbids nothing.
     */
    boolean forbidsCandidacy() {
        String namedLeader = directory.namedLeader();
        return eventLoop.now() < noCandidacyUntil
                && namedLeader != null
                && !settings.node().equals(namedLeader);
    }
}
