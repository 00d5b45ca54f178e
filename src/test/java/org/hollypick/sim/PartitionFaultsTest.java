package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.function.Predicate;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/**
 * Partitions, long absences and overload that meet other troubles (docs/combined-faults.md). Workers' leases last 15 s,
 * and a cancelled task has 35 s. After each day's troubles no job may go unanswered for 75 s, nor wait for 90 s beside
 * room. Each check has a faulty variant that it notices.
 */
class PartitionFaultsTest {
    private static final BiFunction<EventLoop, Settings, Controller> NEW =
            (r, s) -> new Controller(r, s, OperatorSettings.defaults());
    /** Days of each kind: more are played outside CI with {@code -Dpartition.days=...}. */
    private static final int SEEDS = Integer.getInteger("partition.days", 3);
    /** Days of which a faulty variant has to be noticed on one. */
    private static final int FAULTY_SEEDS = 6;
    /** Longer than an agent's lease. */
    private static final long CUT_MS = 25_000;
    /** Longer than a cancelled task has. */
    private static final long OUTAGE_MS = 50_000;
    /** By then all that follows from a trouble of that day is over. */
    private static final long SETTLED_MS = 20_000;

    private static void keepsTheRules(IntFunction<ClusterScenario> day) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertEquals(List.of(), day.apply(seed).checker.violations, "seed " + seed);
        }
    }

    private static void notices(String rule, IntFunction<ClusterScenario> faulty) {
        boolean noticed = false;
        for (int seed = 1; seed <= FAULTY_SEEDS && !noticed; seed++) {
            noticed = faulty.apply(seed).checker.violations.stream().anyMatch(b -> b.startsWith(rule));
        }
        assertTrue(noticed, rule);
    }

    /** The troubles are over soon: from then on every job is answered about, and none waits beside room. */
    private static ClusterScenario calm(ClusterScenario day) {
        day.advance(SETTLED_MS);
        day.checker.faultsEnded(day.world.now);
        return day.advance(StarvationChecker.STARVATION_MS + 5_000);
    }

    /** Arrays, half of them bound to a zone or spread, and some services. */
    private static ClusterScenario busy(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario day = new ClusterScenario(seed, 1, null, null, version);
        day.workload.hasZoneConstraints = true;
        day.workload.durationFactor = 3;
        day.users.cancelOneIn = 3;
        day.advance(5_000);
        day.workload.submitJobs(16, 25_000);
        return day.advance(30_000);
    }

    @Test
    void allControllersAreAwayForLongerThanALease() {
        keepsTheRules(seed -> allAway(seed, key -> false));
    }

    @Test
    void checkerDetectsAJobWithoutRecordAfterAllControllersWereAway() {
        notices("forgotten", seed -> allAway(seed, key -> key.equals("h/j/req-000003")));
    }

    private static ClusterScenario allAway(int seed, Predicate<String> hidden) {
        ClusterScenario day = busy(seed, NEW);
        day.store.hiddenKeys = hidden;
        day.faults.crashAllBeyondLease();
        day.workload.submitBatchJobs(4, CUT_MS);
        return calm(day.advance(CUT_MS));
    }

    /**
     * Jobs are cancelled through the outside while a zone with a controller, the leader or another, goes on without it.
     */
    @Test
    void jobsAreCancelledOutsideWhileAZoneIsCutOff() {
        keepsTheRules(seed -> zoneCut(seed, seed % 2 == 0, 2 * CUT_MS, NEW));
    }

    @Test
    void checkerDetectsAZoneThatHoldsLeasesTooLong() {
        // Only the controller that leads, inside, is greedy: the others reckon with the rights that there should be.
        notices(
                "ran_cancelled",
                seed -> zoneCut(
                        seed,
                        true,
                        5 * CUT_MS,
                        (r, s) -> NEW.apply(
                                r, s.node().equals("bothy-0") ? ClusterScenario.withLongerCancellation(s, 90) : s)));
    }

    private static ClusterScenario zoneCut(
            int seed, boolean leaderInside, long cutMs, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario day = new ClusterScenario(seed, 1, null, null, version).withRunningServices();
        int inside = leaderInside ? day.leaderIndex() : (day.leaderIndex() + 1) % 3;
        day.placeControllerInZone(inside, "b");
        day.network.partitionZone("b", cutMs);
        for (int i = 0; i < 6; i++) {
            String id = "req-00000" + i;
            day.world.schedule(
                    i * 4_000 + day.world.random.nextInt(4_000), () -> day.users.cancelAt((inside + 1) % 3, id));
        }
        return calm(day.advance(cutMs));
    }

    /**
     * A controller that renewed leases in a cut zone ends and is back within a fifth of a second, without knowing what
     * it kept; the cut ends, and the zone's machines hang. The leader takes none of their leases for over before it is.
     */
    @Test
    void whatAnEarlierLifeOfAControllerKeptIsReckonedWith() {
        keepsTheRules(PartitionFaultsTest::keeperBackAtOnce);
    }

    private static ClusterScenario keeperBackAtOnce(int seed) {
        ClusterScenario day = new ClusterScenario(seed, 4);
        day.workload.durationFactor = 30;
        day.users.cancelOneIn = Integer.MAX_VALUE;
        day.advance(5_000);
        day.workload.submitBatchJobs(10, 5_000);
        day.advance(30_000);
        int inside = (day.leaderIndex() + 1) % 3;
        day.placeControllerInZone(inside, "b");
        day.world.dropsHeldMessages = true;
        day.network.partitionZone("b", 16_000);
        day.world.schedule(15_000, () -> day.faults.crash(inside, 150));
        day.world.schedule(
                14_900,
                () -> day.cloud.agents().stream()
                        .filter(w -> w.zone.equals("b"))
                        .forEach(w -> w.hang(13_000)));
        return calm(day.advance(30_000));
    }

    /**
     * Arrays bound to a zone, spread or held together, lose machines while that zone is cut off and comes back, and the
     * leader changes in between and just after.
     */
    @Test
    void jobsBoundToAZoneLoseMachines() {
        keepsTheRules(seed -> boundToAZone(seed, key -> false));
    }

    /** A new leader that doesn't know of machines out of reach takes what runs there for gone. */
    @Test
    void checkerDetectsPlacesChosenWithoutTheMachinesOutOfReach() {
        notices("wrong_place", seed -> boundToAZone(seed, key -> key.startsWith("h/m/")));
    }

    private static ClusterScenario boundToAZone(int seed, Predicate<String> hidden) {
        ClusterScenario day = busy(seed, NEW);
        day.store.hiddenKeys = hidden;
        String zone = seed % 2 == 0 ? "a" : "b";
        day.cloud.agents().stream()
                .filter(w -> w.spot && day.world.random.nextBoolean())
                .forEach(day.cloud::reclaim);
        day.placeControllerInZone((day.leaderIndex() + seed) % 3, "b");
        day.network.partitionZone(zone, 12_000 + 3_000 * seed);
        day.world.schedule(4_000, () -> day.faults.crash(day.leaderIndex(), 200 + 4_000 * (seed % 2)));
        day.world.schedule(
                12_000 + 3_000 * seed + day.world.random.nextInt(300), () -> day.faults.crash(day.leaderIndex(), 200));
        return calm(day.advance(CUT_MS + 15_000));
    }

    /** What direct commands launch ends with the machines' leases, since no report renews them. */
    @Test
    void workersReachNoControllerWhileDirectCommandsReachThem() {
        keepsTheRules(seed -> muteWorkers(seed, NEW));
    }

    @Test
    void checkerDetectsALeaderThatTakesLeasesForExpiredTooEarly() {
        notices("ran_twice", seed -> muteWorkers(seed, (r, s) -> NEW.apply(r, ClusterScenario.withShorterLease(s, 4))));
    }

    private static ClusterScenario muteWorkers(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario day = busy(seed, version);
        List<String> names = day.cloud.agents().stream()
                .filter(w -> seed % 3 == 0 || w.zone.equals("a") || day.world.random.nextBoolean())
                .map(w -> w.name)
                .toList();
        day.network.delayHeartbeats(names, 2 * CUT_MS);
        day.workload.submitBatchJobs(5, CUT_MS);
        if (seed % 2 == 0) {
            day.world.schedule(CUT_MS, () -> day.faults.crash(day.leaderIndex(), 200));
        }
        return calm(day.advance(2 * CUT_MS));
    }

    /**
     * Six times what there is room for, urgent and not, while everything that passes between controllers and machines
     * takes up to a second longer.
     */
    @Test
    void moreWorkThanRoomOverSlowLinks() {
        keepsTheRules(seed -> moreThanRoom(seed, key -> false));
    }

    @Test
    void checkerDetectsAJobThatNobodyStarts() {
        notices("neglected req-000020", seed -> moreThanRoom(seed, key -> key.equals("h/j/req-000020")));
    }

    private static ClusterScenario moreThanRoom(int seed, Predicate<String> hidden) {
        ClusterScenario day = new ClusterScenario(seed);
        day.workload.hasZoneConstraints = true;
        day.workload.submitUncancelledServices(2); // their machines stay, with room beside them
        day.advance(8_000);
        for (int node = 0; node < 3; node++) {
            day.world.addLatency("p" + node + ":1", 1_000, 80_000);
        }
        day.cloud.agents().forEach(w -> day.world.addLatency(w.address, 1_000, 80_000));
        day.workload.submitJobs(40, 20_000);
        day.store.hiddenKeys = hidden;
        day.world.schedule(6_000, () -> day.faults.crash(day.leaderIndex(), 300));
        day.world.schedule(25_000, day.faults::crashAll);
        return calm(day.advance(80_000));
    }

    /**
     * Services fill the limit of their team but for a core, which is too little for the next replica: small arrays
     * waited for ever for what was reserved for it.
     */
    @Test
    void arraysGetWhatServicesCantUseOfTheLimit() {
        int seed = 4;
        ClusterScenario day = new ClusterScenario(seed, 2);
        day.workload.durationFactor = 6;
        day.users.cancelOneIn = 4;
        day.workload.hasZoneConstraints = true;
        day.workload.submitUncancelledServices(9);
        day.advance(10_000);
        day.workload.submitJobs(30, 40_000);
        day.advance(50_000);
        day.checker.faultsEnded(day.world.now);
        day.workload.submitJobs(30, 60_000);
        day.advance(60_000 + 2 * StarvationChecker.STARVATION_MS);
        assertEquals(List.of(), day.checker.violations, "seed " + seed);
    }

    /** Ten changes in two minutes, every second day inside an outage, with cancellations. */
    @Test
    void theLeaderChangesTenTimesInTwoMinutes() {
        keepsTheRules(seed -> tenChanges(seed, 1));
    }

    /** Another one leads while the one before is still sure of its store session. */
    @Test
    void checkerDetectsStoreSessionsThatExpireEarly() {
        notices("without_right", seed -> tenChanges(seed, 0.3));
    }

    private static ClusterScenario tenChanges(int seed, double holdShare) {
        ClusterScenario day = busy(seed, NEW);
        day.store.sessionLifeShare = holdShare;
        day.faults.failOverRepeatedly(10, 12_000);
        day.workload.submitJobs(8, 100_000);
        for (int i = 0; i < 4; i++) {
            day.world.schedule(
                    5_000 + 25_000 * i + day.world.random.nextInt(12_000), () -> day.faults.cancelHalfOfJobs(0));
        }
        if (seed % 2 == 0) {
            day.world.schedule(30_000, () -> day.store.startOutage(OUTAGE_MS));
        }
        if (holdShare < 1) {
            day.world.schedule(40_000, () -> day.faults.freeze(day.leaderIndex(), 3_000));
        }
        return calm(day.advance(125_000));
    }

    /**
     * Users cancel at the moment at which the key-value store refuses the leader alone, or answers slowly, and it is
     * out for all a second later; they go on asking.
     */
    @Test
    void jobsAreCancelledAsTheStateServiceRefusesTheLeader() {
        keepsTheRules(seed -> refusalThenOutage(seed, NEW));
    }

    /** It takes its cancellations for durable as soon as it has sent them. */
    @Test
    void checkerDetectsACancellationConfirmedBeforeItIsDurable() {
        notices(
                "ran_cancelled",
                seed -> refusalThenOutage(
                        seed,
                        (r, s) -> NEW.apply(
                                new DelegatingEventLoop(r) {
                                    @Override
                                    public void send(Request request, Consumer<Response> callback) {
                                        if (request.path().equals("/commit")
                                                && request.body().toString().contains("aborted")) {
                                            r.after(
                                                    1,
                                                    () -> callback.accept(new Response(
                                                            200, Codec.object().put("epoch", 1))));
                                        } else {
                                            super.send(request, callback);
                                        }
                                    }
                                },
                                s)));
    }

    private static ClusterScenario refusalThenOutage(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario day = busy(seed, version);
        if (seed % 2 == 0) {
            day.world.addLatency("state:1", 800, 10_000);
        }
        day.faults.refuseLeaderThenStartOutage(OUTAGE_MS);
        day.world.schedule(1_500 + 500 * seed, () -> day.faults.cancelHalfOfJobs(3_000));
        day.world.schedule(OUTAGE_MS + 5_000, () -> day.faults.crash(day.leaderIndex(), 300));
        return calm(day.advance(OUTAGE_MS + 5_000));
    }
}
