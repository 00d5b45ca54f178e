package org.hollypick.control.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.assignment.Machine;

/**
 * Classification of all machines at one point in time: how many are responsive, in total and by zone, and which are
 * lost, to be probed, or to be checked by peers. Changes no machine. Confined to the event loop.
 */
final class ResponsivenessSnapshot {
    private final PeerReachabilityTracker reachability;
    private final long now;
    /** Time without contact after which most machines are probed: heartbeats are at most 1.25 intervals apart. */
    private final long probeAfterMillis;
    /** Time without contact after which machines with an unacknowledged call or with services are probed. */
    private final long earlyProbeAfterMillis;

    private final ResponsivenessCounts total = new ResponsivenessCounts();
    private final Map<String, ResponsivenessCounts> byZone = new HashMap<>();
    private final List<Machine> lost = new ArrayList<>();
    private final List<Machine> unacknowledged = new ArrayList<>();
    private final List<Machine> overdue = new ArrayList<>();

    /**
     * Counts of machines. A machine without recent contact is in neither count unless a call to it is unacknowledged or
     * it is suspected.
     */
    private static final class ResponsivenessCounts {
        private int responsive;
        private int unresponsive;

        private double unresponsiveShare() {
            return unresponsive / (double) Math.max(1, unresponsive + responsive);
        }

        private boolean isPartitioned() {
            return unresponsive >= FailureDetectionConstants.PARTITIONED_ZONE_MACHINES
                    && unresponsive
                            >= FailureDetectionConstants.ISOLATED_UNRESPONSIVE_SHARE * (unresponsive + responsive);
        }
    }

    ResponsivenessSnapshot(
            Collection<Machine> machines, PeerReachabilityTracker reachability, Settings settings, long now) {
        this.reachability = reachability;
        this.now = now;
        this.probeAfterMillis =
                (long) (settings.reportS() * 1_250) + FailureDetectionConstants.OVERDUE_HEARTBEAT_GRACE_MS;
        this.earlyProbeAfterMillis =
                (long) (settings.reportS() * 1_000 * FailureDetectionConstants.EARLY_PROBE_INTERVAL_SHARE);
        for (Machine machine : machines) {
            if (!machine.isScalingIn() && (machine.heartbeatReceived() || machine.isRegistered())) {
                count(machine);
                classify(machine);
            }
        }
        overdue.sort(Comparator.comparingLong(machine -> machine.lastHeartbeatAt()));
    }

    private void count(Machine machine) {
        ResponsivenessCounts zoneCounts = byZone.computeIfAbsent(machine.zone, zone -> new ResponsivenessCounts());
        boolean suspected = machine.validity.isSuspected();
        if (millisSinceLastContact(machine) < FailureDetectionConstants.RESPONSIVE_WITHIN_MS && !suspected) {
            total.responsive++;
            zoneCounts.responsive++;
        }
        if (machine.directCalls.unacknowledgedCalls() > 0 || suspected) {
            total.unresponsive++;
            zoneCounts.unresponsive++;
        }
    }

    private void classify(Machine machine) {
        if (machine.directCalls.unacknowledgedCalls() > 0 && !machine.address().isEmpty()) {
            unacknowledged.add(machine);
        }
        if (isUnreachableWithoutWork(machine)) {
            lost.add(machine);
        } else if (isUnresponsive(machine) && !reachability.mayRecoverThroughPeer(machine, now)) {
            if (reachability.isUnreachableFromAll(machine, now)) {
                lost.add(machine);
            }
        } else if (isOverdue(machine)) {
            overdue.add(machine);
        }
    }

    /** Whether the machine has been unreachable and without tasks for so long that it is to be replaced. */
    private boolean isUnreachableWithoutWork(Machine machine) {
        if (!machine.unreachable() || !machine.reconciled() || !machine.idle()) {
            return false;
        }
        long unreachableSince = Math.max(machine.incarnationExpiredAt(), machine.validity.unreachableInboundSince());
        return now - Math.max(machine.idleSince(), unreachableSince)
                > ReachabilityConstants.UNREACHABLE_TERMINATION_DELAY_MS;
    }

    private boolean isUnresponsive(Machine machine) {
        long limitMillis = machine.validity.isSuspected()
                ? ReachabilityConstants.MAX_UNANSWERED_HEARTBEAT_GAP_MS
                : FailureDetectionConstants.UNRESPONSIVE_AFTER_MS;
        return millisSinceLastContact(machine) > limitMillis
                && machine.directCalls.unacknowledgedCalls() >= FailureDetectionConstants.UNACKNOWLEDGED_CALL_THRESHOLD;
    }

    private boolean isOverdue(Machine machine) {
        // Early probes cost extra calls: only unacknowledged calls and the possible loss of services justify them.
        boolean early = machine.directCalls.unacknowledgedCalls() > 0 || machine.serviceCpus() > 0;
        return machine.validity.isSuspected()
                || millisSinceLastContact(machine) > (early ? earlyProbeAfterMillis : probeAfterMillis);
    }

    private long millisSinceLastContact(Machine machine) {
        return now - machine.lastHeartbeatAt();
    }

    /** Returns the machines that count as lost, in the order of the given collection. */
    List<Machine> lost() {
        return lost;
    }

    /** Returns the machines with an address and an unacknowledged direct call. */
    List<Machine> unacknowledged() {
        return unacknowledged;
    }

    /**
     * Returns the machines to probe, those longest without contact first: not all can be probed at once, and in a fixed
     * order the last ones would never be probed.
     */
    List<Machine> overdue() {
        return overdue;
    }

    int responsiveCount() {
        return total.responsive;
    }

    int unresponsiveCount() {
        return total.unresponsive;
    }

    /**
     * Returns the share of unresponsive machines among those counted. Machines whose state is unclear are left out: if
     * they lowered the share, a controller that is isolated from all machines would terminate them one by one.
     */
    double unresponsiveShare() {
        return total.unresponsiveShare();
    }

    /** Returns the zones in which nearly all machines are unresponsive. */
    Set<String> partitionedZones() {
        return byZone.entrySet().stream()
                .filter(zone -> zone.getValue().isPartitioned())
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
