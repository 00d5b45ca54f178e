package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.hollypick.io.Request;
import org.junit.jupiter.api.Test;

/**
 * Machines whose heartbeats arrive while no response or command reaches them, late copies of heartbeats, and machines
 * whose agent restarts within its lease (docs/heartbeat-validity.md).
 */
class InboundReachabilityTest {
    private static final long LEASE_MS = 15_000;
    private static final long FIVE_MINUTES_MS = 300_000;
    private static final long QUOTA_CHECK_INTERVAL_MS = 500;
    private static final double LARGEST_TASK_CORES = 2;
    /** How long late copies of heartbeats arrive. */
    private static final long FLOOD_MS = 20_000;
    /** Agents that boot meanwhile, and are called as well. */
    private static final int OTHER_AGENTS = 6;
    /** An agent sends heartbeats at least this far apart, and needs no more calls than that. */
    private static final long MIN_CALL_INTERVAL_MS = 500;

    private static ClusterScenario newScenario(long seed) {
        return newScenario(seed, 3);
    }

    private static ClusterScenario newScenario(long seed, int services) {
        ClusterScenario scenario = new ClusterScenario(seed, 4);
        scenario.advance(5_000);
        scenario.workload.submitUncancelledServices(services);
        scenario.advance(40_000);
        return scenario;
    }

    private static List<FakeAgent> agentsInZoneA(ClusterScenario scenario) {
        List<FakeAgent> agents = scenario.cloud.agents().stream()
                .filter(agent -> agent.zone.equals("a"))
                .toList();
        assertTrue(agents.size() >= 2);
        return agents;
    }

    private static List<String> batchJobs(ClusterScenario scenario) {
        return scenario.checker.submitted.entrySet().stream()
                .filter(entry -> entry.getValue().path("shape").asText().equals("batch"))
                .map(entry -> entry.getKey())
                .toList();
    }

    private static void assertBatchJobsTerminalWithoutViolations(ClusterScenario scenario, long seed) {
        assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        batchJobs(scenario)
                .forEach(id ->
                        assertTrue(scenario.checker.isTerminal(id), "seed " + seed + ": " + id + " is not terminal"));
    }

    /**
     * Guards against a new leader that extends the assumed leases of machines which receive no responses: their
     * heartbeats kept showing the previous leader's token, each response extended the lease assumed for them, and tasks
     * of earlier jobs did not start while the heartbeats went on.
     */
    @Test
    void batchJobsCompleteAfterFailoverWhileAZoneReceivesNothing() {
        for (int seed = 1; seed <= 6; seed++) {
            ClusterScenario scenario = newScenario(seed, 5);
            scenario.workload.submitBatchJobs(12, 1_000);
            scenario.world.schedule(1_500, () -> {
                agentsInZoneA(scenario).forEach(agent -> scenario.network.dropInbound(agent, FIVE_MINUTES_MS));
                scenario.faults.crashAll();
            });
            scenario.advance(2 * LEASE_MS + 120_000);
            assertBatchJobsTerminalWithoutViolations(scenario, seed);
        }
    }

    /**
     * An agent that restarts within its lease and keeps its incarnation and sequence number holds a whole lease from
     * the restart on. Its heartbeats are delayed while direct calls reach it: a task launched by such a call must not
     * be started elsewhere before that lease expires, which is later than the lease that the leader renewed last.
     */
    @Test
    void taskLaunchedOnARestartedAgentIsNotStartedElsewhereBeforeItsLeaseExpires() {
        for (int seed = 1; seed <= 3; seed++) {
            ClusterScenario scenario = newScenario(seed);
            scenario.workload.durationFactor = 6;
            List<FakeAgent> agents = agentsInZoneA(scenario);
            scenario.network.delayHeartbeats(
                    agents.stream().map(agent -> agent.name).toList(), 60_000);
            scenario.world.schedule(6_000, () -> agents.forEach(agent -> agent.restart(200, false)));
            scenario.world.schedule(7_000, () -> scenario.workload.submitBatchJobs(8, 1_000));
            scenario.advance(300_000);
            assertBatchJobsTerminalWithoutViolations(scenario, seed);
        }
    }

    /**
     * Guards against machines without inbound traffic that attract one task after another: each new incarnation reports
     * no tasks, which made the machine look idle, and launches that it never received counted as present forever. The
     * direct calls must launch no more tasks than there are such machines.
     */
    @Test
    void machinesUnreachableInboundGetAtMostOneLaunchEach() {
        for (int seed = 1; seed <= 6; seed++) {
            ClusterScenario scenario = newScenario(seed);
            List<FakeAgent> unreachable = agentsInZoneA(scenario);
            unreachable.forEach(agent -> scenario.network.dropInbound(agent, FIVE_MINUTES_MS));
            Set<String> launchedAttempts = new HashSet<>();
            Set<String> addresses =
                    unreachable.stream().map(agent -> agent.address).collect(Collectors.toSet());
            scenario.world.schedule(
                    30_000,
                    () -> scenario.world.requestObserver = (from, call) -> {
                        if (addresses.contains(call.address()) && call.path().equals("/commands")) {
                            call.body()
                                    .path("orders")
                                    .forEach(command -> launchedAttempts.add(
                                            command.path("verb").asText().equals("launch")
                                                    ? command.path("try").asText()
                                                    : ""));
                            launchedAttempts.remove("");
                        }
                    });
            scenario.workload.submitBatchJobs(20, 100_000);
            scenario.advance(270_000);
            assertBatchJobsTerminalWithoutViolations(scenario, seed);
            assertTrue(
                    launchedAttempts.size() <= unreachable.size(),
                    "seed " + seed + ": launches sent to machines without inbound traffic: " + launchedAttempts.size());
        }
    }

    /**
     * The machines of a zone receive nothing for less than a lease: their tasks go on, and no machine with tasks is
     * terminated.
     */
    @Test
    void inboundLossShorterThanALeaseLosesNoTaskAndNoBusyMachine() {
        for (int seed = 1; seed <= 6; seed++) {
            ClusterScenario scenario = newScenario(seed, 5);
            List<FakeAgent> agents = agentsInZoneA(scenario);
            int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
            agents.forEach(agent -> scenario.network.dropInbound(agent, 8_000));
            scenario.advance(60_000);
            assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry, "seed " + seed);
            assertTrue(
                    scenario.cloud
                            .machineNames()
                            .containsAll(agents.stream()
                                    .filter(agent -> agent.reportedTasks() > 0)
                                    .map(agent -> agent.name)
                                    .toList()),
                    "seed " + seed + ": a machine with tasks was terminated");
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * About half of the machines receive nothing from one controller: they send their heartbeats to the next one, and
     * their tasks go on.
     */
    @Test
    void noTaskIsLostWhenHalfOfTheMachinesReceiveNothingFromOneController() {
        for (int seed = 1; seed <= 6; seed++) {
            ClusterScenario scenario = newScenario(seed);
            int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
            List<FakeAgent> agents = new ArrayList<>(scenario.cloud.agents());
            agents.removeIf(agent -> agent.name.hashCode() % 2 == 0);
            int controller = seed % 3;
            agents.forEach(agent -> scenario.network.dropInbound(agent, controller, 120_000));
            scenario.workload.submitBatchJobs(10, 60_000);
            scenario.advance(150_000);
            assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry, "seed " + seed);
            assertBatchJobsTerminalWithoutViolations(scenario, seed);
        }
    }

    /**
     * Guards against late copies of heartbeats, which added terminated machines again, made hung machines look
     * responsive, and caused running tasks to be killed.
     */
    @Test
    void delayedHeartbeatCopiesDoNotKeepAHungMachine() {
        for (int seed = 1; seed <= 10; seed++) {
            ClusterScenario scenario = newScenario(seed);
            scenario.world.duplicateHeartbeatProbability = 0.5;
            scenario.workload.submitBatchJobs(40, 120_000);
            scenario.advance(30_000);
            List<FakeAgent> agents = new ArrayList<>(scenario.cloud.agents().subList(0, 4));
            agents.subList(0, 2).forEach(agent -> agent.hang(60_000));
            agents.subList(2, 4).forEach(scenario.cloud::reclaim);
            List<String> hung =
                    agents.subList(0, 2).stream().map(agent -> agent.name).toList();
            scenario.advance(16_000);
            assertTrue(
                    hung.stream().noneMatch(scenario.cloud.machineNames()::contains),
                    "seed " + seed + ": a copy of a heartbeat kept a hung machine");
            scenario.faults.crashAll();
            advanceBelowQuota(scenario, 150_000);
            assertBatchJobsTerminalWithoutViolations(scenario, seed);
        }
    }

    /**
     * Advances until the team had capacity left under its quota for the given time: at its quota, jobs have to wait.
     */
    private static void advanceBelowQuota(ClusterScenario scenario, long durationMs) {
        long remainingMs = durationMs;
        while (remainingMs > 0) {
            scenario.advance(QUOTA_CHECK_INTERVAL_MS);
            boolean atQuota = !scenario.checker.tasks.isWithinQuota(JobDescription.DEFAULT_TEAM, LARGEST_TASK_CORES);
            remainingMs -= atQuota ? 0 : QUOTA_CHECK_INTERVAL_MS;
        }
    }

    /**
     * Guards against the rejection of a restarted agent's heartbeats: they seemed older than those known, were rejected
     * for as long as the agent had run before the restart, and its tasks seemed to go on running.
     */
    @Test
    void restartedMachinesAreUsedAgainWithinTwoLeases() {
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario scenario = newScenario(seed);
            boolean losesState = seed % 2 == 0;
            List<FakeAgent> agents = new ArrayList<>(scenario.cloud.agents().stream()
                    .filter(agent -> agent.activeTasks() > 0)
                    .limit(3)
                    .toList());
            int runningBefore = scenario.checker.tasks.runningCount();
            agents.forEach(agent -> agent.restart(50 + scenario.world.random.nextInt(250), losesState));
            if (seed % 3 == 0) {
                scenario.faults.crash(scenario.leaderIndex(), 100); // the agents restart during an election
            }
            scenario.advance(2 * LEASE_MS);
            assertEquals(
                    runningBefore,
                    scenario.checker.tasks.runningCount(),
                    "seed " + seed + ": replicas did not run again");
            scenario.workload.submitBatchJobs(20, 30_000);
            scenario.advance(120_000);
            assertBatchJobsTerminalWithoutViolations(scenario, seed);
        }
    }

    /**
     * Guards against a flood of late first heartbeats, which look like those of restarted agents, using up the calls.
     */
    @Test
    void lateCopiesOfFirstHeartbeatsCauseFewDirectCalls() {
        for (int seed = 1; seed <= 3; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed, 4);
            Map<String, Request> firstHeartbeats = new HashMap<>();
            scenario.world.heartbeatObserver = heartbeat -> firstHeartbeats.putIfAbsent(
                    heartbeat.body().path(AgentProtocol.MACHINE_ID).asText(), heartbeat);
            scenario.advance(5_000);
            scenario.workload.submitUncancelledServices(3);
            scenario.advance(40_000);
            AtomicInteger callsWithoutCommands = new AtomicInteger();
            scenario.world.requestObserver = scenario.world.requestObserver.andThen((from, call) -> {
                if (call.path().equals(AgentProtocol.COMMANDS)
                        && call.body().path(AgentProtocol.COMMAND_LIST).isEmpty()) {
                    callsWithoutCommands.incrementAndGet();
                }
            });
            scenario.workload.submitBatchJobs(12, 15_000);
            int agents = firstHeartbeats.size();
            for (int atMs = 0; atMs < FLOOD_MS; atMs += 50) {
                scenario.world.schedule(
                        atMs,
                        () -> firstHeartbeats
                                .values()
                                .forEach(heartbeat ->
                                        scenario.world.deliverIgnoringResponse(heartbeat, heartbeat.address())));
            }
            scenario.advance(FLOOD_MS);
            int calls = callsWithoutCommands.get();
            assertTrue(calls >= agents, "seed " + seed + ": only " + calls + " checks of " + agents + " agents");
            long allowed = (agents + OTHER_AGENTS) * FLOOD_MS / MIN_CALL_INTERVAL_MS;
            assertTrue(calls <= allowed, "seed " + seed + ": " + calls + " calls to " + agents);
            scenario.advance(100_000);
            assertBatchJobsTerminalWithoutViolations(scenario, seed);
        }
    }

    /** Guards against a restarted agent without state that gets no work until its lease has expired. */
    @Test
    void replicasOnAgentsThatLostTheirStateRunAgainWithinEightSeconds() {
        for (int seed = 1; seed <= 6; seed++) {
            ClusterScenario scenario = newScenario(seed);
            List<FakeAgent> agents = scenario.cloud.agents().stream()
                    .filter(agent -> agent.activeTasks() > 0)
                    .toList();
            int runningBefore = scenario.checker.tasks.runningCount();
            agents.forEach(agent -> {
                agent.restartListener = FakeAgent::statusChanged;
                agent.restart(200, true);
            });
            scenario.advance(8_000);
            assertEquals(runningBefore, scenario.checker.tasks.runningCount(), "seed " + seed);
            scenario.advance(30_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * Guards against a controller that reports itself ready although it can't answer users while it is partitioned from
     * the store and its peers.
     */
    @Test
    void controllerWithoutStoreAndPeersIsNeitherReadyNorLeader() {
        for (int seed = 1; seed <= 6; seed++) {
            ClusterScenario scenario = newScenario(seed);
            int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
            int controller = seed % 2 == 0 ? scenario.leaderIndex() : (scenario.leaderIndex() + 1) % 3;
            scenario.network.partitionFromStoreAndPeers(controller, 60_000);
            scenario.workload.submitBatchJobs(10, 30_000);
            scenario.advance(9_000);
            assertEquals(503, scenario.users.readinessStatus(controller), "seed " + seed);
            assertTrue(scenario.leaderIndex() != controller, "seed " + seed);
            assertEquals(200, scenario.users.readinessStatus(scenario.leaderIndex()), "seed " + seed);
            scenario.advance(60_000);
            assertEquals(200, scenario.users.readinessStatus(controller), "seed " + seed);
            assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry, "seed " + seed);
            scenario.advance(60_000);
            assertBatchJobsTerminalWithoutViolations(scenario, seed);
        }
    }

    /** Runs random faults of all kinds; the p99 of the jobs' first answers after the faults is below 15 s. */
    @Test
    void randomFaultsViolateNoInvariantAndJobsAreAnsweredWithin15Seconds() {
        List<Long> firstAnswerMs = new ArrayList<>();
        for (int seed = 1; seed <= 60; seed++) {
            ClusterScenario scenario = runRandomFaults(seed, null);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            firstAnswerMs.addAll(scenario.checker.firstAnswerMs.values());
        }
        firstAnswerMs.sort(null);
        assertTrue(
                firstAnswerMs.get(firstAnswerMs.size() * 99 / 100) < 15_000,
                "first answers after the faults, p99 in ms: " + firstAnswerMs.get(firstAnswerMs.size() * 99 / 100));
    }

    private static ClusterScenario runRandomFaults(long seed, String unavailableJob) {
        ClusterScenario scenario = new ClusterScenario(seed, 2);
        scenario.workload.submitJobs(25, 90_000);
        scenario.randomFaults.scheduleFaults(12, 20_000, 100_000);
        scenario.world.schedule(100_000, () -> scenario.unavailableJob = unavailableJob);
        scenario.world.schedule(195_000, () -> scenario.checker.faultsEnded(scenario.world.now));
        scenario.advance(300_000);
        return scenario;
    }

    /** The controllers answer 503 about one job from 100 s on, while all others are served. */
    @Test
    void checkerDetectsAJobThatIsNotAnsweredAfterFaults() {
        assertTrue(runRandomFaults(1, "req-000003").checker.violations.stream()
                .anyMatch(violation -> violation.startsWith("forgotten req-000003")));
    }
}
