package org.hollypick.control.machines;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.health.LocalHealth;
import org.hollypick.io.EventLoop;
import org.hollypick.io.TokenBucket;

/**
 * What the machines' silence means: which are lost, which zones are partitioned, and whether it is this leader that is
 * cut off or overloaded.
 */
public final class FailureDetector {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final Scheduler scheduler;
    private final LocalHealth own;
    private final PeerReachabilityTracker reachability;
    private final Consumer<Machine> probe;
    private final long startedAt;
    private final TokenBucket returns;
    /** Since when nearly no machine has answered; 0 if some do. */
    private long cutOffSince;
    /** Since when others reach machines that this leader doesn't; 0 if there are none. */
    private long beyondSince;

    private long complainedAt = -ReachabilityConstants.PEER_CHECK_VALID_MS;
    /** Until when silence counts for nothing, since most machines, or most of a zone, were silent together. */
    private long troubleUntil;

    private Set<String> partitioned = Set.of();
    private String seen = "";

    /** {@code probe}: asks a machine directly. */
    FailureDetector(
            EventLoop eventLoop, Settings settings, Scheduler scheduler, LocalHealth own, Consumer<Machine> probe) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.scheduler = scheduler;
        this.own = own;
        this.reachability = new PeerReachabilityTracker(eventLoop, settings, scheduler.machines);
        this.probe = probe;
        this.startedAt = eventLoop.now();
        this.returns = new TokenBucket(0, startedAt);
    }

    /** Asks machines that are quieter than their reports allow, and tells which are lost. */
    public List<Machine> detectUnresponsive(long now) {
        if (now - startedAt < FailureDetectionConstants.FAILOVER_GRACE_MS) {
            return List.of();
        }
        // Machines report within a quarter more than the interval. Only the loss of services is worth asking more
        // often.
        long usual = (long) (settings.reportS() * 1_250) + FailureDetectionConstants.PROBE_SLACK_MS;
        long early = (long) (settings.reportS() * 1_000 * FailureDetectionConstants.PROBE_SHARE);
        List<Machine> silent = new ArrayList<>();
        List<Machine> unsure = new ArrayList<>();
        List<Machine> quietest = new ArrayList<>();
        int talking = 0;
        int doubtful = 0;
        Map<String, int[]> byZone = new HashMap<>();
        for (Machine machine : scheduler.machines.values()) {
            if (machine.scalingIn || (!machine.heartbeatReceived && !machine.registered)) {
                continue;
            }
            long quiet = now - machine.lastHeartbeatAt;
            int[] zone = byZone.computeIfAbsent(machine.zone, z -> new int[2]);
            boolean doubted = machine.validity.doubted();
            if (quiet < FailureDetectionConstants.RESPONSIVE_MS && !doubted) {
                talking++;
                zone[0]++;
            }
            if (machine.unacknowledgedCalls > 0 || doubted) {
                doubtful++;
                zone[1]++;
            }
            if (machine.unacknowledgedCalls > 0 && !machine.address.isEmpty()) {
                unsure.add(machine);
            }
            if (machine.unreachable()
                    && machine.reconciled
                    && machine.idle()
                    && now
                                    - Math.max(
                                            machine.idleSince,
                                            Math.max(
                                                    machine.incarnationExpiredAt,
                                                    machine.validity.unreachableInboundSince()))
                            > ReachabilityConstants.UNREACHABLE_RETURN_MS) {
                silent.add(machine);
            } else if (quiet
                            > (doubted
                                    ? ReachabilityConstants.UNANSWERED_HEARTBEAT_GAP_MS
                                    : FailureDetectionConstants.UNRESPONSIVE_AFTER_MS)
                    && machine.unacknowledgedCalls >= FailureDetectionConstants.UNACKNOWLEDGED_CALLS
                    && !reachability.spared(machine, now)) {
                if (reachability.nobodyReaches(machine, now)) {
                    silent.add(machine);
                }
            } else if (doubted
                    || quiet > (machine.unacknowledgedCalls > 0 || machine.serviceCpus() > 0 ? early : usual)) {
                quietest.add(machine);
            }
        }
        // Not all may be asked at once: in any fixed order the last ones would never be.
        quietest.sort((a, b) -> Long.compare(a.lastHeartbeatAt, b.lastHeartbeatAt));
        quietest.forEach(probe);
        reachability.ask(unsure);
        int beyond = PeerReachabilityTracker.beyond(scheduler.machines.values(), now);
        beyondSince = beyond < ReachabilityConstants.REACHED_BY_PEER_AT_FAULT ? 0 : beyondSince > 0 ? beyondSince : now;
        seen = "talking=" + talking + " doubtful=" + doubtful + " elsewhere=" + beyond;
        // Those that left a question open against those heard of just now: counting only the silent ones would give
        // them up one by one while this node is cut off from all of them.
        double share = doubtful / (double) Math.max(1, doubtful + talking);
        partitioned = byZone.entrySet().stream()
                .filter(e -> partitioned(e.getValue()[0], e.getValue()[1]))
                .map(Map.Entry::getKey)
                .collect(Collectors.toUnmodifiableSet());
        if ((doubtful > 2 && share > FailureDetectionConstants.UNRESPONSIVE_SHARE) || !partitioned.isEmpty()) {
            troubleUntil = now + FailureDetectionConstants.RECOVERY_GRACE_MS;
        }
        if (doubtful <= 2 || share < FailureDetectionConstants.ISOLATED_SHARE) {
            cutOffSince = 0;
        } else if (cutOffSince == 0) {
            cutOffSince = now;
        }
        return own.sound(now) && now >= troubleUntil ? bounded(silent, now) : List.of();
    }

    /** At most so many a second: what a leader takes for lost it may be wrong about, the more so after a takeover. */
    private List<Machine> bounded(List<Machine> silent, long now) {
        double share = now - startedAt < FailureDetectionConstants.EARLY_TERM_MS
                ? FailureDetectionConstants.SCALE_IN_SHARE_EARLY
                : FailureDetectionConstants.SCALE_IN_SHARE;
        returns.setRate(Math.max(FailureDetectionConstants.SCALE_IN_MIN_MACHINES, share * scheduler.machines.size()));
        List<Machine> some = new ArrayList<>();
        for (Machine machine : silent) {
            if (!returns.has(1, now)) {
                break;
            }
            returns.take(1, now);
            some.add(machine);
        }
        return some;
    }

    private static boolean partitioned(int talking, int doubtful) {
        return doubtful >= FailureDetectionConstants.PARTITIONED_ZONE_MACHINES
                && doubtful >= FailureDetectionConstants.ISOLATED_SHARE * (doubtful + talking);
    }

    /** What the last look found, for the log. */
    public String seen() {
        return seen;
    }

    /** Zones that seem to be cut off: what is rented there can't be reached. */
    public Set<String> partitioned() {
        return partitioned;
    }

    /** Machines have been out of reach for so long that what runs there won't outlast another pause. */
    public boolean leasesAboutToExpire(long now) {
        long since = Math.min(cutOffSince > 0 ? cutOffSince : now, beyondSince > 0 ? beyondSince : now);
        return now - since > settings.leaseS() * 1_000 * ElectionConstants.ISOLATED_LEASE_SHARE;
    }

    /** Another controller that this one doesn't reach told, by the state service, that it hears of those machines. */
    public void complaintReceived(List<String> machines) {
        complainedAt = machines.isEmpty() ? complainedAt : eventLoop.now();
        machines.forEach(reachability::reached);
    }

    /** No other controller that could be asked knows better: none answers, or one that can't be asked pleaded. */
    public boolean noPeerAnswers(long now) {
        return !reachability.othersTell(now) || now - complainedAt < ReachabilityConstants.PEER_CHECK_VALID_MS;
    }

    /**
     * Another controller should lead: it reaches machines that this one doesn't, and not since this one is overloaded
     * or has only begun. If the others see the same, nobody would fare better.
     */
    public boolean isolated(long now) {
        if (!own.sound(now) || now - startedAt < ElectionConstants.MIN_TERM_MS) {
            return false;
        }
        int beyond = PeerReachabilityTracker.beyond(scheduler.machines.values(), now);
        boolean nearlyAll = cutOffSince > 0 && now - cutOffSince > FailureDetectionConstants.ISOLATED_AFTER_MS;
        return beyond >= ReachabilityConstants.REACHED_BY_PEER_AT_FAULT
                || (nearlyAll && (beyond > 0 || !reachability.othersTell(now)));
    }
}
