package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Controllers that end and are back within a fraction of a second, before anyone has missed them. */
class RestartTest {
    private static ClusterScenario scenarioWithRunningServices(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed, 4);
        scenario.advance(5_000);
        scenario.workload.submitUncancelledServices(6);
        scenario.advance(30_000);
        return scenario;
    }

    /** Milliseconds from the leader's end until a leader record names another incarnation. */
    private static long awaitNewLeader(ClusterScenario scenario, long within) {
        long member = scenario.store.valueOf("h/roster").path("member").asLong();
        long from = scenario.world.now;
        while (scenario.store.valueOf("h/roster").path("member").asLong() == member) {
            scenario.advance(10);
            assertTrue(scenario.world.now < from + within, "nobody leads after ms=" + (scenario.world.now - from));
        }
        return scenario.world.now - from;
    }

    /** It waited for as long as others may pass its earlier self's answers on, though they can say that they don't. */
    @Test
    void aLeaderThatRestartsAtOnceIsReplacedAtOnce() {
        for (int seed = 1; seed <= 4; seed++) {
            for (long restart : new long[] {50, 200, 1_000}) {
                ClusterScenario scenario = scenarioWithRunningServices(seed);
                int lost = scenario.checker.tasks.lostOnLeaseExpiry;
                scenario.faults.crash(scenario.leaderIndex(), restart);
                long took = awaitNewLeader(scenario, restart + 1_000);
                System.out.println("seed " + seed + " restart " + restart + " without a leader ms=" + took);
                scenario.advance(40_000);
                assertEquals(lost, scenario.checker.tasks.lostOnLeaseExpiry);
                assertEquals(List.of(), scenario.checker.violations);
            }
        }
    }

    /** The others are back in the same moment and have nothing to pass on: they say so at once. */
    @Test
    void controllersThatRestartAtOnceElectALeaderAtOnce() {
        for (int seed = 1; seed <= 4; seed++) {
            ClusterScenario scenario = scenarioWithRunningServices(seed);
            for (int node = 0; node < 3; node++) {
                scenario.faults.crash(node, 100);
            }
            awaitNewLeader(scenario, 1_500);
            scenario.advance(40_000);
            assertEquals(List.of(), scenario.checker.violations);
        }
    }

    /**
     * Ends one upon the other, in the milliseconds before and after each start, with the key-value store slow to come
     * back.
     */
    @Test
    void repeatedCrashesViolateNoInvariant() {
        int starts = 0;
        for (int seed = 1; seed <= 120; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.workload.submitJobs(25, 100_000);
            scenario.randomFaults.scheduleFaults(6, 20_000, 120_000);
            for (int i = 0; i < 6; i++) {
                scenario.world.schedule(
                        20_000 + scenario.world.random.nextInt(100_000), () -> crashRepeatedly(scenario, 4));
            }
            scenario.advance(200_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            starts += scenario.checker.tasks.starts;
        }
        assertTrue(starts > 120 * 25, "the days did little: " + starts);
    }

    private static void crashRepeatedly(ClusterScenario scenario, int more) {
        List<Integer> some = new ArrayList<>(List.of(0, 1, 2));
        some.removeIf(n -> scenario.world.random.nextInt(3) == 0);
        long back = 50L + scenario.world.random.nextInt(300);
        some.forEach(n -> scenario.faults.crash(n, back));
        if (more > 0) {
            scenario.world.schedule(
                    back + scenario.world.random.nextInt(80), () -> crashRepeatedly(scenario, more - 1));
        }
    }
}
