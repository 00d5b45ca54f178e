package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.junit.jupiter.api.Test;

/**
 * Cuts that leave some links up (docs/partial-connectivity.md): wherever there is a way by at most one peer, work goes
 * on.
 */
class LinkPatternsTest {
    private static final long PATTERN_MS = 40_000;
    /**
     * As long as the deployments': a machine that finds two controllers cut off in turn needs fifteen seconds for it.
     */
    private static final long LEASE_MS = 27_000;
    /** From the beginning of a cut until new work starts. */
    private static final long MAX_START_MS = 25_000;

    /** How a cut went. */
    private record Outcome(
            LinkPattern links,
            int lostTasks,
            long startedAfterMs,
            int leaderChanges,
            Set<String> returnedMachines,
            List<String> violations) {
        boolean isUninterrupted() {
            return lostTasks == 0 && startedAfterMs <= MAX_START_MS;
        }
    }

    /** Some dozen machines with services that nobody cancels. */
    private static ClusterScenario newScenarioWithServices(int seed) {
        ClusterScenario scenario = new ClusterScenario(
                seed,
                6,
                null,
                null,
                (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults()),
                LEASE_MS);
        scenario.advance(3_000);
        scenario.workload.submitUncancelledServices(5);
        scenario.advance(37_000);
        return scenario;
    }

    /** Services run; the links are as they say; after a while new work comes; the cut ends. */
    private static Outcome runPattern(int seed, LinkPattern links) {
        ClusterScenario scenario = newScenarioWithServices(seed);
        int lost = scenario.checker.tasks.lostOnLeaseExpiry;
        Set<String> returned = new TreeSet<>();
        scenario.world.requestObserver = (from, call) -> {
            if (call.path().equals("/hosts/return")) {
                call.body()
                        .path("bothies")
                        .forEach(id -> scenario.cloud.agents().stream()
                                .filter(agent -> agent.name.equals(id.asText())
                                        && agent.activeTasks() > 0
                                        && (links.reachesAgents(0, agent.zone)
                                                || links.reachesAgents(1, agent.zone)
                                                || links.reachesAgents(2, agent.zone)))
                                .forEach(agent -> returned.add(agent.name)));
            }
        };
        scenario.network.apply(links);
        scenario.advance(10_000);
        long from = scenario.world.now;
        int starts = scenario.checker.tasks.starts;
        int changes = 0;
        long lead = scenario.store.valueOf("h/roster").path("member").asLong();
        long startedAfter = Long.MAX_VALUE;
        scenario.workload.submitUncancelledServices(3);
        for (long t = 0; t < PATTERN_MS - 10_000; t += 100) {
            scenario.advance(100);
            long leads = scenario.store.valueOf("h/roster").path("member").asLong();
            changes += leads == lead ? 0 : 1;
            lead = leads;
            if (startedAfter == Long.MAX_VALUE && scenario.checker.tasks.starts > starts) {
                startedAfter = scenario.world.now - from + 10_000;
            }
        }
        int lostInCut = scenario.checker.tasks.lostOnLeaseExpiry - lost;
        scenario.network.apply(null);
        scenario.advance(60_000);
        return new Outcome(links, lostInCut, startedAfter, changes, returned, scenario.checker.violations);
    }

    /** Every pattern of a kind, one in so many; {@code main} plays them all. */
    private static List<Outcome> runPatterns(int step) {
        List<Outcome> list = new ArrayList<>();
        for (int bits = step / 2; bits < LinkPattern.COUNT; bits += step) {
            list.add(runPattern(1 + bits % 5, new LinkPattern(bits)));
        }
        return list;
    }

    private static final Predicate<Outcome> RETURNED_USABLE_MACHINES = o -> !o.returnedMachines.isEmpty();

    @Test
    void workContinuesWhenAllAgentsAreReachableThroughAtMostOnePeer() {
        for (Outcome o : runPatterns(29)) {
            assertEquals(List.of(), o.violations, o.links.toString());
            if (o.links.coverage() == LinkPattern.Coverage.FULL) {
                assertTrue(o.isUninterrupted(), o.toString());
                assertEquals(Set.of(), o.returnedMachines, o.toString());
                assertTrue(o.leaderChanges <= 3, o.toString());
            }
        }
    }

    /** From one pattern to the next while jobs come and go, controllers end, and messages are late. */
    @Test
    void changingLinksViolateNoInvariant() {
        int starts = 0;
        for (int seed = 1; seed <= 120; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.workload.submitJobs(25, 100_000);
            scenario.randomFaults.scheduleFaults(4, 20_000, 120_000);
            for (long at = 15_000; at < 130_000; at += 2_000 + scenario.world.random.nextInt(12_000)) {
                // Most links are up at a time, or nothing would run.
                int first = scenario.world.random.nextInt(LinkPattern.COUNT);
                int second = scenario.world.random.nextInt(LinkPattern.COUNT);
                LinkPattern links = new LinkPattern(first | second);
                scenario.world.schedule(at, () -> scenario.network.apply(links));
            }
            scenario.world.schedule(135_000, () -> scenario.network.apply(null));
            scenario.advance(220_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            starts += scenario.checker.tasks.starts;
        }
        assertTrue(starts > 120 * 20, "the days did little: " + starts);
    }

    /**
     * A leader whose links to the machines come and go every few seconds: each change of leadership is work for all
     * that remain.
     */
    @Test
    void flappingLinksCauseFewFailovers() {
        for (int seed = 1; seed <= 3; seed++) {
            ClusterScenario scenario = newScenarioWithServices(seed);
            int lost = scenario.checker.tasks.lostOnLeaseExpiry;
            for (int i = 0; i < 15; i++) {
                boolean down = i % 2 == 0;
                scenario.world.schedule(
                        4_000L * i,
                        () -> scenario.network.apply(
                                down
                                        ? new LinkPattern(LinkPattern.COUNT - 1
                                                & ~LinkPattern.agentLinksOf(scenario.leaderIndex()))
                                        : null));
            }
            long lead = scenario.store.valueOf("h/roster").path("member").asLong();
            int changes = 0;
            for (int t = 0; t < 600; t++) {
                scenario.advance(100);
                long leads = scenario.store.valueOf("h/roster").path("member").asLong();
                changes += leads == lead ? 0 : 1;
                lead = leads;
            }
            assertTrue(changes <= 4, "seed " + seed + " changes in a minute " + changes);
            scenario.network.apply(null);
            scenario.advance(40_000);
            assertEquals(lost, scenario.checker.tasks.lostOnLeaseExpiry, "seed " + seed);
            assertEquals(List.of(), scenario.checker.violations);
        }
    }

    /**
     * Two controllers cut from the machines, one of them the leader: leadership goes straight to the third, and within
     * a second of being given up.
     */
    @Test
    void leadershipMovesToTheControllerThatReachesTheMachines() {
        for (int seed = 1; seed <= 6; seed++) {
            ClusterScenario scenario = newScenarioWithServices(seed);
            int lost = scenario.checker.tasks.lostOnLeaseExpiry;
            int leaderAtFirst = scenario.leaderIndex();
            int well = (leaderAtFirst + 1 + seed % 2) % 3;
            int other = 3 - leaderAtFirst - well;
            long[] gaveUpAt = {0};
            scenario.world.requestObserver =
                    (from, call) -> gaveUpAt[0] = call.path().equals("/release") ? scenario.world.now : gaveUpAt[0];
            int cut = LinkPattern.agentLinksOf(leaderAtFirst) | LinkPattern.agentLinksOf(other);
            scenario.network.apply(new LinkPattern(LinkPattern.COUNT - 1 & ~cut));
            // Controllers refuse each other soon after: from then on nobody tells anybody anything.
            scenario.world.schedule(
                    seed % 3 == 0 ? 2_000 : 7_000,
                    () -> scenario.network.apply(
                            new LinkPattern(LinkPattern.COUNT - 1 & ~cut & ~LinkPattern.ALL_PEER_LINKS)));
            while (scenario.leaderIndex() == leaderAtFirst) {
                scenario.advance(10);
                assertTrue(scenario.world.now < 60_000, "nobody took over");
            }
            assertEquals(well, scenario.leaderIndex());
            long without = scenario.world.now - gaveUpAt[0];
            assertTrue(seed % 3 == 0 || without < 1_000, "seed " + seed + " without a leader for ms=" + without);
            scenario.advance(40_000);
            scenario.network.apply(null);
            scenario.advance(30_000);
            assertEquals(lost, scenario.checker.tasks.lostOnLeaseExpiry);
            assertEquals(List.of(), scenario.checker.violations);
        }
    }

    /**
     * Prints, for every pattern, how it went: a table of what can be done against what was, and those that fell short.
     */
    public static void main(String[] args) {
        Map<String, int[]> table = new TreeMap<>();
        int broken = 0;
        for (Outcome o : runPatterns(args.length > 0 ? Integer.parseInt(args[0]) : 1)) {
            int[] row = table.computeIfAbsent(o.links.coverage().toString(), k -> new int[7]);
            row[0]++;
            row[o.isUninterrupted() ? 1 : o.startedAfterMs < Long.MAX_VALUE ? 2 : 3]++;
            row[4] += o.lostTasks > 0 ? 1 : 0;
            row[5] += RETURNED_USABLE_MACHINES.test(o) ? 1 : 0;
            row[6] = Math.max(row[6], o.leaderChanges);
            broken += o.violations.isEmpty() ? 0 : 1;
            if (!o.violations.isEmpty()
                    || (o.links.coverage() == LinkPattern.Coverage.FULL
                            && (!o.isUninterrupted() || RETURNED_USABLE_MACHINES.test(o) || o.leaderChanges > 3))) {
                System.out.println(o);
            }
        }
        table.forEach((coverage, r) -> System.out.printf(
                Locale.ROOT,
                "%s patterns=%d full=%d part=%d none=%d lost=%d returned=%d changes<=%d%n",
                coverage,
                r[0],
                r[1],
                r[2],
                r[3],
                r[4],
                r[5],
                r[6]));
        System.out.println("broken " + broken);
    }
}
