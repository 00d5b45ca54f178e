package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** The rules on simulated days, and proof that the checker notices when a safeguard is taken away. */
class InvariantsTest {
    private static final int DAYS = 600;

    @Test
    void aQuietDayRunsEverything() {
        ClusterScenario day = new ClusterScenario(1);
        day.submitSome(40, 60_000);
        day.play(200_000);
        assertEquals(List.of(), day.checker.broken);
        assertTrue(day.checker.completed > 30, "completed " + day.checker.completed);
        day.checker.submitted.keySet().forEach(id -> assertTrue(day.checker.isOver(id), id));
    }

    @Test
    void drawnDaysWithFaultsKeepTheRules() {
        int starts = 0;
        for (int seed = 100; seed < 100 + DAYS; seed++) {
            ClusterScenario day = new ClusterScenario(seed);
            day.submitSome(25, 120_000);
            day.drawFaults(10, 20_000, 150_000);
            day.play(220_000);
            assertEquals(List.of(), day.checker.broken, "seed " + seed);
            starts += day.checker.starts;
        }
        assertTrue(starts > DAYS * 30, "the days did little: " + starts);
    }

    @Test
    void everyAcceptedJobEndsAfterTheLossOfAllControllers() {
        ClusterScenario day = new ClusterScenario(7);
        day.submitSome(15, 30_000);
        day.world.at(35_000, () -> day.state.outage(15_000));
        day.world.at(40_000, day::crashAll);
        day.play(300_000);
        assertEquals(List.of(), day.checker.broken);
        day.checker
                .submitted
                .keySet()
                .forEach(id -> assertTrue(!day.checker.isAccepted(id) || day.checker.isOver(id), id));
    }

    /**
     * An outage longer than state session and worker lease: the others' promises let the leader go on answering
     * reports.
     */
    @Test
    void runningWorkSurvivesALongOutageOfTheStateService() {
        ClusterScenario day = new ClusterScenario(3).withRunningServices();
        day.state.outage(60_000);
        day.play(5_000);
        int lost = day.checker.lost;
        day.play(54_000);
        assertEquals(lost, day.checker.lost);
        day.play(120_000);
        assertEquals(List.of(), day.checker.broken);
    }

    /** With one of the others gone there is no promise, so the leader must stop; nobody may act then. */
    @Test
    void withoutAllPromisesNobodyActsInAnOutage() {
        ClusterScenario day = new ClusterScenario(3).withRunningServices();
        day.world.at(100, () -> day.crash(0, 90_000));
        day.state.outage(60_000);
        day.play(5_000);
        int lost = day.checker.lost;
        day.play(54_000);
        assertTrue(day.checker.lost > lost);
        day.play(120_000);
        assertEquals(List.of(), day.checker.broken);
    }

    /** Hundreds of tasks on dozens of machines, so that records hold many machines and jobs, and come and go. */
    @Test
    void largeDaysWithFaultsKeepTheRules() {
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario day = new ClusterScenario(seed, 12);
            day.submitSome(40, 100_000);
            day.drawFaults(14, 20_000, 150_000);
            day.play(240_000);
            assertEquals(List.of(), day.checker.broken, "seed " + seed);
            assertTrue(day.checker.starts > 500, "seed " + seed + " started " + day.checker.starts);
        }
    }

    /** A leader that no machine reaches kept its lead, and the leases of all of them ran out. */
    @Test
    void aLeaderCutOffFromTheMachinesLeavesTheLeadToAnother() {
        ClusterScenario day = new ClusterScenario(3).withRunningServices();
        int before = day.leader();
        int lost = day.checker.lost;
        day.cutFromWorkers(before, 40_000);
        day.play(14_000);
        assertTrue(day.leader() != before);
        day.play(60_000);
        assertEquals(lost, day.checker.lost);
        assertEquals(List.of(), day.checker.broken);
    }

    /**
     * A leader that alone can't reach the state service was replaced, after a state session's time without a leader,
     * though another one reaches it.
     */
    @Test
    void aLeaderThatAloneCantReachTheStateServiceGoesOnByAnother() {
        ClusterScenario day = new ClusterScenario(3).withRunningServices();
        int before = day.leader();
        day.world.cut("bothy-" + before, "state:1", 40_000);
        day.submitSome(10, 20_000);
        for (int i = 0; i < 300; i++) {
            day.play(100);
            assertEquals(before, day.leader());
        }
        assertEquals(200, day.ready(before), "users are served there too");
        day.play(60_000);
        assertEquals(List.of(), day.checker.broken);
        day.checker.submitted.keySet().forEach(id -> assertTrue(day.checker.isAccepted(id), id));
    }

    /** It was promised the lead on and on, and took no new jobs: with no way by another one either it is replaced. */
    @Test
    void aLeaderWithoutAnyWayToTheStateServiceIsReplaced() {
        ClusterScenario day = new ClusterScenario(3).withRunningServices();
        int before = day.leader();
        day.world.cut("bothy-" + before, "state:1", 40_000);
        for (int other = 0; other < 3; other++) {
            day.world.cut("bothy-" + before, "m" + other + ":1", 4_500);
        }
        day.play(8_000);
        assertTrue(day.leader() != before);
        assertEquals(200, day.ready((before + 1) % 3));
        day.play(90_000);
        assertEquals(200, day.ready(before));
        assertEquals(List.of(), day.checker.broken);
    }

    /** In an outage for all nobody is better off elsewhere. */
    @Test
    void inAnOutageAllStayReady() {
        ClusterScenario day = new ClusterScenario(3).withRunningServices();
        day.state.outage(30_000);
        day.play(12_000);
        for (int node = 0; node < 3; node++) {
            assertEquals(200, day.ready(node));
        }
    }

    /** Without the durable machine records a new leader doesn't wait for machines it can't reach. */
    @Test
    void theCheckerNoticesALeaderThatDoesNotWait() {
        boolean noticed = false;
        for (int seed = 1; seed < 40 && !noticed; seed++) {
            ClusterScenario day = new ClusterScenario(seed);
            day.state.hidden = k -> k.startsWith("h/m/");
            day.submitSome(25, 40_000);
            day.world.at(
                    45_000,
                    () -> day.cloud.workers().forEach(w -> {
                        for (int i = 0; i < 3; i++) {
                            if (day.world.random.nextBoolean()) {
                                day.world.cut(w.name, "p" + i + ":1", 12_000);
                            }
                            day.world.cut("bothy-" + i, w.addr, 12_000);
                        }
                    }));
            day.world.at(46_000, day::crashAll);
            day.play(120_000);
            noticed = day.checker.broken.stream().anyMatch(b -> b.startsWith("ran_twice"));
        }
        assertTrue(noticed);
    }

    /** If state sessions end before their time, a deposed leader still answers, from what was true once. */
    @Test
    void theCheckerNoticesAHoldThatEndsEarly() {
        boolean noticed = false;
        for (int seed = 1; seed < 40 && !noticed; seed++) {
            ClusterScenario day = new ClusterScenario(seed);
            day.state.holdShare = 0.2;
            day.submitSome(25, 60_000);
            for (int i = 0; i < 12; i++) {
                int node = i % 3;
                day.world.at(20_000 + 8_000 * i, () -> day.world.cut("bothy-" + node, "state:1", 6_000));
            }
            day.play(120_000);
            noticed = !day.checker.broken.isEmpty();
        }
        assertTrue(noticed);
    }
}
