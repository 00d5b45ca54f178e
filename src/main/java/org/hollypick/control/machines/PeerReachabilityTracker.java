package org.hollypick.control.machines;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
    private final Map<String, Machine> machines;
    private long askedAt;
    private long firstAskedAt;
    /** When another controller last told what it reaches and what it doesn't. */
    private long toldAt = -ReachabilityConstants.PEER_CHECK_VALID_MS;

    private boolean asking;

    PeerReachabilityTracker(EventLoop runtime, Settings settings, Map<String, Machine> machines) {
        this.runtime = runtime;
        this.settings = settings;
        this.machines = machines;
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
        for (Machine m : some.subList(0, Math.min(some.size(), ReachabilityConstants.PEER_CHECK_MAX_MACHINES))) {
            m.peerCheckRequestedAt = now;
            addresses.put(m.id, m.address);
        }
        asking = true;
        askedAt = now;
        firstAskedAt = firstAskedAt == 0 ? now : firstAskedAt;
        int[] open = {settings.siblings().size()};
        for (Settings.Sibling s : settings.siblings()) {
            PeerReachability.ask(runtime, s.addr(), addresses, told -> {
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
        Machine m = machines.get(id);
        if (m != null && m.unacknowledgedCalls > 0) {
            m.reachedByPeerSince = elsewhere(m, runtime.now()) ? m.reachedByPeerSince : runtime.now();
            m.reachedByPeerAt = runtime.now();
        }
    }

    private void failed(String id) {
        Machine m = machines.get(id);
        if (m != null) {
            m.peerCheckFailedAt = runtime.now();
        }
    }

    /** Others told lately what they reach. */
    boolean othersTell(long now) {
        return now - toldAt < ReachabilityConstants.PEER_CHECK_VALID_MS;
    }

    /** Another controller tried it in vain too, or none answers, which takes a while to know. */
    boolean nobodyReaches(Machine m, long now) {
        if (settings.siblings().isEmpty()) {
            return true;
        }
        if (m.peerCheckRequestedAt == 0 || now - firstAskedAt < ReachabilityConstants.PEER_CHECK_TIMEOUT_MS) {
            return false;
        }
        return !othersTell(now)
                || (m.peerCheckFailedAt > 0 && now - m.peerCheckFailedAt < ReachabilityConstants.PEER_CHECK_VALID_MS);
    }

    /** Another controller reached the machine a moment ago, and this one doesn't. */
    static boolean elsewhere(Machine m, long now) {
        return m.unacknowledgedCalls > 0
                && m.reachedByPeerAt > 0
                && now - m.reachedByPeerAt < ReachabilityConstants.PEER_CHECK_VALID_MS;
    }

    /** Not to be returned, though silent: its reports come by way of another, or may yet. */
    boolean spared(Machine m, long now) {
        return elsewhere(m, now)
                && (now - m.reachedByPeerSince < ReachabilityConstants.REACHED_BY_PEER_PATIENCE_MS
                        || now - m.lastHeartbeatAt < settings.leaseS() * 1_000 / 2);
    }

    /** Machines that are only out of this leader's reach. */
    static int beyond(Collection<Machine> machines, long now) {
        int count = 0;
        for (Machine m : machines) {
            count += elsewhere(m, now) && m.unacknowledgedCalls >= FailureDetectionConstants.UNACKNOWLEDGED_CALLS
                    ? 1
                    : 0;
        }
        return count;
    }
}
