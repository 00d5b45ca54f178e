package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules on simulated days, and proof that the checker notices when a safeguard is taken away. */
class InvariantsTest {
    private static final int RANDOM_SCENARIOS = 600;

    @Test
    void everyJobCompletesWithoutFaults() {
        ClusterScenario scenario = new ClusterScenario(1);
        scenario.workload.submitJobs(40, 60_000);
        scenario.advance(200_000);
        assertEquals(List.of(), scenario.checker.violations);
        assertTrue(scenario.checker.tasks.completedCount > 30, "completed " + scenario.checker.tasks.completedCount);
        scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isTerminal(id), id));
    }

    @Test
    void randomFaultsViolateNoInvariant() {
        int starts = 0;
        for (int seed = 100; seed < 100 + RANDOM_SCENARIOS; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.workload.submitJobs(25, 120_000);
            scenario.randomFaults.scheduleFaults(10, 20_000, 150_000);
            scenario.advance(220_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            starts += scenario.checker.tasks.starts;
        }
        assertTrue(starts > RANDOM_SCENARIOS * 30, "the days did little: " + starts);
    }

    @Test
    void everyAcceptedJobEndsAfterTheLossOfAllControllers() {
        ClusterScenario scenario = new ClusterScenario(7);
        scenario.workload.submitJobs(15, 30_000);
        scenario.world.schedule(35_000, () -> scenario.store.startOutage(15_000));
        scenario.world.schedule(40_000, scenario.faults::crashAll);
        scenario.advance(300_000);
        assertEquals(List.of(), scenario.checker.violations);
        scenario.checker
                .submitted
                .keySet()
                .forEach(id -> assertTrue(!scenario.checker.isAccepted(id) || scenario.checker.isTerminal(id), id));
    }

    /**
     * An outage longer than store session and agent lease: the others' promises let the leader go on answering reports.
     */
    @Test
    void tasksSurviveAStoreOutageLongerThanTheAgentLease() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        scenario.store.startOutage(60_000);
        scenario.advance(5_000);
        int lost = scenario.checker.tasks.lostOnLeaseExpiry;
        scenario.advance(54_000);
        assertEquals(lost, scenario.checker.tasks.lostOnLeaseExpiry);
        scenario.advance(120_000);
        assertEquals(List.of(), scenario.checker.violations);
    }

    /** With one of the others gone there is no promise, so the leader must stop; nobody may act then. */
    @Test
    void agentLeasesExpireInAStoreOutageWhileAPeerIsDown() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        scenario.world.schedule(100, () -> scenario.faults.crash(0, 90_000));
        scenario.store.startOutage(60_000);
        scenario.advance(5_000);
        int lost = scenario.checker.tasks.lostOnLeaseExpiry;
        scenario.advance(54_000);
        assertTrue(scenario.checker.tasks.lostOnLeaseExpiry > lost);
        scenario.advance(120_000);
        assertEquals(List.of(), scenario.checker.violations);
    }

    /** Hundreds of tasks on dozens of machines, so that records hold many machines and jobs, and come and go. */
    @Test
    void randomFaultsInALargeClusterViolateNoInvariant() {
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed, 12);
            scenario.workload.submitJobs(40, 100_000);
            scenario.randomFaults.scheduleFaults(14, 20_000, 150_000);
            scenario.advance(240_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            assertTrue(
                    scenario.checker.tasks.starts > 500, "seed " + seed + " started " + scenario.checker.tasks.starts);
        }
    }

    /** A leader that no machine reaches kept its leadership, and the leases of all of them ran out. */
    @Test
    void aLeaderPartitionedFromTheMachinesIsReplaced() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        int before = scenario.leaderIndex();
        int lost = scenario.checker.tasks.lostOnLeaseExpiry;
        scenario.network.partitionFromAgents(before, 40_000);
        scenario.advance(14_000);
        assertTrue(scenario.leaderIndex() != before);
        scenario.advance(60_000);
        assertEquals(lost, scenario.checker.tasks.lostOnLeaseExpiry);
        assertEquals(List.of(), scenario.checker.violations);
    }

    /**
     * A leader that alone can't reach the key-value store was replaced, after a store session's time without a leader,
     * though another one reaches it.
     */
    @Test
    void aLeaderThatAloneCannotReachTheStoreReachesItThroughAPeer() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        int before = scenario.leaderIndex();
        scenario.world.cut("bothy-" + before, "state:1", 40_000);
        scenario.workload.submitJobs(10, 20_000);
        for (int i = 0; i < 300; i++) {
            scenario.advance(100);
            assertEquals(before, scenario.leaderIndex());
        }
        assertEquals(200, scenario.users.readinessStatus(before), "users are served there too");
        scenario.advance(60_000);
        assertEquals(List.of(), scenario.checker.violations);
        scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isAccepted(id), id));
    }

    /** It was promised leadership on and on, and took no new jobs: with no way by another one either it is replaced. */
    @Test
    void aLeaderThatReachesTheStoreNeitherDirectlyNorThroughAPeerIsReplaced() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        int before = scenario.leaderIndex();
        scenario.world.cut("bothy-" + before, "state:1", 40_000);
        for (int other = 0; other < 3; other++) {
            scenario.world.cut("bothy-" + before, "m" + other + ":1", 4_500);
        }
        scenario.advance(8_000);
        assertTrue(scenario.leaderIndex() != before);
        assertEquals(200, scenario.users.readinessStatus((before + 1) % 3));
        scenario.advance(90_000);
        assertEquals(200, scenario.users.readinessStatus(before));
        assertEquals(List.of(), scenario.checker.violations);
    }

    /** In an outage for all nobody is better off elsewhere. */
    @Test
    void allControllersStayReadyInAStoreOutage() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        scenario.store.startOutage(30_000);
        scenario.advance(12_000);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, scenario.users.readinessStatus(node));
        }
    }

    /** Without the durable machine records a new leader doesn't wait for machines it can't reach. */
    @Test
    void checkerDetectsALeaderThatDoesNotWaitForUnreachableMachines() {
        boolean noticed = false;
        for (int seed = 1; seed < 40 && !noticed; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.store.hiddenKeys = k -> k.startsWith("h/m/");
            scenario.workload.submitJobs(25, 40_000);
            scenario.world.schedule(
                    45_000,
                    () -> scenario.cloud.agents().forEach(w -> {
                        for (int i = 0; i < 3; i++) {
                            if (scenario.world.random.nextBoolean()) {
                                scenario.world.cut(w.name, "p" + i + ":1", 12_000);
                            }
                            scenario.world.cut("bothy-" + i, w.address, 12_000);
                        }
                    }));
            scenario.world.schedule(46_000, scenario.faults::crashAll);
            scenario.advance(120_000);
            noticed = scenario.checker.violations.stream().anyMatch(b -> b.startsWith("ran_twice"));
        }
        assertTrue(noticed);
    }

    /** If store sessions end before their time, a deposed leader still answers, from what was true once. */
    @Test
    void checkerDetectsAStoreSessionThatExpiresEarly() {
        boolean noticed = false;
        for (int seed = 1; seed < 40 && !noticed; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.store.sessionLifeShare = 0.2;
            scenario.workload.submitJobs(25, 60_000);
            for (int i = 0; i < 12; i++) {
                int node = i % 3;
                scenario.world.schedule(
                        20_000 + 8_000 * i, () -> scenario.world.cut("bothy-" + node, "state:1", 6_000));
            }
            scenario.advance(120_000);
            noticed = !scenario.checker.violations.isEmpty();
        }
        assertTrue(noticed);
    }
}
