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
 * Tests partial connectivity (docs/partial-connectivity.md): work continues as long as a controller reaches the store
 * and the agents, directly or through one peer.
 */
class LinkPatternsTest {
    private static final long PATTERN_MS = 40_000;
    /**
     * Lease of the agents, as in deployments: an agent that tries two unreachable controllers in turn needs 15 s for
     * that.
     */
    private static final long LEASE_MS = 27_000;
    /** Limit for the time from the start of a pattern until a new task starts. */
    private static final long MAX_START_MS = 25_000;

    /** The effects of a link pattern. */
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

    /** Creates a scenario with dozens of machines and services that no user cancels. */
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

    /**
     * Applies a link pattern to a cluster with running services, submits new services after 10 s, and restores all
     * links in the end.
     */
    private static Outcome runPattern(int seed, LinkPattern links) {
        ClusterScenario scenario = newScenarioWithServices(seed);
        int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
        Set<String> returnedMachines = new TreeSet<>();
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
                                .forEach(agent -> returnedMachines.add(agent.name)));
            }
        };
        scenario.network.apply(links);
        scenario.advance(10_000);
        long submittedAt = scenario.world.now;
        int startsBefore = scenario.checker.tasks.starts;
        int leaderChanges = 0;
        long leader = scenario.store.valueOf("h/roster").path("member").asLong();
        long startedAfterMs = Long.MAX_VALUE;
        scenario.workload.submitUncancelledServices(3);
        for (long elapsedMs = 0; elapsedMs < PATTERN_MS - 10_000; elapsedMs += 100) {
            scenario.advance(100);
            long newLeader = scenario.store.valueOf("h/roster").path("member").asLong();
            leaderChanges += newLeader == leader ? 0 : 1;
            leader = newLeader;
            if (startedAfterMs == Long.MAX_VALUE && scenario.checker.tasks.starts > startsBefore) {
                startedAfterMs = scenario.world.now - submittedAt + 10_000;
            }
        }
        int lostTasks = scenario.checker.tasks.lostOnLeaseExpiry - lostBefore;
        scenario.network.apply(null);
        scenario.advance(60_000);
        return new Outcome(
                links, lostTasks, startedAfterMs, leaderChanges, returnedMachines, scenario.checker.violations);
    }

    /** Runs every {@code step}-th link pattern; {@code main} runs all of them by default. */
    private static List<Outcome> runPatterns(int step) {
        List<Outcome> outcomes = new ArrayList<>();
        for (int bits = step / 2; bits < LinkPattern.COUNT; bits += step) {
            outcomes.add(runPattern(1 + bits % 5, new LinkPattern(bits)));
        }
        return outcomes;
    }

    private static final Predicate<Outcome> RETURNED_USABLE_MACHINES = outcome -> !outcome.returnedMachines.isEmpty();

    @Test
    void workContinuesWhenAllAgentsAreReachableThroughAtMostOnePeer() {
        for (Outcome outcome : runPatterns(29)) {
            assertEquals(List.of(), outcome.violations, outcome.links.toString());
            if (outcome.links.coverage() == LinkPattern.Coverage.FULL) {
                assertTrue(outcome.isUninterrupted(), outcome.toString());
                assertEquals(Set.of(), outcome.returnedMachines, outcome.toString());
                assertTrue(outcome.leaderChanges <= 3, outcome.toString());
            }
        }
    }

    /** Switches between link patterns while jobs are submitted and end, controllers crash, and messages are late. */
    @Test
    void changingLinksViolateNoInvariant() {
        int starts = 0;
        for (int seed = 1; seed <= 120; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.workload.submitJobs(25, 100_000);
            scenario.randomFaults.scheduleFaults(4, 20_000, 120_000);
            for (long at = 15_000; at < 130_000; at += 2_000 + scenario.world.random.nextInt(12_000)) {
                // Of two combined patterns most links are up; with fewer no task would start.
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
        assertTrue(starts > 120 * 20, "only " + starts + " tasks started in 120 scenarios");
    }

    /**
     * The leader's links to the agents go down or up every 4 s. There must be few failovers, since each is work for all
     * the other controllers and the agents.
     */
    @Test
    void flappingLinksCauseFewFailovers() {
        for (int seed = 1; seed <= 3; seed++) {
            ClusterScenario scenario = newScenarioWithServices(seed);
            int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
            for (int i = 0; i < 15; i++) {
                boolean isDown = i % 2 == 0;
                scenario.world.schedule(
                        4_000L * i,
                        () -> scenario.network.apply(
                                isDown
                                        ? new LinkPattern(LinkPattern.COUNT - 1
                                                & ~LinkPattern.agentLinksOf(scenario.leaderIndex()))
                                        : null));
            }
            long leader = scenario.store.valueOf("h/roster").path("member").asLong();
            int leaderChanges = 0;
            for (int t = 0; t < 600; t++) {
                scenario.advance(100);
                long newLeader =
                        scenario.store.valueOf("h/roster").path("member").asLong();
                leaderChanges += newLeader == leader ? 0 : 1;
                leader = newLeader;
            }
            assertTrue(leaderChanges <= 4, "seed " + seed + ": " + leaderChanges + " leader changes in a minute");
            scenario.network.apply(null);
            scenario.advance(40_000);
            assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry, "seed " + seed);
            assertEquals(List.of(), scenario.checker.violations);
        }
    }

    /**
     * Two controllers, one of them the leader, lose their links to the agents: the third becomes the leader next,
     * within a second after the former leader released leadership.
     */
    @Test
    void leadershipMovesToTheControllerThatReachesTheMachines() {
        for (int seed = 1; seed <= 6; seed++) {
            ClusterScenario scenario = newScenarioWithServices(seed);
            int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
            int formerLeader = scenario.leaderIndex();
            int connected = (formerLeader + 1 + seed % 2) % 3;
            int other = 3 - formerLeader - connected;
            long[] releasedAt = {0};
            scenario.world.requestObserver =
                    (from, call) -> releasedAt[0] = call.path().equals("/release") ? scenario.world.now : releasedAt[0];
            int downLinks = LinkPattern.agentLinksOf(formerLeader) | LinkPattern.agentLinksOf(other);
            scenario.network.apply(new LinkPattern(LinkPattern.COUNT - 1 & ~downLinks));
            // After 2 or 7 s the links between the controllers go down too, so that none can inform another.
            scenario.world.schedule(
                    seed % 3 == 0 ? 2_000 : 7_000,
                    () -> scenario.network.apply(
                            new LinkPattern(LinkPattern.COUNT - 1 & ~downLinks & ~LinkPattern.ALL_PEER_LINKS)));
            while (scenario.leaderIndex() == formerLeader) {
                scenario.advance(10);
                assertTrue(scenario.world.now < 60_000, "seed " + seed + ": no new leader until 60 s");
            }
            assertEquals(connected, scenario.leaderIndex());
            long withoutLeaderMs = scenario.world.now - releasedAt[0];
            assertTrue(
                    seed % 3 == 0 || withoutLeaderMs < 1_000,
                    "seed " + seed + ": no leader for " + withoutLeaderMs + " ms");
            scenario.advance(40_000);
            scenario.network.apply(null);
            scenario.advance(30_000);
            assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry);
            assertEquals(List.of(), scenario.checker.violations);
        }
    }

    /**
     * Prints how many patterns had which effects, by the coverage that each pattern allows, and the outcome of each
     * pattern that missed its target.
     */
    public static void main(String[] args) {
        Map<String, int[]> table = new TreeMap<>();
        int violatingPatterns = 0;
        for (Outcome outcome : runPatterns(args.length > 0 ? Integer.parseInt(args[0]) : 1)) {
            int[] counts = table.computeIfAbsent(outcome.links.coverage().toString(), k -> new int[7]);
            counts[0]++;
            counts[outcome.isUninterrupted() ? 1 : outcome.startedAfterMs < Long.MAX_VALUE ? 2 : 3]++;
            counts[4] += outcome.lostTasks > 0 ? 1 : 0;
            counts[5] += RETURNED_USABLE_MACHINES.test(outcome) ? 1 : 0;
            counts[6] = Math.max(counts[6], outcome.leaderChanges);
            violatingPatterns += outcome.violations.isEmpty() ? 0 : 1;
            if (!outcome.violations.isEmpty()
                    || (outcome.links.coverage() == LinkPattern.Coverage.FULL
                            && (!outcome.isUninterrupted()
                                    || RETURNED_USABLE_MACHINES.test(outcome)
                                    || outcome.leaderChanges > 3))) {
                System.out.println(outcome);
            }
        }
        table.forEach((coverage, counts) -> System.out.printf(
                Locale.ROOT,
                "%s patterns=%d full=%d part=%d none=%d lost=%d returned=%d changes<=%d%n",
                coverage,
                counts[0],
                counts[1],
                counts[2],
                counts[3],
                counts[4],
                counts[5],
                counts[6]));
        System.out.println("broken " + violatingPatterns);
    }
}
