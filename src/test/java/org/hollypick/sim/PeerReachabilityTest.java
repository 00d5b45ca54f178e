package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** A leader that only some machines can't reach: are they lost, or is it the path? The other controllers can tell. */
class PeerReachabilityTest {
    private static ClusterScenario day(long seed) {
        ClusterScenario day = new ClusterScenario(seed, 4);
        day.play(5_000);
        day.submitLasting(6);
        day.play(40_000);
        return day;
    }

    /**
     * It returned the machines that it couldn't reach, though they were well, and replicas waited for up to 45 s
     * (inc-fd28).
     */
    @Test
    void machinesThatOthersReachAreNotReturnedAndEndTheLead() {
        for (int seed = 1; seed <= 8; seed++) {
            ClusterScenario day = day(seed);
            int before = day.leader();
            int lost = day.checker.lost;
            List<String> cut = day.cloud.workers().stream()
                    .map(w -> w.name)
                    .filter(n -> n.hashCode() % 2 == 0)
                    .toList();
            assertTrue(cut.size() >= 3);
            day.cutFromWorkers(before, 60_000, cut);
            day.play(14_000);
            assertTrue(day.leader() != before, "seed " + seed + ": another controller leads");
            assertTrue(day.cloud.names().containsAll(cut), "seed " + seed + ": good machines were returned");
            day.play(80_000);
            assertEquals(lost, day.checker.lost, "seed " + seed);
            assertEquals(List.of(), day.checker.broken, "seed " + seed);
        }
    }

    /** Machines that hang answer nobody: asking the others may not hold up their replacement. */
    @Test
    void machinesThatHangAreReturnedAsBefore() {
        ClusterScenario day = day(1);
        int before = day.leader();
        List<FakeAgent> hung = day.cloud.workers().subList(0, 3);
        List<String> names = hung.stream().map(w -> w.name).toList();
        hung.forEach(w -> w.hang(60_000));
        day.play(9_000);
        assertTrue(names.stream().noneMatch(day.cloud.names()::contains), names + " of " + day.cloud.names());
        assertEquals(before, day.leader());
        day.play(60_000);
        assertEquals(List.of(), day.checker.broken);
    }
}
