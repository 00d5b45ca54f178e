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
 * One pass over the machines at one time: how many respond, in all and by zone, and which are to be probed, to be
 * checked by peers, or lost. Changes no machine. Confined to the event loop.
 */
final class ResponsivenessSnapshot {
    private final PeerReachabilityTracker reachability;
    private final long now;
    /** Silence after which an ordinary machine is probed: agents send heartbeats within a quarter more than this. */
    private final long probeAfterMillis;
    /** The same for a machine whose last call went unacknowledged or that runs services. */
    private final long earlyProbeAfterMillis;

    private final ResponsivenessCounts total = new ResponsivenessCounts();
    private final Map<String, ResponsivenessCounts> byZone = new HashMap<>();
    private final List<Machine> lost = new ArrayList<>();
    private final List<Machine> unacknowledged = new ArrayList<>();
    private final List<Machine> overdue = new ArrayList<>();

    /** Machines counted by whether they respond; one that does neither clearly is in no count. */
    private static final class ResponsivenessCounts {
        private int responsive;
        private int unresponsive;

        private double unresponsiveShare() {
            return unresponsive / (double) Math.max(1, unresponsive + responsive);
        }

        private boolean isPartitioned() {
            return unresponsive >= FailureDetectionConstants.PARTITIONED_ZONE_MACHINES
                    && unresponsive >= FailureDetectionConstants.ISOLATED_SHARE * (unresponsive + responsive);
        }
    }

    ResponsivenessSnapshot(
            Collection<Machine> machines, PeerReachabilityTracker reachability, Settings settings, long now) {
        this.reachability = reachability;
        this.now = now;
        this.probeAfterMillis = (long) (settings.reportS() * 1_250) + FailureDetectionConstants.PROBE_SLACK_MS;
        this.earlyProbeAfterMillis = (long) (settings.reportS() * 1_000 * FailureDetectionConstants.PROBE_SHARE);
        for (Machine machine : machines) {
            if (!machine.isScalingIn() && (machine.heartbeatReceived() || machine.isRegistered())) {
                count(machine);
                classify(machine);
            }
        }
        overdue.sort(Comparator.comparingLong(machine -> machine.lastHeartbeatAt()));
    }

    private void count(Machine machine) {
        ResponsivenessCounts zone = byZone.computeIfAbsent(machine.zone, name -> new ResponsivenessCounts());
        boolean suspected = machine.validity.isSuspected();
        if (millisSinceLastContact(machine) < FailureDetectionConstants.RESPONSIVE_MS && !suspected) {
            total.responsive++;
            zone.responsive++;
        }
        if (machine.directCalls.unacknowledgedCalls() > 0 || suspected) {
            total.unresponsive++;
            zone.unresponsive++;
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

    /** It can be given nothing and has nothing to finish, for long enough to be replaced. */
    private boolean isUnreachableWithoutWork(Machine machine) {
        if (!machine.unreachable() || !machine.reconciled() || !machine.idle()) {
            return false;
        }
        long unreachableSince = Math.max(machine.incarnationExpiredAt(), machine.validity.unreachableInboundSince());
        return now - Math.max(machine.idleSince(), unreachableSince) > ReachabilityConstants.UNREACHABLE_RETURN_MS;
    }

    private boolean isUnresponsive(Machine machine) {
        long limitMillis = machine.validity.isSuspected()
                ? ReachabilityConstants.UNANSWERED_HEARTBEAT_GAP_MS
                : FailureDetectionConstants.UNRESPONSIVE_AFTER_MS;
        return millisSinceLastContact(machine) > limitMillis
                && machine.directCalls.unacknowledgedCalls() >= FailureDetectionConstants.UNACKNOWLEDGED_CALLS;
    }

    private boolean isOverdue(Machine machine) {
        // Only the loss of services is worth probing more often.
        boolean early = machine.directCalls.unacknowledgedCalls() > 0 || machine.serviceCpus() > 0;
        return machine.validity.isSuspected()
                || millisSinceLastContact(machine) > (early ? earlyProbeAfterMillis : probeAfterMillis);
    }

    private long millisSinceLastContact(Machine machine) {
        return now - machine.lastHeartbeatAt();
    }

    /** Machines that are lost by all that is known here, in the order of the collection. */
    List<Machine> lost() {
        return lost;
    }

    /** Machines with an address that left a direct call unacknowledged. */
    List<Machine> unacknowledged() {
        return unacknowledged;
    }

    /**
     * Machines to probe, longest silence first: not all can be probed at once, and in a fixed order the last starve.
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
     * Share of the unresponsive among the machines counted. Machines without a recent heartbeat or call are left out:
     * with them in, a controller that is cut off from all would give them up one by one.
     */
    double unresponsiveShare() {
        return total.unresponsiveShare();
    }

    /** Zones of which nearly all machines are unresponsive. */
    Set<String> partitionedZones() {
        return byZone.entrySet().stream()
                .filter(zone -> zone.getValue().isPartitioned())
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
    }
}
