package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Controllers that crash and restart within a second, before their store sessions expire. */
class RestartTest {
    private static ClusterScenario scenarioWithRunningServices(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed, 4);
        scenario.advance(5_000);
        scenario.workload.submitUncancelledServices(6);
        scenario.advance(30_000);
        return scenario;
    }

    /** Waits until the leader record names another incarnation, and returns how many milliseconds that took. */
    private static long awaitNewLeader(ClusterScenario scenario, long withinMs) {
        long incarnation = scenario.store.valueOf("h/roster").path("member").asLong();
        long start = scenario.world.now;
        while (scenario.store.valueOf("h/roster").path("member").asLong() == incarnation) {
            scenario.advance(10);
            assertTrue(scenario.world.now < start + withinMs, "no new leader after ms=" + (scenario.world.now - start));
        }
        return scenario.world.now - start;
    }

    /**
     * A restarted leader used to wait until the responses of its earlier incarnation that peers may relay had expired,
     * although peers can confirm at once that they relay none.
     */
    @Test
    void aLeaderThatRestartsAtOnceIsReplacedAtOnce() {
        for (int seed = 1; seed <= 4; seed++) {
            for (long downtimeMs : new long[] {50, 200, 1_000}) {
                ClusterScenario scenario = scenarioWithRunningServices(seed);
                int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
                scenario.faults.crash(scenario.leaderIndex(), downtimeMs);
                long leaderlessMs = awaitNewLeader(scenario, downtimeMs + 1_000);
                System.out.println("seed " + seed + " restart " + downtimeMs + " without a leader ms=" + leaderlessMs);
                scenario.advance(40_000);
                assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry);
                assertEquals(List.of(), scenario.checker.violations);
            }
        }
    }

    /**
     * All controllers restart at the same moment: they have no responses of earlier incarnations to relay, and confirm
     * that at once.
     */
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
     * Crashes controllers in quick succession, within milliseconds of their restarts, with random faults such as store
     * outages.
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
        assertTrue(starts > 120 * 25, "too few tasks started in all scenarios: " + starts);
    }

    /** Crashes some of the controllers and repeats this within 80 ms of their restart, as many times as given. */
    private static void crashRepeatedly(ClusterScenario scenario, int repetitions) {
        List<Integer> controllers = new ArrayList<>(List.of(0, 1, 2));
        controllers.removeIf(controller -> scenario.world.random.nextInt(3) == 0);
        long downtimeMs = 50L + scenario.world.random.nextInt(300);
        controllers.forEach(controller -> scenario.faults.crash(controller, downtimeMs));
        if (repetitions > 0) {
            scenario.world.schedule(
                    downtimeMs + scenario.world.random.nextInt(80), () -> crashRepeatedly(scenario, repetitions - 1));
        }
    }
}
