package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Predicate;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/**
 * Tests combinations of two faults (docs/combined-faults.md): a cluster that tolerates each of them alone may fail when
 * they overlap. Agents' leases last 15 s, and the tasks of a cancelled job have to end within 35 s.
 */
class CombinedFaultsTest {
    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults());
    private static final long OUTAGE_MS = 60_000;
    /**
     * Number of random scenarios; a longer run: {@code mvn test -Dtest=CombinedFaultsTest -Dcombined-faults.days=3000}.
     */
    private static final int SCENARIOS = Integer.getInteger("combined-faults.days", 150);

    private static final int FIRST_SEED = Integer.getInteger("meetings.first", 1);
    /**
     * All random faults have ended by then: the last pair begins at 110 s at the latest, its second fault at most 35 s
     * later, and ten failovers take 100 s.
     */
    private static final long FAULTS_ENDED_AT_MS = 255_000;

    /** Cancels a job: the store executes the write, and the leader receives no response from the store for 14 s. */
    private static void cancelWithLostStoreResponses(ClusterScenario scenario, int leader) {
        scenario.world.cutOneWay("state:1", "bothy-" + leader, 14_000);
        scenario.users.cancelAt(leader, "req-000000");
        scenario.advance(60);
    }

    /**
     * The store executes a cancellation, and its response to the leader is lost; another controller, whose records show
     * the cancellation, confirms it to the user. Then the store is down for longer than a cancelled task has to end,
     * while the leader continues on the lease grants of its peers and answers the agents' heartbeats.
     */
    @Test
    void cancellationConfirmedByAnotherControllerHoldsWhenTheLeaderReceivesNoResponse() {
        for (int seed = 1; seed <= 10; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
            int leader = scenario.leaderIndex();
            cancelWithLostStoreResponses(scenario, leader);
            Response response = scenario.users.requestAt((leader + 1) % 3, "GET", "/submissions/req-000000", null);
            assertEquals("aborted", response.body().path("status").asText(), "seed " + seed);
            scenario.store.startOutage(OUTAGE_MS);
            scenario.advance(OUTAGE_MS + 60_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * The store's responses are seconds late and out of order before the store is down: no user may be answered with an
     * older status than before.
     */
    @Test
    void slowStoreResponsesBeforeAnOutageNeverRevertJobStatus() {
        for (int seed = 1; seed <= 10; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
            int leader = scenario.leaderIndex();
            scenario.world.addLatency("state:1", 4_000, 20_000);
            for (int i = 0; i < 4; i++) {
                String id = "req-00000" + i;
                scenario.world.schedule(3_000L * i, () -> scenario.users.cancel(id));
            }
            scenario.world.schedule(9_000, () -> scenario.world.refuseRequests("bothy-" + leader, "state:1", 12_000));
            scenario.world.schedule(14_000, () -> scenario.store.startOutage(OUTAGE_MS));
            scenario.advance(OUTAGE_MS + 90_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            assertTrue(scenario.checker.isTerminal("req-000003"), "seed " + seed);
        }
    }

    /**
     * Jobs are cancelled through the new leader. The former leader, which agents and users still reach, does not
     * receive these cancellations and renews leases for a while.
     */
    @Test
    void jobsCancelledThroughTheNewLeaderStopOnAgentsOfTheFormerLeader() {
        for (int seed = 1; seed <= 10; seed++) {
            assertEquals(List.of(), cancelThroughNewLeader(seed, CURRENT_VERSION).checker.violations, "seed " + seed);
        }
    }

    @Test
    void checkerDetectsAFormerLeaderThatRenewsLeasesTooLong() {
        BiFunction<EventLoop, Settings, Controller> renewingTooLong = (eventLoop, settings) -> CURRENT_VERSION.apply(
                eventLoop,
                settings.node().equals("bothy-0") ? ClusterScenario.withLongerCancellation(settings, 60) : settings);
        // Only the former leader runs the faulty version: the other controllers assume the correct limit.
        assertTrue(cancelThroughNewLeader(1, renewingTooLong).checker.violations.stream()
                .anyMatch(violation -> violation.startsWith("ran_cancelled")));
    }

    private static ClusterScenario cancelThroughNewLeader(
            int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, version).withRunningServices();
        int formerLeader = scenario.leaderIndex();
        scenario.network.partitionFromStoreAndPeers(formerLeader, 110_000);
        List<String> agentsInZoneB = scenario.cloud.agents().stream()
                .filter(agent -> agent.zone.equals("b"))
                .map(agent -> agent.name)
                .toList();
        for (int other = 0; other < 3; other++) {
            if (other != formerLeader) {
                // Only the former leader reaches these agents.
                scenario.network.partitionFromAgents(other, 110_000, agentsInZoneB);
            }
        }
        scenario.advance(8_000);
        assertTrue(scenario.leaderIndex() != formerLeader);
        for (int i = 0; i < 4; i++) {
            scenario.users.cancelAt(scenario.leaderIndex(), "req-00000" + i);
        }
        scenario.advance(190_000);
        assertTrue(scenario.checker.isTerminal("req-000000"));
        return scenario;
    }

    /**
     * A launch is delayed on its way to a machine, which hangs or can't be reached from the leader, and is executed
     * when the fault ends, however long ago the user cancelled the job. The cancellation may be confirmed only when the
     * launch can't start the task any more: the response to it or a heartbeat shows that it was executed, the machine's
     * lease expired, or the machine refuses the launch's fencing token.
     */
    @Test
    void aDelayedLaunchDelaysTheConfirmationOfTheCancellation() {
        int delayedConfirmations = 0;
        int fencedCancellations = 0;
        for (int seed = 1; seed <= 12; seed++) {
            for (long ms : new long[] {9_000, 13_000, 25_000, 50_000}) {
                ClusterScenario scenario = new ClusterScenario(seed);
                scenario.advance(20_000);
                FakeAgent[] target = {null};
                boolean hangs = seed % 2 == 0;
                scenario.world.requestObserver = (from, call) -> {
                    if (target[0] == null
                            && call.path().equals("/commands")
                            && call.body().toString().contains("launch")) {
                        target[0] = scenario.cloud.agents().stream()
                                .filter(agent -> agent.address.equals(call.address()))
                                .findAny()
                                .orElseThrow();
                        if (hangs) {
                            target[0].hang(ms);
                        } else {
                            scenario.world.cut(from, call.address(), ms);
                        }
                    }
                };
                scenario.workload.submitUncancelledServices(1);
                while (target[0] == null) {
                    scenario.advance(10);
                }
                scenario.advance(20);
                scenario.users.cancel("req-000000");
                if (seed % 4 > 1) {
                    scenario.world.schedule(2_000, () -> scenario.faults.crash(scenario.leaderIndex(), 200));
                }
                long cancelledAt = scenario.world.now;
                long token = scenario.store.revisionOf("h/roster");
                while (!scenario.checker.isTerminal("req-000000")) {
                    scenario.advance(10);
                    assertTrue(
                            scenario.world.now - cancelledAt < 120_000,
                            "seed " + seed + ": req-000000 was not reported as ended within 120 s");
                }
                delayedConfirmations += scenario.world.now - cancelledAt > 5_000 ? 1 : 0;
                fencedCancellations += scenario.store.revisionOf("h/roster") != token && seed % 4 <= 1 ? 1 : 0;
                assertTrue(
                        !hangs || seed % 4 > 1 || scenario.store.revisionOf("h/roster") == token,
                        "seed " + seed + ": new fencing token, though a hanging machine's lease expires by itself");
                int starts = scenario.checker.tasks.starts;
                scenario.advance(100_000);
                assertEquals(
                        starts,
                        scenario.checker.tasks.starts,
                        "seed " + seed + ": a task started after the cancellation was confirmed");
                assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
                assertEquals(0, scenario.checker.tasks.runningCount(), "seed " + seed);
            }
        }
        assertTrue(delayedConfirmations > 10, "only " + delayedConfirmations + " cancellations took more than 5 s");
        assertTrue(fencedCancellations > 0, "no delayed launch led to a new fencing token");
    }

    /**
     * The tasks of small jobs complete far apart, with eight leader crashes in between: no task is started a second
     * time, and each job ends.
     */
    @Test
    void tasksCompletedUnderEarlierLeadersAreNotStartedAgain() {
        for (int seed = 1; seed <= 8; seed++) {
            ClusterScenario scenario = runSmallJobsThroughFailovers(seed, key -> false);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            assertEquals(List.of(), tasksStartedMoreThanOnce(scenario), "seed " + seed);
            scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isTerminal(id), id));
        }
    }

    /** A new leader that doesn't find the completion records starts completed tasks again. */
    @Test
    void checkerDetectsALeaderWithoutCompletionRecords() {
        boolean detected = false;
        for (int seed = 1; seed <= 8 && !detected; seed++) {
            detected = !tasksStartedMoreThanOnce(runSmallJobsThroughFailovers(seed, key -> key.startsWith("h/p/")))
                    .isEmpty();
        }
        assertTrue(detected);
    }

    private static ClusterScenario runSmallJobsThroughFailovers(int seed, Predicate<String> hiddenKeys) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.store.hiddenKeys = hiddenKeys;
        scenario.workload.durationFactor = 5;
        scenario.users.cancelOneIn = 1_000_000;
        scenario.advance(5_000);
        scenario.workload.submitBatchJobs(8, 20_000);
        for (int i = 0; i < 8; i++) {
            long downtimeMs = i % 2 == 0 ? 200 : 9_000;
            scenario.world.schedule(
                    30_000 + 9_000 * i, () -> scenario.faults.crash(scenario.leaderIndex(), downtimeMs));
        }
        scenario.advance(300_000);
        return scenario;
    }

    private static List<String> tasksStartedMoreThanOnce(ClusterScenario scenario) {
        return scenario.checker.tasks.startsByTask.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * Four times, partitions the leader from the agents, then crashes all controllers and restarts one of them at once,
     * while heartbeats are delivered twice and users cancel jobs.
     */
    @Test
    void repeatedFailoversWithDuplicatedHeartbeatsViolateNoInvariant() {
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
            scenario.users.cancelOneIn = 2;
            scenario.workload.submitJobs(20, 60_000);
            scenario.world.duplicateHeartbeatProbability = 0.3;
            int failovers = 0;
            for (int i = 0; i < 4; i++) {
                int leaderBefore = scenario.leaderIndex();
                scenario.network.partitionFromAgents(leaderBefore, 9_000);
                scenario.advance(12_000);
                failovers += scenario.leaderIndex() != leaderBefore ? 1 : 0;
                int firstRestarted = scenario.world.random.nextInt(3);
                for (int controller = 0; controller < 3; controller++) {
                    scenario.faults.crash(controller, controller == firstRestarted ? 100 : 7_000);
                }
                scenario.advance(14_000);
            }
            assertTrue(failovers > 0, "seed " + seed + ": leadership never moved to another controller");
            scenario.advance(100_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * All controllers crash while long tasks run on machines that are partitioned from them, or that receive nothing
     * from them: no task is started twice, and every job ends.
     */
    @Test
    void longJobsOnUnreachableMachinesEndAfterAllControllersRestart() {
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario scenario = runLongJobsOnUnreachableMachines(seed, key -> false);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isTerminal(id), id));
        }
    }

    /** Without the machine records a new leader doesn't wait for the leases of unreachable machines to expire. */
    @Test
    void checkerDetectsASuccessorThatDoesNotAwaitLeaseExpiry() {
        boolean detected = false;
        for (int seed = 1; seed <= 12 && !detected; seed++) {
            detected = runLongJobsOnUnreachableMachines(seed, key -> key.startsWith("h/m/")).checker.violations.stream()
                    .anyMatch(violation -> violation.startsWith("ran_twice"));
        }
        assertTrue(detected);
    }

    private static ClusterScenario runLongJobsOnUnreachableMachines(int seed, Predicate<String> hiddenKeys) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.workload.durationFactor = 6;
        scenario.users.cancelOneIn = 3;
        scenario.store.hiddenKeys = hiddenKeys;
        scenario.advance(5_000);
        scenario.workload.submitBatchJobs(10, 10_000);
        scenario.advance(30_000);
        for (FakeAgent agent : scenario.cloud.agents()) {
            int fault = scenario.world.random.nextInt(3);
            for (int controller = 0; controller < 3; controller++) {
                if (fault == 0) {
                    scenario.network.dropInbound(agent, controller, 12_000);
                } else if (fault == 1) {
                    scenario.world.cut(agent.name, "p" + controller + ":1", 12_000);
                    scenario.world.cut("bothy-" + controller, agent.address, 12_000);
                }
            }
        }
        scenario.faults.crashAll();
        scenario.advance(360_000);
        return scenario;
    }

    /**
     * Heartbeats are delivered again, up to a minute later and at any controller, including heartbeats of earlier
     * incarnations and processes of an agent, before and after a failover.
     */
    @Test
    void staleHeartbeatsAreIgnoredByEveryLeader() {
        for (int seed = 1; seed <= 20; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.workload.durationFactor = 3;
            scenario.users.cancelOneIn = 2;
            scenario.workload.submitJobs(25, 100_000);
            scenario.world.duplicateHeartbeatProbability = 0.5;
            for (int i = 0; i < 8; i++) {
                boolean losesState = i % 2 == 0;
                scenario.world.schedule(
                        20_000 + 12_000 * i,
                        () -> scenario.cloud.agents().stream()
                                .filter(agent -> scenario.world.random.nextInt(3) == 0)
                                .forEach(agent -> agent.restart(300, losesState)));
                scenario.world.schedule(
                        20_000 + 12_000 * i + scenario.world.random.nextInt(6_000),
                        () -> scenario.faults.crash(scenario.leaderIndex(), 300));
            }
            scenario.advance(240_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * Half of the transactions that write keys with one prefix get no response and are executed seconds later, after
     * newer ones, while leaders crash.
     */
    @Test
    void lateTransactionsOfEachKindViolateNoInvariant() {
        for (String prefix : List.of("h/roster", "h/n/", "h/j/", "h/p/", "h/m/", "h/s/", "h/")) {
            int starts = 0;
            for (int seed = 1; seed <= 8; seed++) {
                ClusterScenario scenario = runWithLateTransactions(seed, prefix, false);
                assertEquals(List.of(), scenario.checker.violations, prefix + " seed " + seed);
                starts += scenario.checker.tasks.starts;
            }
            assertTrue(starts > 200, prefix + ": only " + starts + " tasks started in 8 scenarios");
        }
    }

    /** A store that ignores conditions executes late transactions whose conditions no longer hold. */
    @Test
    void checkerDetectsAStoreThatIgnoresTransactionConditions() {
        boolean detected = false;
        for (int seed = 1; seed <= 8 && !detected; seed++) {
            detected = !runWithLateTransactions(seed, "h/", true)
                    .checker
                    .violations
                    .isEmpty();
        }
        assertTrue(detected);
    }

    private static ClusterScenario runWithLateTransactions(int seed, String prefix, boolean ignoresConditions) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.store.ignoresConditions = ignoresConditions;
        scenario.users.cancelOneIn = 2;
        scenario.workload.submitJobs(25, 100_000);
        scenario.world.faultProneTransactions =
                txn -> txn.path("then").toString().contains("\"" + prefix);
        scenario.world.schedule(15_000, () -> scenario.world.lateTransactionProbability = 0.5);
        for (int i = 0; i < 5; i++) {
            scenario.world.schedule(25_000 + 18_000 * i, () -> scenario.faults.crash(scenario.leaderIndex(), 400));
        }
        scenario.world.schedule(130_000, () -> scenario.world.lateTransactionProbability = 0);
        scenario.advance(300_000);
        return scenario;
    }

    /**
     * Sends malformed and repeated requests, and some for unknown jobs, while a cancellation is unresolved and the
     * store is down, and afterwards.
     */
    @Test
    void invalidAndRepeatedRequestsAreAnsweredCorrectlyWhileACancellationIsUnresolved() {
        for (int seed = 1; seed <= 5; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
            int leader = scenario.leaderIndex();
            cancelWithLostStoreResponses(scenario, leader);
            scenario.store.startOutage(OUTAGE_MS);
            scenario.advance(5_000);
            for (int controller = 0; controller < 3; controller++) {
                assertEquals(
                        503,
                        scenario.users
                                .requestAt(controller, "POST", "/submissions/req-777777/withdraw", Codec.object())
                                .status(),
                        "while the store is down, nothing shows whether the job exists");
                assertEquals(
                        404,
                        scenario.users
                                .requestAt(controller, "POST", "/submissions/nonsense/withdraw", Codec.object())
                                .status());
            }
            assertEquals(
                    503,
                    scenario.users
                            .requestAt(leader, "GET", "/submissions/req-000000", null)
                            .status(),
                    "nothing shows the leader whether the cancellation was written");
            scenario.advance(OUTAGE_MS);
            for (int controller = 0; controller < 3; controller++) {
                assertEquals(
                        404,
                        scenario.users
                                .requestAt(controller, "POST", "/submissions/req-777777/withdraw", Codec.object())
                                .status());
                assertEquals(
                        "aborted",
                        scenario.users
                                .requestAt(controller, "POST", "/submissions/req-000000/withdraw", Codec.object())
                                .body()
                                .path("status")
                                .asText());
            }
            for (int controller = 0; controller < 3; controller++) {
                scenario.users.cancelAt(controller, "req-000001"); // at the same simulated time
            }
            scenario.advance(10_000);
            assertTrue(scenario.checker.isTerminal("req-000001"));
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    @Test
    void randomCombinedFaultsViolateNoInvariant() {
        Map<Integer, List<String>> violationsBySeed = new TreeMap<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SCENARIOS; seed++) {
            List<String> violations = runRandomCombinedFaults(seed).checker.violations;
            if (!violations.isEmpty()) {
                violationsBySeed.put(seed, violations);
            }
        }
        assertEquals(Map.of(), violationsBySeed);
    }

    static ClusterScenario runRandomCombinedFaults(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.workload.durationFactor = seed % 2 == 0 ? 4 : 1;
        scenario.users.cancelOneIn = 2;
        scenario.workload.hasZoneConstraints = true;
        scenario.placeControllerInZone(seed % 3, "b");
        scenario.workload.submitJobs(25, 120_000);
        scenario.randomFaults.scheduleCombinedFaults(4, 20_000, 110_000);
        scenario.advance(FAULTS_ENDED_AT_MS);
        scenario.checker.faultsEnded(scenario.world.now);
        scenario.workload.submitJobs(8, 10_000);
        scenario.advance(StarvationChecker.STARVATION_MS + 15_000);
        return scenario;
    }

    /**
     * The store compacts the leader's watch, so that the leader reloads all records, while the store is slow and jobs
     * end. The leader must not apply a record that it read before a completion that it has already processed: otherwise
     * the leader would report a job as running that other controllers report as done, and start the job's tasks again.
     */
    @Test
    void aLeaderThatReloadsAllRecordsRestartsNoCompletedTask() {
        for (int seed = 1; seed <= 4; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.users.cancelOneIn = 1_000_000;
            scenario.advance(5_000);
            scenario.workload.durationFactor = 0.5;
            scenario.workload.submitBatchJobs(40, 60_000);
            for (long at = 15_000; at < 80_000; at += 1_500) {
                scenario.world.schedule(at, () -> {
                    scenario.world.addLatency("state:1", 900, 1_300);
                    scenario.store.compact();
                });
            }
            Map<String, Long> completeAt = new TreeMap<>();
            while (scenario.world.now < 100_000) {
                scenario.advance(50);
                scenario.checker.submitted.keySet().stream()
                        .filter(scenario.checker.tasks::isComplete)
                        .forEach(id -> completeAt.putIfAbsent(id, scenario.world.now));
                completeAt.forEach((id, at) -> {
                    if (scenario.world.now - at < 6_000) {
                        scenario.users.queryAllControllers(id);
                    }
                });
            }
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            assertEquals(List.of(), tasksStartedMoreThanOnce(scenario), "seed " + seed);
        }
    }
}
