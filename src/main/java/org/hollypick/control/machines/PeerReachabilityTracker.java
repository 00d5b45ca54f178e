package org.hollypick.control.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hollypick.cluster.PeerReachability;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.EventLoop;

/**
 * Whether machines that leave this leader's questions open are lost, or only out of its reach: other controllers put
 * the same question. What they reach isn't returned; several such machines are a reason to ask who would lead better.
 */
final class PeerReachabilityTracker {
    private final EventLoop runtime;
    private final Settings settings;
    private final Function<String, Machine> machineById;
    private long askedAt;
    private long firstAskedAt;
    /** When another controller last told what it reaches and what it doesn't. */
    private long toldAt = -ReachabilityConstants.PEER_CHECK_VALID_MS;

    private boolean asking;

    PeerReachabilityTracker(EventLoop runtime, Settings settings, Function<String, Machine> machineById) {
        this.runtime = runtime;
        this.settings = settings;
        this.machineById = machineById;
    }

    /** Has others try some of those machines, those not asked about for longest first. */
    void ask(List<Machine> doubtful) {
        long now = runtime.now();
        if (asking || doubtful.isEmpty() || now - askedAt < ReachabilityConstants.PEER_CHECK_INTERVAL_MS) {
            return;
        }
        List<Machine> some = new ArrayList<>(doubtful);
        some.sort((a, b) -> Long.compare(a.peerCheckRequestedAt, b.peerCheckRequestedAt));
        Map<String, String> addresses = new HashMap<>();
        for (Machine machine : some.subList(0, Math.min(some.size(), ReachabilityConstants.PEER_CHECK_MAX_MACHINES))) {
            machine.peerCheckRequestedAt = now;
            addresses.put(machine.id, machine.address);
        }
        asking = true;
        askedAt = now;
        firstAskedAt = firstAskedAt == 0 ? now : firstAskedAt;
        int[] open = {settings.siblings().size()};
        for (Settings.Sibling sibling : settings.siblings()) {
            PeerReachability.ask(runtime, sibling.addr(), addresses, told -> {
                asking = --open[0] > 0;
                if (told != null) {
                    told.reached().forEach(this::reached);
                    if (told.tells()) {
                        toldAt = runtime.now();
                        told.failed().forEach(this::failed);
                    }
                }
            });
        }
        asking = open[0] > 0;
    }

    /** Another controller hears of that machine. */
    void reached(String id) {
        Machine machine = machineById.apply(id);
        if (machine != null && machine.unacknowledgedCalls > 0) {
            machine.reachedByPeerSince = elsewhere(machine, runtime.now()) ? machine.reachedByPeerSince : runtime.now();
            machine.reachedByPeerAt = runtime.now();
        }
    }

    private void failed(String id) {
        Machine machine = machineById.apply(id);
        if (machine != null) {
            machine.peerCheckFailedAt = runtime.now();
        }
    }

    /** Others told lately what they reach. */
    boolean othersTell(long now) {
        return now - toldAt < ReachabilityConstants.PEER_CHECK_VALID_MS;
    }

    /** Another controller tried it in vain too, or none answers, which takes a while to know. */
    boolean nobodyReaches(Machine machine, long now) {
        if (settings.siblings().isEmpty()) {
            return true;
        }
        if (machine.peerCheckRequestedAt == 0 || now - firstAskedAt < ReachabilityConstants.PEER_CHECK_TIMEOUT_MS) {
            return false;
        }
        return !othersTell(now)
                || (machine.peerCheckFailedAt > 0
                        && now - machine.peerCheckFailedAt < ReachabilityConstants.PEER_CHECK_VALID_MS);
    }

    /** Another controller reached the machine a moment ago, and this one doesn't. */
    static boolean elsewhere(Machine machine, long now) {
        return machine.unacknowledgedCalls > 0
                && machine.reachedByPeerAt > 0
                && now - machine.reachedByPeerAt < ReachabilityConstants.PEER_CHECK_VALID_MS;
    }

    /** Not to be returned, though silent: its reports come by way of another, or may yet. */
    boolean spared(Machine machine, long now) {
        return elsewhere(machine, now)
                && (now - machine.reachedByPeerSince < ReachabilityConstants.REACHED_BY_PEER_PATIENCE_MS
                        || now - machine.lastHeartbeatAt < settings.leaseS() * 1_000 / 2);
    }

    /** Machines that are only out of this leader's reach. */
    static int beyond(Collection<Machine> machines, long now) {
        int count = 0;
        for (Machine machine : machines) {
            count += elsewhere(machine, now)
                            && machine.unacknowledgedCalls >= FailureDetectionConstants.UNACKNOWLEDGED_CALLS
                    ? 1
                    : 0;
        }
        return count;
    }
}
