package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Requests that were executed and answered arrive once more, up to two minutes later: soon after an agent cleared an
 * attempt, around restarts and at random. More random scenarios: {@code mvn test -Dtest=RepeatedRequestsTest
 * -Drepeated-requests.days=3000}.
 */
class RepeatedRequestsTest {
    /** Number of random scenarios of each test. */
    private static final int SCENARIOS = Integer.getInteger("repeated-requests.days", 20);

    private static final int FIRST_SEED = Integer.getInteger("repeated-requests.first", 1);
    private static final long FAULTS_END_AT_MS = 160_000;
    /** Within this time after its restart, an agent has sent a heartbeat and the leader has responded to it. */
    private static final int HEARTBEAT_AFTER_RESTART_MS = 700;

    /** What happens in a scenario besides the copies. */
    private enum Disruption {
        NONE,
        FAULTY_MACHINES,
        LEADER_CRASHES,
        LOST_LEASES,
        AGENT_RESTARTS,
        AGENT_RESTARTS_WITHOUT_STATE,
        AGENT_RESTARTS_WITH_IMAGES_ONLY
    }

    /** A scenario with short tasks, half of them cancelled, in which every clear is followed by copies of launches. */
    private static ClusterScenario runWithCopiesAfterClears(
            int seed, Disruption disruption, Consumer<FakeAgent> alteration) {
        ClusterScenario scenario = new ClusterScenario(seed);
        RepeatedRequests copies = new RepeatedRequests(scenario.world, seed);
        copies.probabilityAfterClear = 1;
        copies.probabilityAfterRestart = 1;
        runDisrupted(scenario, copies, disruption, alteration);
        assertTrue(copies.deliveredCopies > 0, "seed " + seed + ": no copy was delivered");
        return scenario;
    }

    private static void runDisrupted(
            ClusterScenario scenario, RepeatedRequests copies, Disruption disruption, Consumer<FakeAgent> alteration) {
        scenario.users.cancelOneIn = 2;
        scenario.cloud.bootListener = agent -> {
            copies.observe(agent);
            alteration.accept(agent);
        };
        scenario.advance(5_000);
        scenario.workload.submitUncancelledServices(2);
        scenario.workload.durationFactor = 0.5;
        scenario.workload.submitBatchJobs(30, 90_000);
        for (long atMs = 20_000; atMs < 90_000; atMs += 14_000) {
            scenario.world.schedule(atMs, () -> disrupt(scenario, disruption));
        }
        scenario.advance(200_000);
    }

    private static void disrupt(ClusterScenario scenario, Disruption disruption) {
        List<FakeAgent> agents = scenario.cloud.agents().stream()
                .filter(agent -> scenario.world.random.nextInt(3) == 0)
                .toList();
        switch (disruption) {
            case FAULTY_MACHINES -> agents.forEach(FakeAgent::makeFaulty);
            case LEADER_CRASHES -> scenario.faults.crash(scenario.leaderIndexOrFirst(), 200);
            case LOST_LEASES -> agents.forEach(agent -> scenario.network.isolate(agent, scenario.agentLeaseMs + 1_000));
            case AGENT_RESTARTS -> agents.forEach(agent -> agent.restart(200, false));
            case AGENT_RESTARTS_WITHOUT_STATE -> agents.forEach(agent -> agent.restart(200, true));
            case AGENT_RESTARTS_WITH_IMAGES_ONLY -> agents.forEach(agent -> agent.restart(200, true, true));
            default -> {}
        }
    }

    private static List<String> relaunchedAttempts(ClusterScenario scenario) {
        return scenario.cloud.agents().stream()
                .flatMap(agent -> agent.relaunchedAttempts().stream())
                .toList();
    }

    private static Map<String, List<String>> failuresWithCopiesAfterClears(Iterable<Disruption> disruptions) {
        Map<String, List<String>> failures = new TreeMap<>();
        for (Disruption disruption : disruptions) {
            for (int seed = FIRST_SEED; seed < FIRST_SEED + SCENARIOS; seed++) {
                ClusterScenario scenario = runWithCopiesAfterClears(seed, disruption, agent -> {});
                addFailures(failures, disruption + " seed " + seed, scenario);
            }
        }
        return failures;
    }

    private static void addFailures(Map<String, List<String>> failures, String run, ClusterScenario scenario) {
        List<String> found = new ArrayList<>(scenario.checker.violations);
        found.addAll(relaunchedAttempts(scenario));
        found.addAll(scenario.checker.tasks.startsAfterCancellation);
        if (!found.isEmpty()) {
            failures.put(run, found);
        }
    }

    @Test
    void copyOfAnAnsweredLaunchDoesNotStartAClearedAttemptAgain() {
        Set<Disruption> disruptions = EnumSet.complementOf(
                EnumSet.of(Disruption.AGENT_RESTARTS_WITHOUT_STATE, Disruption.AGENT_RESTARTS_WITH_IMAGES_ONLY));
        assertEquals(Map.of(), failuresWithCopiesAfterClears(disruptions));
    }

    /** Guards against tasks of copies that go on fetching their image once the agent has sent a heartbeat. */
    @Test
    void copyOfAnAnsweredLaunchStartsNothingOnAnAgentThatLostItsTokenAndIncarnation() {
        assertEquals(Map.of(), failuresWithCopiesAfterClears(Set.of(Disruption.AGENT_RESTARTS_WITHOUT_STATE)));
    }

    /** Before its first message such an agent has nothing to refuse a copy by, and with the image it starts at once. */
    @Test
    @Tag("known-red")
    void copyBeforeTheFirstHeartbeatStartsNothingOnAnAgentThatKeptItsImagesOnly() {
        assertEquals(Map.of(), failuresWithCopiesAfterClears(Set.of(Disruption.AGENT_RESTARTS_WITH_IMAGES_ONLY)));
    }

    /**
     * Guards against a leader that leaves a restarted agent without a newer token, so that copies start tasks there.
     */
    @Test
    void copyOfAnAnsweredLaunchStartsNothingOnceARestartedAgentHasSentAHeartbeat() {
        Map<String, List<String>> failures = new TreeMap<>();
        int copiesDelivered = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SCENARIOS; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            RepeatedRequests copies = new RepeatedRequests(scenario.world, seed);
            copies.probabilityAfterRestart = 1;
            copies.delayAfterRestartMs = HEARTBEAT_AFTER_RESTART_MS;
            runDisrupted(
                    scenario,
                    copies,
                    Disruption.AGENT_RESTARTS_WITHOUT_STATE,
                    agent -> agent.restartListener = agent.restartListener.andThen(FakeAgent::statusChanged));
            addFailures(failures, "seed " + seed, scenario);
            copiesDelivered += copies.deliveredCopies;
        }
        assertEquals(Map.of(), failures);
        assertTrue(copiesDelivered > 10 * SCENARIOS, "only " + copiesDelivered + " copies");
    }

    @Test
    void checkerDetectsAgentsThatExecuteCopiesOfFencedLaunches() {
        boolean detected = false;
        for (int seed = 1; seed <= 10 && !detected; seed++) {
            ClusterScenario scenario =
                    runWithCopiesAfterClears(seed, Disruption.FAULTY_MACHINES, agent -> agent.ignoresFencing = true);
            detected = scenario.checker.violations.stream().anyMatch(violation -> violation.startsWith("ran_twice"));
        }
        assertTrue(detected);
    }

    @Test
    void copiesOfAnsweredRequestsOfEveryKindViolateNoInvariant() {
        Map<Integer, List<String>> violationsBySeed = new TreeMap<>();
        int copies = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + 2 * SCENARIOS; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            RepeatedRequests repeated = new RepeatedRequests(scenario.world, seed);
            repeated.probability = 0.05;
            repeated.probabilityAfterClear = 0.3;
            repeated.probabilityAfterRestart = 0.5;
            scenario.cloud.bootListener = repeated::observe;
            scenario.users.cancelOneIn = 2;
            scenario.workload.submitJobs(25, 120_000);
            scenario.randomFaults.scheduleFaults(8, 20_000, 150_000);
            scenario.advance(FAULTS_END_AT_MS + 120_000);
            copies += repeated.deliveredCopies;
            if (!scenario.checker.violations.isEmpty()) {
                violationsBySeed.put(seed, scenario.checker.violations);
            }
        }
        assertEquals(Map.of(), violationsBySeed);
        assertTrue(copies > 100 * SCENARIOS, "only " + copies + " copies");
    }
}
