package org.hollypick.control.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.hollypick.cluster.PeerMessages.ReachabilityReport;
import org.hollypick.cluster.PeerReachability;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.EventLoop;

/**
 * Distinguishes lost machines from those that only this leader can't reach, by asking the other controllers to probe
 * the machines with unacknowledged calls. Confined to the event loop.
 */
final class PeerReachabilityTracker {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final Function<String, Machine> machineById;
    private long requestedAt;
    private long firstRequestedAt;
    /** When a peer last reported both the machines it reaches and those it doesn't, in milliseconds. */
    private long peerReportReceivedAt = -ReachabilityConstants.PEER_CHECK_VALID_MS;

    private int requestsInFlight;

    PeerReachabilityTracker(EventLoop eventLoop, Settings settings, Function<String, Machine> machineById) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.machineById = machineById;
    }

    /**
     * Asks all peers to probe the machines whose last check was requested longest ago; at most one round of probes is
     * in progress.
     */
    void requestChecks(List<Machine> unacknowledged) {
        long now = eventLoop.now();
        if (requestsInFlight > 0
                || unacknowledged.isEmpty()
                || now - requestedAt < ReachabilityConstants.PEER_CHECK_INTERVAL_MS) {
            return;
        }
        Map<String, String> addresses = selectForCheck(unacknowledged, now);
        requestedAt = now;
        firstRequestedAt = firstRequestedAt == 0 ? now : firstRequestedAt;
        requestsInFlight = settings.siblings().size();
        for (Settings.Sibling peer : settings.siblings()) {
            PeerReachability.request(eventLoop, peer.addr(), addresses, this::peerCheckCompleted);
        }
    }

    /** Selects the machines to check and records the request; returns their addresses by machine id. */
    private static Map<String, String> selectForCheck(List<Machine> unacknowledged, long now) {
        List<Machine> longestUncheckedFirst = new ArrayList<>(unacknowledged);
        longestUncheckedFirst.sort(Comparator.comparingLong(machine -> machine.peerContact.peerCheckRequestedAt()));
        int count = Math.min(longestUncheckedFirst.size(), ReachabilityConstants.PEER_CHECK_MAX_MACHINES);
        Map<String, String> addresses = new HashMap<>();
        for (Machine machine : longestUncheckedFirst.subList(0, count)) {
            machine.peerContact.recordPeerCheckRequest(now);
            addresses.put(machine.id, machine.address());
        }
        return addresses;
    }

    /** Handles the end of a check by one peer; the report is empty if the peer did not respond. */
    private void peerCheckCompleted(Optional<ReachabilityReport> report) {
        requestsInFlight--;
        report.ifPresent(this::peerCheckCompleted);
    }

    private void peerCheckCompleted(ReachabilityReport report) {
        report.reached().forEach(this::recordReachedByPeer);
        if (report.listsFailures()) {
            peerReportReceivedAt = eventLoop.now();
            report.failed().forEach(this::recordPeerCheckFailure);
        }
    }

    /** Records that a peer reaches the machine or receives its heartbeats; ignored if no call is unacknowledged. */
    void recordReachedByPeer(String machineId) {
        Machine machine = machineById.apply(machineId);
        if (machine == null || machine.directCalls.unacknowledgedCalls() == 0) {
            return;
        }
        long now = eventLoop.now();
        machine.peerContact.recordReachedByPeer(isReachedOnlyByPeer(machine, now), now);
    }

    private void recordPeerCheckFailure(String machineId) {
        Machine machine = machineById.apply(machineId);
        if (machine != null) {
            machine.peerContact.recordPeerCheckFailure(eventLoop.now());
        }
    }

    /** Whether a peer has recently reported both the machines it reaches and those it doesn't. */
    boolean hasRecentPeerReport(long now) {
        return now - peerReportReceivedAt < ReachabilityConstants.PEER_CHECK_VALID_MS;
    }

    /** Whether no controller seems to reach the machine: a peer's probe failed too, or no peer reported in time. */
    boolean isUnreachableFromAll(Machine machine, long now) {
        if (settings.siblings().isEmpty()) {
            return true;
        }
        if (machine.peerContact.peerCheckRequestedAt() == 0
                || now - firstRequestedAt < ReachabilityConstants.PEER_CHECK_TIMEOUT_MS) {
            return false;
        }
        return !hasRecentPeerReport(now)
                || (machine.peerContact.peerCheckFailedAt() > 0
                        && now - machine.peerContact.peerCheckFailedAt() < ReachabilityConstants.PEER_CHECK_VALID_MS);
    }

    /** Whether a peer recently reached the machine, while this controller's calls are unacknowledged. */
    private static boolean isReachedOnlyByPeer(Machine machine, long now) {
        return machine.directCalls.unacknowledgedCalls() > 0
                && machine.peerContact.reachedByPeerAt() > 0
                && now - machine.peerContact.reachedByPeerAt() < ReachabilityConstants.PEER_CHECK_VALID_MS;
    }

    /** Whether to keep an unresponsive machine: a peer reaches it, and its heartbeats are relayed or may soon be. */
    boolean mayRecoverThroughPeer(Machine machine, long now) {
        return isReachedOnlyByPeer(machine, now)
                && (now - machine.peerContact.reachedByPeerSince() < ReachabilityConstants.REACHED_BY_PEER_GRACE_MS
                        || now - machine.lastHeartbeatAt() < settings.leaseS() * 1_000 / 2);
    }

    /**
     * Returns the number of machines that left several calls of this controller unacknowledged and that peers reach.
     */
    static int countReachedOnlyByPeers(Collection<Machine> machines, long now) {
        int count = 0;
        for (Machine machine : machines) {
            if (isReachedOnlyByPeer(machine, now)
                    && machine.directCalls.unacknowledgedCalls()
                            >= FailureDetectionConstants.UNACKNOWLEDGED_CALL_THRESHOLD) {
                count++;
            }
        }
        return count;
    }
}
