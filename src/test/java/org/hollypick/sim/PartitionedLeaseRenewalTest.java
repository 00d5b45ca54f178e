package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiFunction;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.EventLoop;
import org.junit.jupiter.api.Test;

/**
 * A zone cut off from everything, with controllers in it and outside; agents' leases last 15 s, and a cancelled task
 * has 35 s.
 */
class PartitionedLeaseRenewalTest {
    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (r, s) -> new Controller(r, s, OperatorSettings.defaults());
    /** Two leases' time, nearly: longer than a lease, shorter than a lease that is kept. */
    private static final long PARTITION_MS = 28_000;

    private static ClusterScenario startedScenario(long seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, version);
        scenario.placeControllerInZone(2, "b");
        scenario.advance(5_000);
        scenario.workload.submitUncancelledServices(8);
        scenario.advance(40_000);
        return scenario;
    }

    private static ClusterScenario scenarioLedBy(
            long seed, int leader, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = startedScenario(seed, version);
        for (int node = 0; node < 3; node++) {
            if (node != leader) {
                scenario.faults.crash(node, 12_000);
            }
        }
        scenario.advance(20_000);
        assertEquals(leader, scenario.leaderIndex());
        scenario.advance(10_000);
        return scenario;
    }

    private static void assertTasksSurviveZonePartition(ClusterScenario scenario) {
        int lost = scenario.checker.tasks.lostWithLease;
        int starts = scenario.checker.tasks.starts;
        scenario.network.partitionZone("b", PARTITION_MS);
        scenario.advance(PARTITION_MS + 5_000);
        assertEquals(lost, scenario.checker.tasks.lostWithLease, "leases were kept");
        assertEquals(starts, scenario.checker.tasks.starts, "nothing was started again, since nothing ended");
        scenario.advance(60_000);
        assertEquals(lost, scenario.checker.tasks.lostWithLease);
        assertEquals(List.of(), scenario.checker.violations);
    }

    /** Half of every spread service has to be in the zone: it ran on unreachable, and ended with the leases. */
    @Test
    void tasksInPartitionedZoneKeepTheirLeasesWhenLeaderIsOutside() {
        assertTasksSurviveZonePartition(scenarioLedBy(3, 0, CURRENT_VERSION));
    }

    @Test
    void tasksInPartitionedZoneKeepTheirLeasesWhenLeaderIsInside() {
        assertTasksSurviveZonePartition(scenarioLedBy(3, 2, CURRENT_VERSION));
    }

    /**
     * The successor may not take renewed leases for ended ones, and finds what runs before it starts anything twice.
     */
    @Test
    void tasksInPartitionedZoneKeepTheirLeasesWhenLeaderOutsideCrashes() {
        ClusterScenario scenario = scenarioLedBy(3, 0, CURRENT_VERSION);
        scenario.world.at(12_000, () -> scenario.faults.crash(0, 8_000));
        assertTasksSurviveZonePartition(scenario);
    }

    /**
     * The team is at its limit, a zone is partitioned, and another one leads: for as long as leases may be renewed
     * there, nothing was started, though half of the machines were heard.
     */
    @Test
    void teamAtItsLimitStartsTasksWhileZoneIsPartitioned() {
        int starts = 0;
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed, 4, null, null, CURRENT_VERSION);
            scenario.placeControllerInZone(2, "b");
            scenario.advance(5_000);
            scenario.workload.submitJobs(60, 90_000);
            scenario.advance(40_000);
            scenario.network.partitionZone("b", 45_000);
            scenario.world.at(500, () -> scenario.faults.crash(scenario.leaderIndex(), 20_000));
            scenario.advance(12_000);
            int before = scenario.checker.tasks.starts;
            scenario.advance(13_000);
            starts += scenario.checker.tasks.starts - before;
            scenario.advance(120_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
        System.out.println("starts while a zone is dark " + starts);
        assertTrue(starts > 100, "starts while a zone is dark: " + starts);
    }

    /** A cut longer than anyone may keep leases: the work there ends, and starts again once it may. */
    @Test
    void leaseRenewalInLongPartitionEndsBeforeCancelledTasksAreDue() {
        for (int seed = 1; seed <= 20; seed++) {
            assertEquals(List.of(), runLongPartition(seed, CURRENT_VERSION).checker.violations, "seed " + seed);
        }
    }

    @Test
    void randomZonePartitionsViolateNoInvariant() {
        for (int seed = 1; seed <= 150; seed++) {
            ClusterScenario scenario = runRandomFaults(seed, CURRENT_VERSION);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    private static ClusterScenario runRandomFaults(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, version);
        scenario.placeControllerInZone(2, "b");
        scenario.workload.submitJobs(30, 150_000);
        scenario.randomFaults.scheduleFaults(5, 20_000, 170_000);
        for (int i = 0; i < 3; i++) {
            String zone = scenario.world.random.nextBoolean() ? "a" : "b";
            long ms = 5_000L + scenario.world.random.nextInt(45_000);
            scenario.world.at(
                    25_000 + 50_000 * i + scenario.world.random.nextInt(30_000),
                    () -> scenario.network.partitionZone(zone, ms));
        }
        scenario.advance(260_000);
        return scenario;
    }

    private static ClusterScenario runLongPartition(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = startedScenario(seed, version);
        scenario.workload.submitJobs(30, 10_000);
        scenario.advance(16_000); // their users cancel services within a minute
        scenario.network.partitionZone("b", 70_000);
        scenario.advance(200_000);
        return scenario;
    }

    /** One that renews leases for longer keeps tasks alive whose cancellation was told long ago. */
    @Test
    void checkerDetectsLeasesHeldForTooLong() {
        BiFunction<EventLoop, Settings, Controller> greedy =
                (r, s) -> CURRENT_VERSION.apply(r, ClusterScenario.withLongerCancellation(s, 60));
        boolean noticed = false;
        for (int seed = 1; seed <= 20 && !noticed; seed++) {
            noticed = runLongPartition(seed, greedy).checker.violations.stream()
                    .anyMatch(b -> b.startsWith("ran_cancelled"));
        }
        assertTrue(noticed);
    }

    /**
     * Hundreds of machines in a partitioned zone took every direct call, so that the others went unasked, and a new
     * leader took itself to be cut off and resigned.
     */
    @Test
    void unreachableMachinesDoNotBlockDirectCallsToOtherMachines() {
        ClusterScenario scenario = new ClusterScenario(2, 24, null, null, CURRENT_VERSION);
        scenario.placeControllerInZone(2, "b");
        scenario.advance(5_000);
        scenario.workload.submitUncancelledServices(40);
        scenario.advance(45_000);
        int before = scenario.leaderIndex();
        scenario.network.partitionZone("b", 40_000);
        scenario.world.at(1_000, () -> scenario.faults.crash(before, 60_000));
        scenario.advance(12_000);
        int successor = scenario.leaderIndex();
        scenario.advance(27_000);
        assertEquals(successor, scenario.leaderIndex(), "it kept the lead while the zone was dark");
        scenario.advance(60_000);
        assertEquals(List.of(), scenario.checker.violations);
    }
}
