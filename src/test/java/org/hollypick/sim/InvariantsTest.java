package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the invariants in simulated scenarios, and that the checker detects when a safeguard is removed. */
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
        assertTrue(starts > RANDOM_SCENARIOS * 30, "too few tasks started in all scenarios: " + starts);
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
     * In a store outage longer than the store session and the agent lease, the leader goes on answering heartbeats
     * under the leader lease that its peers grant.
     */
    @Test
    void tasksSurviveAStoreOutageLongerThanTheAgentLease() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        scenario.store.startOutage(60_000);
        scenario.advance(5_000);
        int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
        scenario.advance(54_000);
        assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry);
        scenario.advance(120_000);
        assertEquals(List.of(), scenario.checker.violations);
    }

    /**
     * With one controller down, no leader lease is granted by all peers: the controllers have to stop answering
     * heartbeats, and agents' leases expire.
     */
    @Test
    void agentLeasesExpireInAStoreOutageWhileAPeerIsDown() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        scenario.world.schedule(100, () -> scenario.faults.crash(0, 90_000));
        scenario.store.startOutage(60_000);
        scenario.advance(5_000);
        int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
        scenario.advance(54_000);
        assertTrue(scenario.checker.tasks.lostOnLeaseExpiry > lostBefore);
        scenario.advance(120_000);
        assertEquals(List.of(), scenario.checker.violations);
    }

    /**
     * Hundreds of tasks on dozens of machines, so that records hold many machines and jobs, and are created and
     * deleted.
     */
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

    /** A leader that no machine could reach used to remain leader until all agents' leases expired. */
    @Test
    void aLeaderPartitionedFromTheMachinesIsReplaced() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        int leaderBefore = scenario.leaderIndex();
        int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
        scenario.network.partitionFromAgents(leaderBefore, 40_000);
        scenario.advance(14_000);
        assertTrue(scenario.leaderIndex() != leaderBefore);
        scenario.advance(60_000);
        assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry);
        assertEquals(List.of(), scenario.checker.violations);
    }

    /**
     * A leader that alone could not reach the key-value store used to be replaced, after a store session's time without
     * a leader, although it can use the store through a peer.
     */
    @Test
    void aLeaderThatAloneCannotReachTheStoreReachesItThroughAPeer() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        int leaderBefore = scenario.leaderIndex();
        scenario.world.cut("bothy-" + leaderBefore, "state:1", 40_000);
        scenario.workload.submitJobs(10, 20_000);
        for (int i = 0; i < 300; i++) {
            scenario.advance(100);
            assertEquals(leaderBefore, scenario.leaderIndex());
        }
        assertEquals(200, scenario.users.readinessStatus(leaderBefore), "the leader must stay ready for users");
        scenario.advance(60_000);
        assertEquals(List.of(), scenario.checker.violations);
        scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isAccepted(id), id));
    }

    /**
     * Peers used to extend the lease of a leader without access to the store indefinitely, although it could accept no
     * jobs. A leader that reaches the store neither directly nor through a peer is replaced.
     */
    @Test
    void aLeaderThatReachesTheStoreNeitherDirectlyNorThroughAPeerIsReplaced() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        int leaderBefore = scenario.leaderIndex();
        scenario.world.cut("bothy-" + leaderBefore, "state:1", 40_000);
        for (int other = 0; other < 3; other++) {
            scenario.world.cut("bothy-" + leaderBefore, "m" + other + ":1", 4_500);
        }
        scenario.advance(8_000);
        assertTrue(scenario.leaderIndex() != leaderBefore);
        assertEquals(200, scenario.users.readinessStatus((leaderBefore + 1) % 3));
        scenario.advance(90_000);
        assertEquals(200, scenario.users.readinessStatus(leaderBefore));
        assertEquals(List.of(), scenario.checker.violations);
    }

    /** While the store is unavailable to all controllers, no controller serves users better than another. */
    @Test
    void allControllersStayReadyInAStoreOutage() {
        ClusterScenario scenario = new ClusterScenario(3).withRunningServices();
        scenario.store.startOutage(30_000);
        scenario.advance(12_000);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, scenario.users.readinessStatus(node));
        }
    }

    /** Hides the durable machine records, so that a new leader doesn't wait for machines that it can't reach. */
    @Test
    void checkerDetectsALeaderThatDoesNotWaitForUnreachableMachines() {
        boolean detected = false;
        for (int seed = 1; seed < 40 && !detected; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.store.hiddenKeys = key -> key.startsWith("h/m/");
            scenario.workload.submitJobs(25, 40_000);
            scenario.world.schedule(
                    45_000,
                    () -> scenario.cloud.agents().forEach(agent -> {
                        for (int i = 0; i < 3; i++) {
                            if (scenario.world.random.nextBoolean()) {
                                scenario.world.cut(agent.name, "p" + i + ":1", 12_000);
                            }
                            scenario.world.cut("bothy-" + i, agent.address, 12_000);
                        }
                    }));
            scenario.world.schedule(46_000, scenario.faults::crashAll);
            scenario.advance(120_000);
            detected = scenario.checker.violations.stream().anyMatch(violation -> violation.startsWith("ran_twice"));
        }
        assertTrue(detected);
    }

    /** If store sessions expire early, a leader that was replaced still answers requests from outdated state. */
    @Test
    void checkerDetectsAStoreSessionThatExpiresEarly() {
        boolean detected = false;
        for (int seed = 1; seed < 40 && !detected; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.store.sessionLifeShare = 0.2;
            scenario.workload.submitJobs(25, 60_000);
            for (int i = 0; i < 12; i++) {
                int node = i % 3;
                scenario.world.schedule(
                        20_000 + 8_000 * i, () -> scenario.world.cut("bothy-" + node, "state:1", 6_000));
            }
            scenario.advance(120_000);
            detected = !scenario.checker.violations.isEmpty();
        }
        assertTrue(detected);
    }
}
