package org.hollypick.cluster;

import java.util.function.Consumer;
import org.hollypick.cluster.PeerMessages.LeaderLeaseRequest;
import org.hollypick.cluster.PeerMessages.LeaderLeaseResponse;
import org.hollypick.config.Settings;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyValueStoreClient;

/**
 * This controller's membership in the cluster, for use by other packages: its session with the key-value store, the
 * current leader, and whether this controller may act as leader. Delegates to the types of this package. Confined to
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
    private final Runnable onChange;

    /**
     * Creates an unregistered member, which joins the cluster in {@link #start}.
     *
     * @param onChange runs whenever this controller's permission to act as leader may have changed
     */
    public Membership(
            EventLoop eventLoop,
            KeyValueStoreClient store,
            Settings settings,
            StoreReplica replica,
            Runnable onChange) {
        this.onChange = onChange;
        this.resignations = new ResignationBackoff(eventLoop, settings, replica);
        this.registration = new MemberRegistration(eventLoop, store, settings, resignations, onChange);
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

    /** Joins the cluster. */
    public void start() {
        registration.start();
    }

    // ---- the session with the key-value store ----

    /** Returns whether this controller's session with the key-value store is valid now. */
    public boolean hasValidSession() {
        return registration.session().isValid();
    }

    /** Returns the session to which keys may be attached; null while none is valid. */
    public Long validSessionId() {
        return hasValidSession() ? registration.session().id() : null;
    }

    /** Returns whether the key-value store granted or renewed this controller's session recently. */
    public boolean reachesStore() {
        return registration.session().reachesStore();
    }

    /**
     * Returns whether users are better served by another controller: this one does not reach the key-value store, and
     * either a peer does or this one reaches no peer.
     */
    public boolean isIsolated() {
        return isolation.isIsolated();
    }

    /** Returns the revision of this incarnation's member key, which is unique to the incarnation; 0 without a key. */
    public long memberRevision() {
        return registration.memberRevision();
    }

    // ---- the current leader ----

    /**
     * Returns the current leader known to this controller; null if leadership is vacant and no peer reported a newer
     * leader.
     */
    public Leader currentLeader() {
        return directory.currentLeader();
    }

    /** Returns the controller that the leader record names, even if it has crashed; null without a leader record. */
    public String namedLeader() {
        return directory.namedLeader();
    }

    /** Returns whether the leader that the leader record names still has its member key. */
    public boolean isLeaderRegistered() {
        return !directory.isVacant();
    }

    /**
     * Returns whether a peer reported a newer leader record than the replica contains. Heartbeats are relayed to that
     * leader; everything else waits for the replica.
     */
    public boolean peerKnowsNewerLeader() {
        return directory.peerKnowsNewerLeader();
    }

    /**
     * Returns the revision of the leader record, which is the fencing token of the named leader; 0 without a record.
     */
    public long leaderRecordRevision() {
        return directory.leaderRecordRevision();
    }

    /** Returns the number of times that the leader record was written; 0 if there has been no leader yet. */
    public long term() {
        return directory.term();
    }

    // ---- the leader lease ----

    /** Returns this incarnation's fencing token if the leader record names the incarnation, else 0. */
    public long fencingToken() {
        return directory.fencingToken(registration.memberRevision());
    }

    /** Returns whether this controller may act as leader under the given fencing token now. */
    public boolean holdsLeaderLease(long token) {
        return leaderLeaseSource(token) != LeaderLeaseSource.NONE;
    }

    /** Returns the source of the leader lease that is valid now under the given fencing token. */
    public LeaderLeaseSource leaderLeaseSource(long token) {
        return leaderLease.source(token);
    }

    /**
     * Returns the latest time until which this controller may act as leader under the given fencing token, unless its
     * session or the grant of the peers is renewed.
     */
    public long leaderLeaseValidUntil(long token) {
        return leaderLease.validUntil(token);
    }

    /** Answers a peer's request for a leader lease. */
    public LeaderLeaseResponse leaderLeaseRequested(LeaderLeaseRequest request) {
        return peerLease.respond(request);
    }

    // ---- election ----

    /** Starts a campaign for leadership if leadership is vacant. */
    public void campaignIfVacant() {
        election.campaignIfVacant();
    }

    /** Probes machines directly and through all peers, to find out whether another controller is the better leader. */
    public void evaluateCandidacy(Consumer<CandidacyEvaluation.Result> onEvaluated) {
        evaluation.evaluate(CandidacyEvaluation.Scope.ALL_PEERS, onEvaluated);
    }

    /**
     * Requests a new fencing token by rewriting the leader record; agents that have received the new token reject
     * commands with an older one. Does nothing if this controller does not hold the leader lease for the given token.
     */
    public void requestNewFencingToken(long token) {
        requestNewFencingToken(token, limitsEnforcedByAllLeaders());
    }

    /**
     * Requests a new fencing token, and records in the leader record that this controller's team limits are enforced.
     */
    public void recordLimitsEnforced(long token) {
        requestNewFencingToken(token, true);
    }

    private void requestNewFencingToken(long token, boolean limitsEnforced) {
        if (holdsLeaderLease(token)) {
            election.requestNewFencingToken(token, limitsEnforced);
        }
    }

    /** Returns whether all leaders so far have enforced the team limits of this controller. */
    public boolean limitsEnforcedByAllLeaders() {
        return limitsEnforcement.enforcedByAllLeaders();
    }

    /** Returns whether enough time has passed since the last resignation in the cluster for another one. */
    public boolean isResignationAllowed() {
        return resignations.allowsResignation();
    }

    /** Resigns as leader by ending this incarnation, so that another controller takes over. */
    public void resign() {
        resignations.recordResignation();
        election.suspendCandidacy();
        registration.rejoin();
        onChange.run();
    }
}
