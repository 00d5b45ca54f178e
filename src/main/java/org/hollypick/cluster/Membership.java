package org.hollypick.cluster;

import java.util.function.Consumer;
import org.hollypick.cluster.PeerMessages.LeaderLeaseRequest;
import org.hollypick.cluster.PeerMessages.LeaderLeaseResponse;
import org.hollypick.config.Settings;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyValueStoreClient;

/**
 * This controller's membership in the cluster, as the other packages see it: its session with the key-value store, who
 * leads, and whether this controller may act as leader. Each matter has a type of its own in this package. Confined to
 * the event loop.
 */
public final class Membership {
    private final MemberRegistration registration;
    private final LeaderDirectory directory;
    private final IsolationDetector isolation;
    private final PeerLeaderLease peerLease;
    private final LeaderLease leaderLease;
    private final LimitsEnforcement limitsEnforcement;
    private final CandidacyEvaluation evaluation;
    private final LeaderElection election;
    private final ResignationBackoff resignations;
    private final Runnable changed;

    /** {@code changed} runs whenever this controller's right to act may have changed. */
    public Membership(
            EventLoop eventLoop, KeyValueStoreClient store, Settings settings, StoreReplica replica, Runnable changed) {
        this.changed = changed;
        this.resignations = new ResignationBackoff(eventLoop, settings, replica);
        this.registration = new MemberRegistration(eventLoop, store, settings, resignations, changed);
        this.directory = new LeaderDirectory(settings, replica);
        this.isolation = new IsolationDetector(eventLoop, settings, registration.session());
        this.peerLease = new PeerLeaderLease(eventLoop, settings, registration, directory, isolation);
        this.leaderLease = new LeaderLease(eventLoop, registration, directory, peerLease);
        this.limitsEnforcement = new LimitsEnforcement(settings, directory);
        this.evaluation = new CandidacyEvaluation(eventLoop, settings, replica);
        LeaderRecordWriter writer =
                new LeaderRecordWriter(store, settings, replica, registration, directory, limitsEnforcement);
        this.election = new LeaderElection(eventLoop, settings, writer, registration, peerLease, directory, evaluation);
        peerLease.requestPeriodically();
    }

    /** Joins the group of controllers. */
    public void start() {
        registration.start();
    }

    // ---- the session with the key-value store ----

    /** Whether this controller's session with the key-value store is valid now. */
    public boolean hasValidSession() {
        return registration.session().isValid();
    }

    /** The session that keys of this controller may be attached to; null while none is valid. */
    public Long validSessionId() {
        return hasValidSession() ? registration.session().id() : null;
    }

    /** Whether the key-value store answered lately. */
    public boolean reachesStore() {
        return registration.session().reachesStore();
    }

    /** Whether users are better served by another controller, since this one reaches too little. */
    public boolean isIsolated() {
        return isolation.isIsolated();
    }

    /** The revision of this incarnation's member key, which no other incarnation ever has; 0 while there is none. */
    public long memberRevision() {
        return registration.memberRevision();
    }

    // ---- who leads ----

    /** The present leader as far as this controller knows; null if nobody can lead. */
    public Leader currentLeader() {
        return directory.currentLeader();
    }

    /** The controller that the leader record names, which may be dead; null without a leader record. */
    public String namedLeader() {
        return directory.namedLeader();
    }

    /** Whether the leader that the leader record names still has its member key. */
    public boolean isLeaderRegistered() {
        return !directory.isVacant();
    }

    /**
     * Whether a peer reported a newer leader record than the replica shows. Heartbeats are relayed to that leader;
     * everything else waits for the replica.
     */
    public boolean peerKnowsNewerLeader() {
        return directory.peerKnowsNewerLeader();
    }

    /** The revision of the leader record, the fencing token of the leader that it names; 0 if there is none. */
    public long leaderRecordRevision() {
        return directory.leaderRecordRevision();
    }

    /** How many times the leader record was written; 0 if nobody has ever led. */
    public long term() {
        return directory.term();
    }

    // ---- the right to act as leader ----

    /** This incarnation's fencing token if the leader record names it, else 0. */
    public long fencingToken() {
        return directory.fencingToken(registration.memberRevision());
    }

    /** Whether this controller may act as leader under this fencing token now. */
    public boolean holdsLeaderLease(long token) {
        return leaderLeaseSource(token) != LeaderLeaseSource.NONE;
    }

    /** What this controller's right to act under this fencing token rests on now. */
    public LeaderLeaseSource leaderLeaseSource(long token) {
        return leaderLease.source(token);
    }

    /** Until when this controller may act, or might act, as leader under this fencing token. */
    public long leaderLeaseValidUntil(long token) {
        return leaderLease.validUntil(token);
    }

    /** Answers a peer that asks this controller for a leader lease. */
    public LeaderLeaseResponse leaderLeaseRequested(LeaderLeaseRequest request) {
        return peerLease.respond(request);
    }

    // ---- election ----

    /** Campaigns for leadership if nobody can lead under the leader record. */
    public void campaignIfVacant() {
        election.campaignIfVacant();
    }

    /** Probes machines, directly and by way of all peers, to find out which controller would lead best. */
    public void evaluateCandidacy(Consumer<CandidacyEvaluation.Result> evaluated) {
        evaluation.evaluate(CandidacyEvaluation.Scope.ALL_PEERS, evaluated);
    }

    /**
     * Gets a new fencing token for the leader under this one, by rewriting the leader record: agents then execute no
     * older command any more. Does nothing if this controller does not hold the leader lease.
     */
    public void requestNewFencingToken(long token) {
        requestNewFencingToken(token, limitsEnforcedByAllLeaders());
    }

    /** As {@link #requestNewFencingToken}, and records that the limits of this controller are enforced from now on. */
    public void recordLimitsEnforced(long token) {
        requestNewFencingToken(token, true);
    }

    private void requestNewFencingToken(long token, boolean limitsEnforced) {
        if (holdsLeaderLease(token)) {
            election.requestNewFencingToken(token, limitsEnforced);
        }
    }

    /** Whether all leaders so far have enforced the team limits that this controller enforces. */
    public boolean limitsEnforcedByAllLeaders() {
        return limitsEnforcement.enforcedByAllLeaders();
    }

    /** Whether the last resignation in the cluster is long enough ago for another one. */
    public boolean isResignationAllowed() {
        return resignations.allowsResignation();
    }

    /** Gives up leadership, and this incarnation with it, so that another controller takes over. */
    public void resign() {
        resignations.recordResignation();
        election.suspendCandidacy();
        registration.rejoin();
        changed.run();
    }
}
