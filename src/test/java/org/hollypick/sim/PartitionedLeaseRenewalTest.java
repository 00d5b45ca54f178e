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
 * A zone cut off from everything, with controllers in it and outside; workers' leases last 15 s, and a cancelled task
 * has 35 s.
 */
class PartitionedLeaseRenewalTest {
    private static final BiFunction<EventLoop, Settings, Controller> NEW =
            (r, s) -> new Controller(r, s, OperatorSettings.defaults());
    /** Two leases' time, nearly: longer than a lease, shorter than a lease that is kept. */
    private static final long CUT_MS = 28_000;

    private static ClusterScenario day(long seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario day = new ClusterScenario(seed, 1, null, null, version);
        day.controllerInZone(2, "b");
        day.play(5_000);
        day.submitLasting(8);
        day.play(40_000);
        return day;
    }

    private static ClusterScenario led(long seed, int leader, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario day = day(seed, version);
        for (int node = 0; node < 3; node++) {
            if (node != leader) {
                day.crash(node, 12_000);
            }
        }
        day.play(20_000);
        assertEquals(leader, day.leader());
        day.play(10_000);
        return day;
    }

    private static void survives(ClusterScenario day) {
        int lost = day.checker.lost;
        int starts = day.checker.starts;
        day.cutZone("b", CUT_MS);
        day.play(CUT_MS + 5_000);
        assertEquals(lost, day.checker.lost, "leases were kept");
        assertEquals(starts, day.checker.starts, "nothing was started again, since nothing ended");
        day.play(60_000);
        assertEquals(lost, day.checker.lost);
        assertEquals(List.of(), day.checker.broken);
    }

    /** Half of every spread service has to be in the zone: it ran on unreachable, and ended with the leases. */
    @Test
    void workInACutZoneGoesOnWithTheLeaderOutside() {
        survives(led(3, 0, NEW));
    }

    @Test
    void workInACutZoneGoesOnWithTheLeaderInside() {
        survives(led(3, 2, NEW));
    }

    /** The successor may not take kept leases for ended ones, and finds what runs before it starts anything twice. */
    @Test
    void workInACutZoneOutlivesTheLeadersCrash() {
        ClusterScenario day = led(3, 0, NEW);
        day.world.at(12_000, () -> day.crash(0, 8_000));
        survives(day);
    }

    /**
     * The team is at its limit, a zone is partitioned, and another one leads: for as long as leases may be kept there,
     * nothing was started, though half of the machines were heard.
     */
    @Test
    void aTeamAtItsLimitGoesOnWhileAZoneIsPartitioned() {
        int starts = 0;
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario day = new ClusterScenario(seed, 4, null, null, NEW);
            day.controllerInZone(2, "b");
            day.play(5_000);
            day.submitSome(60, 90_000);
            day.play(40_000);
            day.cutZone("b", 45_000);
            day.world.at(500, () -> day.crash(day.leader(), 20_000));
            day.play(12_000);
            int before = day.checker.starts;
            day.play(13_000);
            starts += day.checker.starts - before;
            day.play(120_000);
            assertEquals(List.of(), day.checker.broken, "seed " + seed);
        }
        System.out.println("starts while a zone is dark " + starts);
        assertTrue(starts > 100, "starts while a zone is dark: " + starts);
    }

    /** A cut longer than anyone may keep leases: the work there ends, and starts again once it may. */
    @Test
    void keepingEndsInTimeForWhatIsCancelledMeanwhile() {
        for (int seed = 1; seed <= 20; seed++) {
            assertEquals(List.of(), longCut(seed, NEW).checker.broken, "seed " + seed);
        }
    }

    @Test
    void drawnDaysWithCutZonesKeepTheRules() {
        for (int seed = 1; seed <= 150; seed++) {
            ClusterScenario day = drawn(seed, NEW);
            assertEquals(List.of(), day.checker.broken, "seed " + seed);
        }
    }

    private static ClusterScenario drawn(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario day = new ClusterScenario(seed, 1, null, null, version);
        day.controllerInZone(2, "b");
        day.submitSome(30, 150_000);
        day.drawFaults(5, 20_000, 170_000);
        for (int i = 0; i < 3; i++) {
            String zone = day.world.random.nextBoolean() ? "a" : "b";
            long ms = 5_000L + day.world.random.nextInt(45_000);
            day.world.at(25_000 + 50_000 * i + day.world.random.nextInt(30_000), () -> day.cutZone(zone, ms));
        }
        day.play(260_000);
        return day;
    }

    private static ClusterScenario longCut(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario day = day(seed, version);
        day.submitSome(30, 10_000);
        day.play(16_000); // their users cancel services within a minute
        day.cutZone("b", 70_000);
        day.play(200_000);
        return day;
    }

    /** One that keeps leases for longer keeps tasks alive whose cancellation was told long ago. */
    @Test
    void theCheckerNoticesLeasesKeptForTooLong() {
        BiFunction<EventLoop, Settings, Controller> greedy = (r, s) -> NEW.apply(r, ClusterScenario.greedy(s, 60));
        boolean noticed = false;
        for (int seed = 1; seed <= 20 && !noticed; seed++) {
            noticed = longCut(seed, greedy).checker.broken.stream().anyMatch(b -> b.startsWith("ran_cancelled"));
        }
        assertTrue(noticed);
    }

    /**
     * Hundreds of machines in a partitioned zone took every direct call, so that the others went unasked, and a new
     * leader took itself to be cut off and resigned.
     */
    @Test
    void manySilentMachinesDoNotTakeAllCalls() {
        ClusterScenario day = new ClusterScenario(2, 24, null, null, NEW);
        day.controllerInZone(2, "b");
        day.play(5_000);
        day.submitLasting(40);
        day.play(45_000);
        int before = day.leader();
        day.cutZone("b", 40_000);
        day.world.at(1_000, () -> day.crash(before, 60_000));
        day.play(12_000);
        int successor = day.leader();
        day.play(27_000);
        assertEquals(successor, day.leader(), "it kept the lead while the zone was dark");
        day.play(60_000);
        assertEquals(List.of(), day.checker.broken);
    }
}
