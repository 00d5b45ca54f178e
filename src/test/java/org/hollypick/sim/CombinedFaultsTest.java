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
 * Two troubles that meet (docs/combined-faults.md): what each alone doesn't break may break between them. Workers'
 * leases last 15 s, and a cancelled task has 35 s.
 */
class CombinedFaultsTest {
    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults());
    private static final long OUTAGE_MS = 60_000;
    /** More are played outside CI: {@code mvn test -Dtest=CombinedFaultsTest -Dcombined-faults.days=3000}. */
    private static final int SCENARIOS = Integer.getInteger("combined-faults.days", 150);

    private static final int FIRST_SEED = Integer.getInteger("meetings.first", 1);
    /**
     * Drawn troubles are over by then: the last pair begins at 110 s, its second at most 35 s later, and ten changes of
     * the leader take 100 s.
     */
    private static final long FAULTS_ENDED_AT_MS = 255_000;

    /** Its write is carried out, and nothing of that comes back to the leader. */
    private static void cancelWithLostStoreResponses(ClusterScenario scenario, int leader) {
        scenario.world.cutOneWay("state:1", "bothy-" + leader, 14_000);
        scenario.users.cancelAt(leader, "req-000000");
        scenario.advance(60);
    }

    /**
     * The gap: a cancellation is carried out and its answer to the leader lost; another controller, whose records show
     * it, tells the user; then the service is down for all for longer than a cancelled task has, while the leader goes
     * on by the lease grants of the others and answers the agents.
     */
    @Test
    void cancellationConfirmedByAnotherControllerHoldsWhenTheLeaderReceivesNoResponse() {
        for (int seed = 1; seed <= 10; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
            int leader = scenario.leaderIndex();
            cancelWithLostStoreResponses(scenario, leader);
            Response told = scenario.users.requestAt((leader + 1) % 3, "GET", "/submissions/req-000000", null);
            assertEquals("aborted", told.body().path("status").asText(), "seed " + seed);
            scenario.store.startOutage(OUTAGE_MS);
            scenario.advance(OUTAGE_MS + 60_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * The same where the service answers, but seconds late and out of order, before it is down: whoever asks in between
     * gets no older answer.
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
     * Cancelled through the new leader; the old one, which agents and users still reach, renews leases for a while, and
     * knows nothing of that.
     */
    @Test
    void jobsCancelledThroughTheNewLeaderStopOnAgentsOfTheFormerLeader() {
        for (int seed = 1; seed <= 10; seed++) {
            assertEquals(List.of(), cancelThroughNewLeader(seed, CURRENT_VERSION).checker.violations, "seed " + seed);
        }
    }

    @Test
    void checkerDetectsAFormerLeaderThatRenewsLeasesTooLong() {
        BiFunction<EventLoop, Settings, Controller> greedy = (eventLoop, settings) -> CURRENT_VERSION.apply(
                eventLoop,
                settings.node().equals("bothy-0")
                        ? ClusterScenario.withLongerCancellation(settings, 60)
                        : settings);
        // Only the old leader is greedy: the others reckon with the rights that there should be.
        assertTrue(cancelThroughNewLeader(1, greedy).checker.violations.stream()
                .anyMatch(b -> b.startsWith("ran_cancelled")));
    }

    private static ClusterScenario cancelThroughNewLeader(
            int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, version).withRunningServices();
        int old = scenario.leaderIndex();
        scenario.network.partitionFromStoreAndPeers(old, 110_000);
        List<String> ofZone = scenario.cloud.agents().stream()
                .filter(agent -> agent.zone.equals("b"))
                .map(agent -> agent.name)
                .toList();
        for (int other = 0; other < 3; other++) {
            if (other != old) {
                scenario.network.partitionFromAgents(other, 110_000, ofZone); // these have only the old one
            }
        }
        scenario.advance(8_000);
        assertTrue(scenario.leaderIndex() != old);
        for (int i = 0; i < 4; i++) {
            scenario.users.cancelAt(scenario.leaderIndex(), "req-00000" + i);
        }
        scenario.advance(190_000);
        assertTrue(scenario.checker.isTerminal("req-000000"));
        return scenario;
    }

    /**
     * A launch is held up on its way to a machine, which hangs or can't be reached directly, and is carried out once
     * that is over, however long ago its user asked to cancel the job. Nobody may be told before that can't happen any
     * more: it was carried out and is known, the machine is gone, or it refuses the token.
     */
    @Test
    void aDelayedLaunchDelaysTheConfirmationOfTheCancellation() {
        int waited = 0;
        int fenced = 0;
        for (int seed = 1; seed <= 12; seed++) {
            for (long ms : new long[] {9_000, 13_000, 25_000, 50_000}) {
                ClusterScenario scenario = new ClusterScenario(seed);
                scenario.advance(20_000);
                FakeAgent[] held = {null};
                boolean hangs = seed % 2 == 0;
                scenario.world.requestObserver = (from, call) -> {
                    if (held[0] == null
                            && call.path().equals("/commands")
                            && call.body().toString().contains("launch")) {
                        held[0] = scenario.cloud.agents().stream()
                                .filter(agent -> agent.address.equals(call.address()))
                                .findAny()
                                .orElseThrow();
                        if (hangs) {
                            held[0].hang(ms);
                        } else {
                            scenario.world.cut(from, call.address(), ms);
                        }
                    }
                };
                scenario.workload.submitUncancelledServices(1);
                while (held[0] == null) {
                    scenario.advance(10);
                }
                scenario.advance(20);
                scenario.users.cancel("req-000000");
                if (seed % 4 > 1) {
                    scenario.world.schedule(2_000, () -> scenario.faults.crash(scenario.leaderIndex(), 200));
                }
                long from = scenario.world.now;
                long token = scenario.store.revisionOf("h/roster");
                while (!scenario.checker.isTerminal("req-000000")) {
                    scenario.advance(10);
                    assertTrue(scenario.world.now - from < 120_000, "seed " + seed + ": never told");
                }
                waited += scenario.world.now - from > 5_000 ? 1 : 0;
                fenced += scenario.store.revisionOf("h/roster") != token && seed % 4 <= 1 ? 1 : 0;
                assertTrue(
                        !hangs || seed % 4 > 1 || scenario.store.revisionOf("h/roster") == token,
                        "the lease of one that hangs ends by itself");
                int starts = scenario.checker.tasks.starts;
                scenario.advance(100_000);
                assertEquals(
                        starts, scenario.checker.tasks.starts, "seed " + seed + ": started after its user was told");
                assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
                assertEquals(0, scenario.checker.tasks.runningCount(), "seed " + seed);
            }
        }
        assertTrue(waited > 10, "only " + waited + " cancellations had to wait");
        assertTrue(fenced > 0, "no launch called for a new token");
    }

    /**
     * Tasks of a small job end far apart, and leadership changes again and again in between: none runs a second time,
     * and each job is done.
     */
    @Test
    void tasksCompletedUnderEarlierLeadersAreNotStartedAgain() {
        for (int seed = 1; seed <= 8; seed++) {
            ClusterScenario scenario = runSmallJobsThroughFailovers(seed, k -> false);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            assertEquals(List.of(), tasksStartedMoreThanOnce(scenario), "seed " + seed);
            scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isTerminal(id), id));
        }
    }

    /** A successor that doesn't find what was done starts it once more. */
    @Test
    void checkerDetectsALeaderWithoutCompletionRecords() {
        boolean noticed = false;
        for (int seed = 1; seed <= 8 && !noticed; seed++) {
            noticed = !tasksStartedMoreThanOnce(runSmallJobsThroughFailovers(seed, k -> k.startsWith("h/p/")))
                    .isEmpty();
        }
        assertTrue(noticed);
    }

    private static ClusterScenario runSmallJobsThroughFailovers(int seed, Predicate<String> hidden) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.store.hiddenKeys = hidden;
        scenario.workload.durationFactor = 5;
        scenario.users.cancelOneIn = 1_000_000;
        scenario.advance(5_000);
        scenario.workload.submitBatchJobs(8, 20_000);
        for (int i = 0; i < 8; i++) {
            long back = i % 2 == 0 ? 200 : 9_000;
            scenario.world.schedule(30_000 + 9_000 * i, () -> scenario.faults.crash(scenario.leaderIndex(), back));
        }
        scenario.advance(300_000);
        return scenario;
    }

    private static List<String> tasksStartedMoreThanOnce(ClusterScenario scenario) {
        return scenario.checker.tasks.startsByTask.entrySet().stream()
                .filter(e -> e.getValue() > 1)
                .map(Map.Entry::getKey)
                .toList();
    }

    /**
     * The lead goes over and back since each in turn loses the machines, all end, and one is back at once, with copies
     * of reports and users who cancel.
     */
    @Test
    void repeatedFailoversWithDuplicatedHeartbeatsViolateNoInvariant() {
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
            scenario.users.cancelOneIn = 2;
            scenario.workload.submitJobs(20, 60_000);
            scenario.world.duplicateHeartbeatProbability = 0.3;
            int changes = 0;
            for (int i = 0; i < 4; i++) {
                int before = scenario.leaderIndex();
                scenario.network.partitionFromAgents(before, 9_000);
                scenario.advance(12_000);
                changes += scenario.leaderIndex() != before ? 1 : 0;
                int one = scenario.world.random.nextInt(3);
                for (int node = 0; node < 3; node++) {
                    scenario.faults.crash(node, node == one ? 100 : 7_000);
                }
                scenario.advance(14_000);
            }
            assertTrue(changes > 0, "seed " + seed + ": the lead never went over");
            scenario.advance(100_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * Long tasks on machines that can't be reached, or are deaf, while the leader ends: they are neither started twice
     * nor waited for without end.
     */
    @Test
    void longJobsOnUnreachableMachinesEndAfterAllControllersRestart() {
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario scenario = runLongJobsOnUnreachableMachines(seed, k -> false);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isTerminal(id), id));
        }
    }

    /** Without the machines' records nobody waits for those that don't answer. */
    @Test
    void checkerDetectsASuccessorThatDoesNotAwaitLeaseExpiry() {
        boolean noticed = false;
        for (int seed = 1; seed <= 12 && !noticed; seed++) {
            noticed = runLongJobsOnUnreachableMachines(seed, k -> k.startsWith("h/m/")).checker.violations.stream()
                    .anyMatch(b -> b.startsWith("ran_twice"));
        }
        assertTrue(noticed);
    }

    private static ClusterScenario runLongJobsOnUnreachableMachines(int seed, Predicate<String> hidden) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.workload.durationFactor = 6;
        scenario.users.cancelOneIn = 3;
        scenario.store.hiddenKeys = hidden;
        scenario.advance(5_000);
        scenario.workload.submitBatchJobs(10, 10_000);
        scenario.advance(30_000);
        for (FakeAgent agent : scenario.cloud.agents()) {
            int how = scenario.world.random.nextInt(3);
            for (int node = 0; node < 3; node++) {
                if (how == 0) {
                    scenario.network.dropInbound(agent, node, 12_000);
                } else if (how == 1) {
                    scenario.world.cut(agent.name, "p" + node + ":1", 12_000);
                    scenario.world.cut("bothy-" + node, agent.address, 12_000);
                }
            }
        }
        scenario.faults.crashAll();
        scenario.advance(360_000);
        return scenario;
    }

    /**
     * Copies of reports, of earlier sessions and lives too, at any controller, before and after a change of leadership.
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
                boolean anew = i % 2 == 0;
                scenario.world.schedule(
                        20_000 + 12_000 * i,
                        () -> scenario.cloud.agents().stream()
                                .filter(agent -> scenario.world.random.nextInt(3) == 0)
                                .forEach(agent -> agent.restart(300, anew)));
                scenario.world.schedule(
                        20_000 + 12_000 * i + scenario.world.random.nextInt(6_000),
                        () -> scenario.faults.crash(scenario.leaderIndex(), 300));
            }
            scenario.advance(240_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * Every second transaction of a kind gets no answer and is carried out seconds later, after newer ones, while
     * leaders come and go.
     */
    @Test
    void lateTransactionsOfEachKindViolateNoInvariant() {
        for (String kind : List.of("h/roster", "h/n/", "h/j/", "h/p/", "h/m/", "h/s/", "h/")) {
            int starts = 0;
            for (int seed = 1; seed <= 8; seed++) {
                ClusterScenario scenario = runWithLateTransactions(seed, kind, false);
                assertEquals(List.of(), scenario.checker.violations, kind + " seed " + seed);
                starts += scenario.checker.tasks.starts;
            }
            assertTrue(starts > 200, kind + ": the days did little: " + starts);
        }
    }

    /** A service that doesn't look at conditions carries out what was true once. */
    @Test
    void checkerDetectsAStoreThatIgnoresTransactionConditions() {
        boolean noticed = false;
        for (int seed = 1; seed <= 8 && !noticed; seed++) {
            noticed = !runWithLateTransactions(seed, "h/", true)
                    .checker
                    .violations
                    .isEmpty();
        }
        assertTrue(noticed);
    }

    private static ClusterScenario runWithLateTransactions(int seed, String kind, boolean careless) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.store.ignoresConditions = careless;
        scenario.users.cancelOneIn = 2;
        scenario.workload.submitJobs(25, 100_000);
        scenario.world.faultProneTransactions =
                txn -> txn.path("then").toString().contains("\"" + kind);
        scenario.world.schedule(15_000, () -> scenario.world.lateTransactionProbability = 0.5);
        for (int i = 0; i < 5; i++) {
            scenario.world.schedule(25_000 + 18_000 * i, () -> scenario.faults.crash(scenario.leaderIndex(), 400));
        }
        scenario.world.schedule(130_000, () -> scenario.world.lateTransactionProbability = 0);
        scenario.advance(300_000);
        return scenario;
    }

    /**
     * Requests that are wrong, doubled or about what nobody knows, while a cancellation is in doubt and the service
     * away, and after.
     */
    @Test
    void invalidAndRepeatedRequestsAreAnsweredCorrectlyWhileACancellationIsUnresolved() {
        for (int seed = 1; seed <= 5; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
            int leader = scenario.leaderIndex();
            cancelWithLostStoreResponses(scenario, leader);
            scenario.store.startOutage(OUTAGE_MS);
            scenario.advance(5_000);
            for (int node = 0; node < 3; node++) {
                assertEquals(
                        503,
                        scenario.users
                                .requestAt(node, "POST", "/submissions/req-777777/withdraw", Codec.object())
                                .status(),
                        "nobody can know");
                assertEquals(
                        404,
                        scenario.users
                                .requestAt(node, "POST", "/submissions/nonsense/withdraw", Codec.object())
                                .status());
            }
            assertEquals(
                    503,
                    scenario.users
                            .requestAt(leader, "GET", "/submissions/req-000000", null)
                            .status(),
                    "the leader can't know");
            scenario.advance(OUTAGE_MS);
            for (int node = 0; node < 3; node++) {
                assertEquals(
                        404,
                        scenario.users
                                .requestAt(node, "POST", "/submissions/req-777777/withdraw", Codec.object())
                                .status());
                assertEquals(
                        "aborted",
                        scenario.users
                                .requestAt(node, "POST", "/submissions/req-000000/withdraw", Codec.object())
                                .body()
                                .path("status")
                                .asText());
            }
            for (int node = 0; node < 3; node++) {
                scenario.users.cancelAt(node, "req-000001"); // at all three at once
            }
            scenario.advance(10_000);
            assertTrue(scenario.checker.isTerminal("req-000001"));
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    @Test
    void randomCombinedFaultsViolateNoInvariant() {
        Map<Integer, List<String>> broken = new TreeMap<>();
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SCENARIOS; seed++) {
            List<String> rules = runRandomCombinedFaults(seed).checker.violations;
            if (!rules.isEmpty()) {
                broken.put(seed, rules);
            }
        }
        assertEquals(Map.of(), broken);
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
     * The leader has lost its place in the watch and reads all records again, while the service is slow and jobs end:
     * what it read before an end that it knows isn't taken up again. Else it would call a job live that others call
     * done, and start its tasks once more.
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
