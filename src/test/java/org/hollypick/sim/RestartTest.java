package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Controllers that end and are back within a fraction of a second, before anyone has missed them. */
class RestartTest {
    private static ClusterScenario running(int seed) {
        ClusterScenario day = new ClusterScenario(seed, 4);
        day.play(5_000);
        day.submitLasting(6);
        day.play(30_000);
        return day;
    }

    /** Milliseconds from the leader's end until a leader record names another incarnation. */
    private static long withoutLeader(ClusterScenario day, long within) {
        long member = day.state.data("h/roster").path("member").asLong();
        long from = day.world.now;
        while (day.state.data("h/roster").path("member").asLong() == member) {
            day.play(10);
            assertTrue(day.world.now < from + within, "nobody leads after ms=" + (day.world.now - from));
        }
        return day.world.now - from;
    }

    /** It waited for as long as others may pass its earlier self's answers on, though they can say that they don't. */
    @Test
    void aLeaderThatIsBackAtOnceIsReplacedAtOnce() {
        for (int seed = 1; seed <= 4; seed++) {
            for (long restart : new long[] {50, 200, 1_000}) {
                ClusterScenario day = running(seed);
                int lost = day.checker.lost;
                day.crash(day.leader(), restart);
                long took = withoutLeader(day, restart + 1_000);
                System.out.println("seed " + seed + " restart " + restart + " without a leader ms=" + took);
                day.play(40_000);
                assertEquals(lost, day.checker.lost);
                assertEquals(List.of(), day.checker.broken);
            }
        }
    }

    /** The others are back in the same moment and have nothing to pass on: they say so at once. */
    @Test
    void allThatAreBackAtOnceLeadAgainAtOnce() {
        for (int seed = 1; seed <= 4; seed++) {
            ClusterScenario day = running(seed);
            for (int node = 0; node < 3; node++) {
                day.crash(node, 100);
            }
            withoutLeader(day, 1_500);
            day.play(40_000);
            assertEquals(List.of(), day.checker.broken);
        }
    }

    /**
     * Ends one upon the other, in the milliseconds before and after each start, with the state service slow to come
     * back.
     */
    @Test
    void endsUponEndsKeepTheRules() {
        int starts = 0;
        for (int seed = 1; seed <= 120; seed++) {
            ClusterScenario day = new ClusterScenario(seed);
            day.submitSome(25, 100_000);
            day.drawFaults(6, 20_000, 120_000);
            for (int i = 0; i < 6; i++) {
                day.world.at(20_000 + day.world.random.nextInt(100_000), () -> cascade(day, 4));
            }
            day.play(200_000);
            assertEquals(List.of(), day.checker.broken, "seed " + seed);
            starts += day.checker.starts;
        }
        assertTrue(starts > 120 * 25, "the days did little: " + starts);
    }

    private static void cascade(ClusterScenario day, int more) {
        List<Integer> some = new ArrayList<>(List.of(0, 1, 2));
        some.removeIf(n -> day.world.random.nextInt(3) == 0);
        long back = 50L + day.world.random.nextInt(300);
        some.forEach(n -> day.crash(n, back));
        if (more > 0) {
            day.world.at(back + day.world.random.nextInt(80), () -> cascade(day, more - 1));
        }
    }
}
