package org.hollypick.control.machines;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.control.TermContext;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.health.LocalHealth;
import org.hollypick.io.TokenBucket;

/**
 * Tells from missing heartbeats and unacknowledged calls which machines are lost, which zones are partitioned, and
 * whether this leader itself is isolated or overloaded. Confined to the event loop.
 */
public final class FailureDetector {
    /** So few unresponsive machines say nothing about the network. */
    private static final int MAX_UNRELATED_FAILURES = 2;

    private final TermContext term;
    private final Settings settings;
    private final Scheduler scheduler;
    private final LocalHealth localHealth;
    private final PeerReachabilityTracker peerReachability;
    private final Consumer<Machine> probe;
    private final long startedAt;
    private final TokenBucket terminationBudget;
    /** Since when nearly no machine responds; 0 if some do. */
    private long isolatedSince;
    /** Since when peers reach several machines that this leader doesn't; 0 if they don't. */
    private long reachedOnlyByPeersSince;

    private long complaintReceivedAt = -ReachabilityConstants.PEER_CHECK_VALID_MS;
    /** Until when no machine counts as lost, since most machines, or most of a zone, were unresponsive together. */
    private long recoveryGraceEndsAt;

    private Set<String> partitionedZones = Set.of();
    private String summary = "";

    /** {@code probe} calls a machine directly, unless too many calls are in flight. */
    FailureDetector(TermContext term, LocalHealth localHealth, Consumer<Machine> probe) {
        this.term = term;
        this.settings = term.settings();
        this.scheduler = term.scheduler();
        this.localHealth = localHealth;
        this.peerReachability = new PeerReachabilityTracker(term.eventLoop(), settings, scheduler::machine);
        this.probe = probe;
        this.startedAt = term.now();
        this.terminationBudget = new TokenBucket(0, startedAt);
    }

    /**
     * Probes the machines whose heartbeats are overdue, has peers check those that left a call unacknowledged, and
     * returns those that are lost and may be terminated now.
     */
    public List<Machine> detectUnresponsive(long now) {
        if (now - startedAt < FailureDetectionConstants.FAILOVER_GRACE_MS) {
            return List.of();
        }
        ResponsivenessSnapshot survey =
                new ResponsivenessSnapshot(scheduler.machines(), peerReachability, settings, now);
        survey.overdue().forEach(probe);
        peerReachability.requestChecks(survey.unacknowledged());
        updateReachedOnlyByPeers(survey, now);
        updateIsolation(survey, now);
        return localHealth.isHealthy(now) && now >= recoveryGraceEndsAt ? withinBudget(survey.lost(), now) : List.of();
    }

    private void updateReachedOnlyByPeers(ResponsivenessSnapshot survey, long now) {
        int reachedByPeers = PeerReachabilityTracker.countReachedOnlyByPeers(scheduler.machines(), now);
        if (reachedByPeers < ReachabilityConstants.REACHED_BY_PEER_AT_FAULT) {
            reachedOnlyByPeersSince = 0;
        } else if (reachedOnlyByPeersSince <= 0) {
            reachedOnlyByPeersSince = now;
        }
        summary = "responsive=" + survey.responsiveCount() + " unresponsive=" + survey.unresponsiveCount()
                + " reached_by_peers=" + reachedByPeers;
    }

    private void updateIsolation(ResponsivenessSnapshot survey, long now) {
        partitionedZones = survey.partitionedZones();
        double share = survey.unresponsiveShare();
        boolean related = survey.unresponsiveCount() > MAX_UNRELATED_FAILURES;
        if ((related && share > FailureDetectionConstants.UNRESPONSIVE_SHARE) || !partitionedZones.isEmpty()) {
            recoveryGraceEndsAt = now + FailureDetectionConstants.RECOVERY_GRACE_MS;
        }
        if (!related || share < FailureDetectionConstants.ISOLATED_SHARE) {
            isolatedSince = 0;
        } else if (isolatedSince == 0) {
            isolatedSince = now;
        }
    }

    /** So many a second at most: a leader may be wrong about what it takes for lost, the more so after a failover. */
    private List<Machine> withinBudget(List<Machine> lost, long now) {
        double share = now - startedAt < FailureDetectionConstants.EARLY_TERM_MS
                ? FailureDetectionConstants.SCALE_IN_SHARE_EARLY
                : FailureDetectionConstants.SCALE_IN_SHARE;
        terminationBudget.setRate(Math.max(
                FailureDetectionConstants.SCALE_IN_MIN_MACHINES,
                share * scheduler.machines().size()));
        List<Machine> terminating = new ArrayList<>();
        for (Machine machine : lost) {
            if (!terminationBudget.has(1, now)) {
                break;
            }
            terminationBudget.take(1, now);
            terminating.add(machine);
        }
        return terminating;
    }

    /** The counts of the last survey as key=value pairs, for the log. */
    public String summary() {
        return summary;
    }

    /** Zones that seem partitioned from this controller: an instance started there couldn't be reached. */
    public Set<String> partitionedZones() {
        return partitionedZones;
    }

    /** Whether machines have been out of reach for so long that their leases would expire during another wait. */
    public boolean agentLeasesAboutToExpire(long now) {
        long isolationStart = isolatedSince > 0 ? isolatedSince : now;
        long reachedByPeersStart = reachedOnlyByPeersSince > 0 ? reachedOnlyByPeersSince : now;
        long outOfReachMillis = now - Math.min(isolationStart, reachedByPeersStart);
        return outOfReachMillis > settings.leaseS() * 1_000 * ElectionConstants.ISOLATED_LEASE_SHARE;
    }

    /**
     * A controller that can't be reached directly reported, through the store, that it receives the heartbeats of these
     * machines.
     */
    public void complaintReceived(List<String> machines) {
        complaintReceivedAt = machines.isEmpty() ? complaintReceivedAt : term.now();
        machines.forEach(peerReachability::recordReachedByPeer);
    }

    /** Whether the peers' view is unknown: none answers checks, or one that can't be reached filed a complaint. */
    public boolean isPeerReachabilityUnknown(long now) {
        return !peerReachability.hasRecentPeerReport(now)
                || now - complaintReceivedAt < ReachabilityConstants.PEER_CHECK_VALID_MS;
    }

    /**
     * Whether another controller would make a better leader: it reaches machines that this one doesn't, and the cause
     * is neither overload here nor a term that has just begun. False when peers reach no more than this one.
     */
    public boolean isIsolated(long now) {
        if (!localHealth.isHealthy(now) || now - startedAt < ElectionConstants.MIN_TERM_MS) {
            return false;
        }
        int reachedByPeers = PeerReachabilityTracker.countReachedOnlyByPeers(scheduler.machines(), now);
        boolean nearlyAll = isolatedSince > 0 && now - isolatedSince > FailureDetectionConstants.ISOLATED_AFTER_MS;
        return reachedByPeers >= ReachabilityConstants.REACHED_BY_PEER_AT_FAULT
                || (nearlyAll && (reachedByPeers > 0 || !peerReachability.hasRecentPeerReport(now)));
    }
}
