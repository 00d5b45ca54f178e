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
 * Detects lost machines, partitioned zones and the isolation of this leader itself from missing heartbeats,
 * unacknowledged direct calls and the reports of peers. Confined to the event loop.
 */
public final class FailureDetector {
    /** Number of unresponsive machines up to which the failures count as unrelated, not as a network fault. */
    private static final int MAX_UNRELATED_FAILURES = 2;

    private final TermContext term;
    private final Settings settings;
    private final Scheduler scheduler;
    private final LocalHealth localHealth;
    private final PeerReachabilityTracker peerReachability;
    private final Consumer<Machine> probe;
    private final long startedAt;
    private final TokenBucket terminationBudget;
    /** Since when nearly all machines have been unresponsive, in milliseconds; 0 if they aren't. */
    private long isolatedSince;
    /**
     * Since when only peers have reached several of the machines, in milliseconds; 0 if there are few such machines.
     */
    private long reachedOnlyByPeersSince;

    private long complaintReceivedAt = -ReachabilityConstants.PEER_CHECK_VALID_MS;
    /** Until when no machine counts as lost: set when most machines, or most of a zone, are unresponsive together. */
    private long recoveryGraceEndsAt;

    private Set<String> partitionedZones = Set.of();
    private String summary = "";

    /** Creates the detector; {@code probe} calls a machine directly, unless too many calls are in flight. */
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
     * Probes the machines whose heartbeats are overdue, asks peers to check the machines with unacknowledged calls, and
     * returns the lost machines that may be terminated now.
     */
    public List<Machine> detectUnresponsive(long now) {
        if (now - startedAt < FailureDetectionConstants.FAILOVER_GRACE_MS) {
            return List.of();
        }
        ResponsivenessSnapshot snapshot =
                new ResponsivenessSnapshot(scheduler.machines(), peerReachability, settings, now);
        snapshot.overdue().forEach(probe);
        peerReachability.requestChecks(snapshot.unacknowledged());
        updateReachedOnlyByPeers(snapshot, now);
        updateIsolation(snapshot, now);
        return localHealth.isHealthy(now) && now >= recoveryGraceEndsAt
                ? withinBudget(snapshot.lost(), now)
                : List.of();
    }

    private void updateReachedOnlyByPeers(ResponsivenessSnapshot snapshot, long now) {
        int reachedOnlyByPeers = PeerReachabilityTracker.countReachedOnlyByPeers(scheduler.machines(), now);
        if (reachedOnlyByPeers < ReachabilityConstants.LOCAL_FAULT_MACHINES_REACHED_BY_PEER) {
            reachedOnlyByPeersSince = 0;
        } else if (reachedOnlyByPeersSince <= 0) {
            reachedOnlyByPeersSince = now;
        }
        summary = "responsive=" + snapshot.responsiveCount() + " unresponsive=" + snapshot.unresponsiveCount()
                + " reached_by_peers=" + reachedOnlyByPeers;
    }

    private void updateIsolation(ResponsivenessSnapshot snapshot, long now) {
        partitionedZones = snapshot.partitionedZones();
        double share = snapshot.unresponsiveShare();
        boolean failuresRelated = snapshot.unresponsiveCount() > MAX_UNRELATED_FAILURES;
        if ((failuresRelated && share > FailureDetectionConstants.LOCAL_FAULT_UNRESPONSIVE_SHARE)
                || !partitionedZones.isEmpty()) {
            recoveryGraceEndsAt = now + FailureDetectionConstants.RECOVERY_GRACE_MS;
        }
        if (!failuresRelated || share < FailureDetectionConstants.ISOLATED_UNRESPONSIVE_SHARE) {
            isolatedSince = 0;
        } else if (isolatedSince == 0) {
            isolatedSince = now;
        }
    }

    /** Limits the terminations per second: the leader may misjudge machines as lost, most likely after a failover. */
    private List<Machine> withinBudget(List<Machine> lost, long now) {
        double share = now - startedAt < FailureDetectionConstants.EARLY_TERM_MS
                ? FailureDetectionConstants.MAX_TERMINATED_SHARE_PER_SECOND_EARLY
                : FailureDetectionConstants.MAX_TERMINATED_SHARE_PER_SECOND;
        terminationBudget.setRate(Math.max(
                FailureDetectionConstants.MIN_TERMINATIONS_PER_SECOND,
                share * scheduler.machines().size()));
        List<Machine> terminating = new ArrayList<>();
        for (Machine machine : lost) {
            if (!terminationBudget.canTake(1, now)) {
                break;
            }
            terminationBudget.take(1, now);
            terminating.add(machine);
        }
        return terminating;
    }

    /** Returns the machine counts of the last detection as key=value pairs, for the log. */
    public String summary() {
        return summary;
    }

    /** Returns the zones that seem partitioned from this controller, which could not reach a new instance there. */
    public Set<String> partitionedZones() {
        return partitionedZones;
    }

    /**
     * Whether machines have been unreachable for so long that their agents' leases expire unless this leader resigns
     * now.
     */
    public boolean agentLeasesAboutToExpire(long now) {
        long isolationStart = isolatedSince > 0 ? isolatedSince : now;
        long reachedOnlyByPeersStart = reachedOnlyByPeersSince > 0 ? reachedOnlyByPeersSince : now;
        long unreachableMillis = now - Math.min(isolationStart, reachedOnlyByPeersStart);
        return unreachableMillis > settings.leaseS() * 1_000 * ElectionConstants.MAX_ISOLATED_LEASE_SHARE;
    }

    /**
     * Records a complaint, read from the store, of a controller that can't reach this leader but receives the
     * heartbeats of these machines.
     */
    public void complaintReceived(List<String> machines) {
        complaintReceivedAt = machines.isEmpty() ? complaintReceivedAt : term.now();
        machines.forEach(peerReachability::recordReachedByPeer);
    }

    /**
     * Whether it is unknown which machines the peers reach: no peer has answered a check recently, or a peer that can't
     * reach this leader has complained through the store.
     */
    public boolean isPeerReachabilityUnknown(long now) {
        return !peerReachability.hasRecentPeerReport(now)
                || now - complaintReceivedAt < ReachabilityConstants.PEER_CHECK_VALID_MS;
    }

    /**
     * Whether this leader seems isolated from its machines: peers reach several that it doesn't, or nearly all are
     * unresponsive and peers may reach some of them. False while this controller is overloaded or its term has just
     * begun.
     */
    public boolean isIsolated(long now) {
        if (!localHealth.isHealthy(now) || now - startedAt < ElectionConstants.MIN_TERM_MS) {
            return false;
        }
        int reachedOnlyByPeers = PeerReachabilityTracker.countReachedOnlyByPeers(scheduler.machines(), now);
        boolean nearlyAllUnresponsive =
                isolatedSince > 0 && now - isolatedSince > FailureDetectionConstants.ISOLATION_BEFORE_RESIGNATION_MS;
        return reachedOnlyByPeers >= ReachabilityConstants.LOCAL_FAULT_MACHINES_REACHED_BY_PEER
                || (nearlyAllUnresponsive && (reachedOnlyByPeers > 0 || !peerReachability.hasRecentPeerReport(now)));
    }
}
