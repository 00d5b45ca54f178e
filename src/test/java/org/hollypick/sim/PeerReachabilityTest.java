package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Tests how a leader uses its peers' reachability checks to find out whether machines that it can't reach have failed,
 * or only its own network path to them.
 */
class PeerReachabilityTest {
    private static ClusterScenario startedScenario(long seed) {
        ClusterScenario scenario = new ClusterScenario(seed, 4);
        scenario.advance(5_000);
        scenario.workload.submitUncancelledServices(6);
        scenario.advance(40_000);
        return scenario;
    }

    /**
     * Guards against a leader that terminates healthy machines because only it can't reach them: replicas then waited
     * for up to 45 s (inc-fd28).
     */
    @Test
    void machinesReachableFromPeersAreNotTerminatedAndLeaderIsReplaced() {
        for (int seed = 1; seed <= 8; seed++) {
            ClusterScenario scenario = startedScenario(seed);
            int leaderBefore = scenario.leaderIndex();
            int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
            List<String> unreachable = scenario.cloud.agents().stream()
                    .map(agent -> agent.name)
                    .filter(name -> name.hashCode() % 2 == 0)
                    .toList();
            assertTrue(unreachable.size() >= 3);
            scenario.network.partitionFromAgents(leaderBefore, 60_000, unreachable);
            scenario.advance(14_000);
            assertTrue(scenario.leaderIndex() != leaderBefore, "seed " + seed + ": another controller leads");
            assertTrue(
                    scenario.cloud.machineNames().containsAll(unreachable),
                    "seed " + seed + ": reachable machines were terminated");
            scenario.advance(80_000);
            assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry, "seed " + seed);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /** Hung machines respond to no controller. The reachability checks of peers must not delay their termination. */
    @Test
    void hungMachinesAreTerminatedWithoutDelayByPeerChecks() {
        ClusterScenario scenario = startedScenario(1);
        int leaderBefore = scenario.leaderIndex();
        List<FakeAgent> hung = scenario.cloud.agents().subList(0, 3);
        List<String> names = hung.stream().map(agent -> agent.name).toList();
        hung.forEach(agent -> agent.hang(60_000));
        scenario.advance(9_000);
        assertTrue(
                names.stream().noneMatch(scenario.cloud.machineNames()::contains),
                names + " of " + scenario.cloud.machineNames());
        assertEquals(leaderBefore, scenario.leaderIndex());
        scenario.advance(60_000);
        assertEquals(List.of(), scenario.checker.violations);
    }
}
