package org.hollypick.cluster;

import java.util.TreeSet;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.store.CommitResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Campaigns for leadership whenever it is vacant, and rewrites the leader record for a leader that needs a new fencing
 * token. At most one of the two operations is in progress. The states and transitions:
 *
 * <ul>
 *   <li>{@code IDLE}: no operation is in progress. Moves to {@code POSTPONED} or {@code EVALUATING} when leadership is
 *       vacant, to {@code WRITING} when the leader requests a new fencing token.
 *   <li>{@code POSTPONED}: a lease granted to a leader, or a recent resignation, forbids candidacy for now. Moves to
 *       {@code IDLE} after a short delay and checks again.
 *   <li>{@code EVALUATING}: waits for this controller's turn in the candidacy order, probes machines, and waits longer
 *       the fewer of them respond. Moves to {@code WRITING} if leadership is still vacant then, else to {@code IDLE}.
 *   <li>{@code WRITING}: a compare-and-swap of the leader record is in flight, or the replica does not show the outcome
 *       yet. Moves to {@code IDLE} after a short delay and checks again.
 * </ul>
 *
 * <p>Confined to the event loop.
 */
final class LeaderElection {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderElection.class);

    private enum State {
        IDLE,
        POSTPONED,
        EVALUATING,
        WRITING
    }

    private final EventLoop eventLoop;
    private final LeaderRecordWriter writer;
    private final MemberRegistration registration;
    private final PeerLeaderLease peerLease;
    private final LeaderDirectory directory;
    private final CandidacyEvaluation evaluation;
    /** The index of this controller among all controllers sorted by name, which staggers their campaigns. */
    private final int candidacyOrder;

    private State state = State.IDLE;
    private long noCandidacyAfterResignationUntil;

    LeaderElection(
            EventLoop eventLoop,
            Settings settings,
            LeaderRecordWriter writer,
            MemberRegistration registration,
            PeerLeaderLease peerLease,
            LeaderDirectory directory,
            CandidacyEvaluation evaluation) {
        this.eventLoop = eventLoop;
        this.writer = writer;
        this.registration = registration;
        this.peerLease = peerLease;
        this.directory = directory;
        this.evaluation = evaluation;
        this.candidacyOrder = candidacyOrder(settings);
    }

    private static int candidacyOrder(Settings settings) {
        TreeSet<String> controllers = new TreeSet<>();
        controllers.add(settings.node());
        settings.siblings().forEach(peer -> controllers.add(peer.node()));
        return controllers.headSet(settings.node()).size();
    }

    /** Starts a campaign if leadership is vacant and no other operation is in progress. */
    void campaignIfVacant() {
        if (state != State.IDLE || !directory.isLoaded() || !registration.isRegistered() || !directory.isVacant()) {
            return;
        }
        if (peerLease.forbidsCandidacy() || eventLoop.now() < noCandidacyAfterResignationUntil) {
            state = State.POSTPONED;
            returnToIdleAfter(ElectionConstants.CANDIDACY_STAGGER_MS);
            return;
        }
        state = State.EVALUATING;
        eventLoop.after(candidacyOrder * ElectionConstants.CANDIDACY_STAGGER_MS, this::evaluateCandidacy);
    }

    private void evaluateCandidacy() {
        evaluation.evaluate(CandidacyEvaluation.Scope.DIRECT_MAJORITY, result -> {
            long delayMs = result.candidacyDelayMs();
            if (delayMs > 0) {
                LOG.info("candidacy.delayed delay_ms={} {}", delayMs, result);
            }
            eventLoop.after(delayMs, this::becomeLeader);
        });
    }

    private void becomeLeader() {
        if (!registration.isRegistered() || !directory.isVacant() || peerLease.forbidsCandidacy()) {
            state = State.IDLE;
            return;
        }
        state = State.WRITING;
        writer.replaceLeader(this::written);
    }

    /**
     * Rewrites the leader record to get a new fencing token, unless another operation is in progress. Agents that have
     * received the new token reject commands with an older one.
     */
    void requestNewFencingToken(long token, boolean limitsEnforced) {
        if (state == State.IDLE && registration.isRegistered()) {
            state = State.WRITING;
            writer.rewriteAsLeader(token, limitsEnforced, this::written);
        }
    }

    private void written(CommitResult result) {
        // The outcome is read from the replica; the delay gives the replica time to receive it.
        boolean outcomeKnown = result.committed() || result.conflicted();
        returnToIdleAfter(
                outcomeKnown ? ElectionConstants.LEADER_RECORD_PROPAGATION_MS : ElectionConstants.STORE_RETRY_MS);
    }

    private void returnToIdleAfter(long delayMs) {
        eventLoop.after(delayMs, () -> {
            state = State.IDLE;
            campaignIfVacant();
        });
    }

    /** Prevents this controller from starting a campaign for a while after its resignation. */
    void suspendCandidacy() {
        noCandidacyAfterResignationUntil = eventLoop.now() + ElectionConstants.NO_CANDIDACY_AFTER_RESIGNATION_MS;
    }
}
