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
 * Tests partitions, long downtimes and overload in combination with other faults (docs/combined-faults.md). Agents'
 * leases last 15 s, and the tasks of a cancelled job have to end within 35 s. After the faults of a scenario users must
 * get an answer about each job at least every 75 s, and no job may stay pending for 90 s while there is free capacity
 * for it. Each check has a faulty variant that it detects.
 */
class PartitionFaultsTest {
    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults());
    /** Scenarios of each kind; {@code -Dpartition.days=...} runs more outside CI. */
    private static final int SEEDS = Integer.getInteger("partition.days", 3);
    /** Maximum number of seeds tried until the checker detects a faulty variant. */
    private static final int MAX_FAULTY_SEEDS = 6;
    /** Longer than an agent's lease. */
    private static final long PARTITION_MS = 25_000;
    /** Longer than the time within which the tasks of a cancelled job have to end. */
    private static final long OUTAGE_MS = 50_000;
    /** Time after the faults until all their consequences have ended. */
    private static final long SETTLE_MS = 20_000;

    private static void assertNoViolations(IntFunction<ClusterScenario> scenarioOf) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertEquals(List.of(), scenarioOf.apply(seed).checker.violations, "seed " + seed);
        }
    }

    private static void assertDetected(String violated, IntFunction<ClusterScenario> faultyScenarioOf) {
        boolean detected = false;
        for (int seed = 1; seed <= MAX_FAULTY_SEEDS && !detected; seed++) {
            detected = faultyScenarioOf.apply(seed).checker.violations.stream()
                    .anyMatch(violation -> violation.startsWith(violated));
        }
        assertTrue(detected, violated);
    }

    /**
     * Runs the scenario until the consequences of its faults have ended, and then long enough to detect jobs whose
     * users get no answers and jobs that starve.
     */
    private static ClusterScenario runAfterFaults(ClusterScenario scenario) {
        scenario.advance(SETTLE_MS);
        scenario.checker.faultsEnded(scenario.world.now);
        return scenario.advance(StarvationChecker.STARVATION_MS + 5_000);
    }

    /** Creates a scenario with arrays, half of them bound to a zone or spread over both, and some services. */
    private static ClusterScenario newBusyScenario(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, version);
        scenario.workload.hasZoneConstraints = true;
        scenario.workload.durationFactor = 3;
        scenario.users.cancelOneIn = 3;
        scenario.advance(5_000);
        scenario.workload.submitJobs(16, 25_000);
        return scenario.advance(30_000);
    }

    @Test
    void allControllersDownForLongerThanALeaseViolatesNoInvariant() {
        assertNoViolations(seed -> runWithAllControllersDown(seed, key -> false));
    }

    @Test
    void checkerDetectsAMissingJobRecordAfterAllControllersWereDown() {
        assertDetected("forgotten", seed -> runWithAllControllersDown(seed, key -> key.equals("h/j/req-000003")));
    }

    private static ClusterScenario runWithAllControllersDown(int seed, Predicate<String> hiddenKeys) {
        ClusterScenario scenario = newBusyScenario(seed, CURRENT_VERSION);
        scenario.store.hiddenKeys = hiddenKeys;
        scenario.faults.crashAllBeyondLease();
        scenario.workload.submitBatchJobs(4, PARTITION_MS);
        return runAfterFaults(scenario.advance(PARTITION_MS));
    }

    /**
     * A zone with one controller, the leader or another, is partitioned from everything else and keeps working, while
     * jobs are cancelled through a controller outside.
     */
    @Test
    void jobsCancelledOutsideAPartitionedZoneStopInsideTheZone() {
        assertNoViolations(seed -> runWithPartitionedZone(seed, seed % 2 == 0, 2 * PARTITION_MS, CURRENT_VERSION));
    }

    @Test
    void checkerDetectsAPartitionedLeaderThatRenewsLeasesTooLong() {
        // Only the leader, inside the zone, runs the faulty version: the other controllers assume the correct limit.
        assertDetected(
                "ran_cancelled",
                seed -> runWithPartitionedZone(
                        seed,
                        true,
                        5 * PARTITION_MS,
                        (eventLoop, settings) -> CURRENT_VERSION.apply(
                                eventLoop,
                                settings.node().equals("bothy-0")
                                        ? ClusterScenario.withLongerCancellation(settings, 90)
                                        : settings)));
    }

    private static ClusterScenario runWithPartitionedZone(
            int seed, boolean isLeaderInside, long partitionMs, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, version).withRunningServices();
        int inside = isLeaderInside ? scenario.leaderIndex() : (scenario.leaderIndex() + 1) % 3;
        scenario.placeControllerInZone(inside, "b");
        scenario.network.partitionZone("b", partitionMs);
        for (int i = 0; i < 6; i++) {
            String id = "req-00000" + i;
            scenario.world.schedule(
                    i * 4_000 + scenario.world.random.nextInt(4_000),
                    () -> scenario.users.cancelAt((inside + 1) % 3, id));
        }
        return runAfterFaults(scenario.advance(partitionMs));
    }

    /**
     * A controller that renewed leases in a partitioned zone restarts within 150 ms, without a record of the leases
     * that it renewed. The zone's machines hang from just before the restart until after the end of the partition. The
     * leader must not take their leases for expired too early.
     */
    @Test
    void leasesRenewedBeforeAControllerRestartAreNotTakenForExpired() {
        assertNoViolations(PartitionFaultsTest::restartControllerInPartitionedZone);
    }

    private static ClusterScenario restartControllerInPartitionedZone(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed, 4);
        scenario.workload.durationFactor = 30;
        scenario.users.cancelOneIn = Integer.MAX_VALUE;
        scenario.advance(5_000);
        scenario.workload.submitBatchJobs(10, 5_000);
        scenario.advance(30_000);
        int inside = (scenario.leaderIndex() + 1) % 3;
        scenario.placeControllerInZone(inside, "b");
        scenario.world.dropsHeldMessages = true;
        scenario.network.partitionZone("b", 16_000);
        scenario.world.schedule(15_000, () -> scenario.faults.crash(inside, 150));
        scenario.world.schedule(
                14_900,
                () -> scenario.cloud.agents().stream()
                        .filter(agent -> agent.zone.equals("b"))
                        .forEach(agent -> agent.hang(13_000)));
        return runAfterFaults(scenario.advance(30_000));
    }

    /**
     * Arrays that are bound to a zone, spread, or kept together in one zone lose machines while a zone is partitioned,
     * and the leader crashes during the partition and just after it.
     */
    @Test
    void zoneConstraintsHoldWhenMachinesAreLostAndAZoneIsPartitioned() {
        assertNoViolations(seed -> runWithZoneConstraints(seed, key -> false));
    }

    /** Without the machine records a new leader takes the tasks on unreachable machines for lost. */
    @Test
    void checkerDetectsPlacementThatIgnoresUnreachableMachines() {
        assertDetected("wrong_place", seed -> runWithZoneConstraints(seed, key -> key.startsWith("h/m/")));
    }

    private static ClusterScenario runWithZoneConstraints(int seed, Predicate<String> hiddenKeys) {
        ClusterScenario scenario = newBusyScenario(seed, CURRENT_VERSION);
        scenario.store.hiddenKeys = hiddenKeys;
        String zone = seed % 2 == 0 ? "a" : "b";
        scenario.cloud.agents().stream()
                .filter(agent -> agent.spot && scenario.world.random.nextBoolean())
                .forEach(scenario.cloud::reclaim);
        scenario.placeControllerInZone((scenario.leaderIndex() + seed) % 3, "b");
        scenario.network.partitionZone(zone, 12_000 + 3_000 * seed);
        scenario.world.schedule(4_000, () -> scenario.faults.crash(scenario.leaderIndex(), 200 + 4_000 * (seed % 2)));
        scenario.world.schedule(
                12_000 + 3_000 * seed + scenario.world.random.nextInt(300),
                () -> scenario.faults.crash(scenario.leaderIndex(), 200));
        return runAfterFaults(scenario.advance(PARTITION_MS + 15_000));
    }

    /** Tasks that direct commands launch end with the machines' leases, since no heartbeat renews these. */
    @Test
    void delayedHeartbeatsWithDeliveredCommandsViolateNoInvariant() {
        assertNoViolations(seed -> runWithDelayedHeartbeats(seed, CURRENT_VERSION));
    }

    @Test
    void checkerDetectsALeaderThatTakesLeasesForExpiredTooEarly() {
        assertDetected(
                "ran_twice",
                seed -> runWithDelayedHeartbeats(
                        seed,
                        (eventLoop, settings) ->
                                CURRENT_VERSION.apply(eventLoop, ClusterScenario.withShorterLease(settings, 4))));
    }

    private static ClusterScenario runWithDelayedHeartbeats(
            int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = newBusyScenario(seed, version);
        List<String> agentNames = scenario.cloud.agents().stream()
                .filter(agent -> seed % 3 == 0 || agent.zone.equals("a") || scenario.world.random.nextBoolean())
                .map(agent -> agent.name)
                .toList();
        scenario.network.delayHeartbeats(agentNames, 2 * PARTITION_MS);
        scenario.workload.submitBatchJobs(5, PARTITION_MS);
        if (seed % 2 == 0) {
            scenario.world.schedule(PARTITION_MS, () -> scenario.faults.crash(scenario.leaderIndex(), 200));
        }
        return runAfterFaults(scenario.advance(2 * PARTITION_MS));
    }

    /**
     * Submits jobs of several priorities that need six times the capacity, while every message between controllers and
     * machines takes up to a second longer.
     */
    @Test
    void overloadOverSlowLinksStarvesNoJob() {
        assertNoViolations(seed -> runOverloadedOverSlowLinks(seed, key -> false));
    }

    @Test
    void checkerDetectsAJobThatIsNeverStarted() {
        assertDetected(
                "neglected req-000020", seed -> runOverloadedOverSlowLinks(seed, key -> key.equals("h/j/req-000020")));
    }

    private static ClusterScenario runOverloadedOverSlowLinks(int seed, Predicate<String> hiddenKeys) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.workload.hasZoneConstraints = true;
        scenario.workload.submitUncancelledServices(2); // services keep their machines, which have free capacity
        scenario.advance(8_000);
        for (int controller = 0; controller < 3; controller++) {
            scenario.world.addLatency("p" + controller + ":1", 1_000, 80_000);
        }
        scenario.cloud.agents().forEach(agent -> scenario.world.addLatency(agent.address, 1_000, 80_000));
        scenario.workload.submitJobs(40, 20_000);
        scenario.store.hiddenKeys = hiddenKeys;
        scenario.world.schedule(6_000, () -> scenario.faults.crash(scenario.leaderIndex(), 300));
        scenario.world.schedule(25_000, scenario.faults::crashAll);
        return runAfterFaults(scenario.advance(80_000));
    }

    /**
     * Services use their team's quota except for one core, which is too little for the next replica. Guards against
     * small arrays that stay pending for ever because that core is reserved for the replica.
     */
    @Test
    void arraysUseQuotaThatIsTooSmallForTheNextServiceReplica() {
        int seed = 4;
        ClusterScenario scenario = new ClusterScenario(seed, 2);
        scenario.workload.durationFactor = 6;
        scenario.users.cancelOneIn = 4;
        scenario.workload.hasZoneConstraints = true;
        scenario.workload.submitUncancelledServices(9);
        scenario.advance(10_000);
        scenario.workload.submitJobs(30, 40_000);
        scenario.advance(50_000);
        scenario.checker.faultsEnded(scenario.world.now);
        scenario.workload.submitJobs(30, 60_000);
        scenario.advance(60_000 + 2 * StarvationChecker.STARVATION_MS);
        assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
    }

    /** Ten failovers in two minutes, with cancellations and, in every second scenario, an outage of the store. */
    @Test
    void tenFailoversInTwoMinutesViolateNoInvariant() {
        assertNoViolations(seed -> runTenFailovers(seed, 1));
    }

    /** Another controller becomes the leader while the former one still takes its store session for valid. */
    @Test
    void checkerDetectsStoreSessionsThatExpireEarly() {
        assertDetected("without_right", seed -> runTenFailovers(seed, 0.3));
    }

    private static ClusterScenario runTenFailovers(int seed, double sessionLifeShare) {
        ClusterScenario scenario = newBusyScenario(seed, CURRENT_VERSION);
        scenario.store.sessionLifeShare = sessionLifeShare;
        scenario.faults.failOverRepeatedly(10, 12_000);
        scenario.workload.submitJobs(8, 100_000);
        for (int i = 0; i < 4; i++) {
            scenario.world.schedule(
                    5_000 + 25_000 * i + scenario.world.random.nextInt(12_000),
                    () -> scenario.faults.cancelHalfOfJobs(0));
        }
        if (seed % 2 == 0) {
            scenario.world.schedule(30_000, () -> scenario.store.startOutage(OUTAGE_MS));
        }
        if (sessionLifeShare < 1) {
            scenario.world.schedule(40_000, () -> scenario.faults.freeze(scenario.leaderIndex(), 3_000));
        }
        return runAfterFaults(scenario.advance(125_000));
    }

    /**
     * The key-value store refuses the leader alone, in some scenarios while responses of the store are slow, and is
     * down a second later. Users cancel jobs at the moment of the refusal and continue to query them.
     */
    @Test
    void cancellationsHoldWhenTheStoreRefusesTheLeaderBeforeAnOutage() {
        assertNoViolations(seed -> cancelDuringRefusalThenOutage(seed, CURRENT_VERSION));
    }

    /** A faulty leader takes its cancellations for durable as soon as it has sent them. */
    @Test
    void checkerDetectsACancellationConfirmedBeforeItIsDurable() {
        assertDetected(
                "ran_cancelled",
                seed -> cancelDuringRefusalThenOutage(
                        seed,
                        (eventLoop, settings) -> CURRENT_VERSION.apply(
                                new DelegatingEventLoop(eventLoop) {
                                    @Override
                                    public void send(Request request, Consumer<Response> callback) {
                                        if (request.path().equals("/commit")
                                                && request.body().toString().contains("aborted")) {
                                            eventLoop.after(
                                                    1,
                                                    () -> callback.accept(new Response(
                                                            200, Codec.object().put("epoch", 1))));
                                        } else {
                                            super.send(request, callback);
                                        }
                                    }
                                },
                                settings)));
    }

    private static ClusterScenario cancelDuringRefusalThenOutage(
            int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = newBusyScenario(seed, version);
        if (seed % 2 == 0) {
            scenario.world.addLatency("state:1", 800, 10_000);
        }
        scenario.faults.refuseLeaderThenStartOutage(OUTAGE_MS);
        scenario.world.schedule(1_500 + 500 * seed, () -> scenario.faults.cancelHalfOfJobs(3_000));
        scenario.world.schedule(OUTAGE_MS + 5_000, () -> scenario.faults.crash(scenario.leaderIndex(), 300));
        return runAfterFaults(scenario.advance(OUTAGE_MS + 5_000));
    }
}
