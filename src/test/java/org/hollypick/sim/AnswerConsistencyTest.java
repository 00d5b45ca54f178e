package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/**
 * No controller gives an older answer than was given before (docs/safety.md, "went_back"), whoever asks what and when.
 */
class AnswerConsistencyTest {
    /**
     * Replaces replies. {@code reply}: the right one; null before the call, which isn't made if another is there
     * already.
     */
    private interface ResponseReplacement {
        Response replace(Request call, Response reply);
    }

    private static final OperatorSettings ALL_FEATURES = OperatorSettings.parse("{:estimates true, :graphs true}");
    private static final BiFunction<EventLoop, Settings, Controller> NEW_CONTROLLER =
            (r, s) -> new Controller(r, s, ALL_FEATURES);
    /** More are played outside CI: {@code mvn test -Dtest=AnswerConsistencyTest -Danswers.days=2000}. */
    private static final int SEED_COUNT = Integer.getInteger("answers.days", 3);

    private static final String ESTIMATE = "/submissions/req-000000/estimate";
    private static final int FIRST_SEED = Integer.getInteger("answers.first", 1);

    @Test
    void randomProbesSeeAnswersInOrder() {
        Map<Integer, List<String>> broken = new TreeMap<>();
        int compared = 0;
        int overtaken = 0;
        long longest = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            ClusterScenario scenario = randomScenario(seed, NEW_CONTROLLER);
            if (!scenario.checker.violations.isEmpty()) {
                broken.put(seed, scenario.checker.violations);
            }
            compared += scenario.checker.order.compared;
            overtaken += scenario.checker.order.overtaken;
            longest = Math.max(longest, scenario.checker.order.longestMs);
        }
        System.out.printf(
                "days=%d compared=%d overtaken=%d longest_ms=%d broken=%d%n",
                SEED_COUNT, compared, overtaken, longest, broken.size());
        assertEquals(Map.of(), broken);
    }

    private static ClusterScenario randomScenario(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, version);
        scenario.users.cancelOneIn = 2;
        scenario.answerProber.start();
        scenario.workload.submitJobs(12, 60_000);
        scenario.pipelines.submitPipelines(2, 40_000);
        scenario.invalidRequests.submit(8, 80_000);
        GraphUser graph = new GraphUser(scenario, "req-700000", 2, 2);
        scenario.world.at(5_000 + scenario.world.random.nextInt(20_000), graph::start);
        if (seed % 4 > 0) {
            scenario.world.at(10_000, () -> scenario.world.lostAnswerShare = 0.2);
            scenario.world.at(60_000, () -> scenario.world.lostAnswerShare = 0);
            scenario.randomFaults.scheduleReorderingFaults(6, 10_000, 80_000);
        }
        scenario.advance(130_000);
        return scenario;
    }

    /** A version whose calls are answered otherwise. */
    private static BiFunction<EventLoop, Settings, Controller> controllersWithReplacedResponses(
            ResponseReplacement replies) {
        return (r, s) -> NEW_CONTROLLER.apply(
                new EventLoop() {
                    @Override
                    public long now() {
                        return r.now();
                    }

                    @Override
                    public long wallClockMs() {
                        return r.wallClockMs();
                    }

                    @Override
                    public void after(long ms, Runnable task) {
                        r.after(ms, task);
                    }

                    @Override
                    public void send(Request call, Consumer<Response> reply) {
                        Response known = replies.replace(call, null);
                        if (known != null) {
                            r.after(0, () -> reply.accept(known));
                        } else {
                            r.send(call, answer -> reply.accept(replies.replace(call, answer)));
                        }
                    }
                },
                s);
    }

    private static boolean anyScenarioViolates(String rule, IntFunction<ClusterScenario> days) {
        for (int seed = 1; seed <= 12; seed++) {
            if (days.apply(seed).checker.violations.stream().anyMatch(b -> b.startsWith(rule))) {
                return true;
            }
        }
        return false;
    }

    /** Any reading of the epoch seems to say that this controller's copy of the records is fresh. */
    @Test
    void checkerDetectsAnswersFromAStaleReplica() {
        Response old = new Response(404, Codec.object().put("epoch", 0));
        var version = controllersWithReplacedResponses((call, r) -> call.path().equals("/keys/h/never") ? old : r);
        assertTrue(anyScenarioViolates("went_back (asked later)", seed -> scenarioWithSlowStore(seed, 1_500, version)));
    }

    /** A transaction without an answer is taken for one that wasn't carried out. */
    @Test
    void checkerDetectsThatAnUnansweredTransactionIsTreatedAsRejected() {
        Response refusal = new Response(503, Codec.object());
        var version = controllersWithReplacedResponses((call, r) ->
                call.path().equals("/commit") && r != null && r.failedWith(Response.Failure.NO_RESPONSE) ? refusal : r);
        assertTrue(anyScenarioViolates("went_back (asked later)", seed -> scenarioWithSlowStore(seed, 1_500, version)));
    }

    /** A controller that gives an answer once more for some milliseconds. */
    @Test
    void checkerDetectsThatAnEarlierAnswerIsRepeated() {
        assertTrue(anyScenarioViolates("went_back (same controller)", seed -> {
            ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, NEW_CONTROLLER);
            Map<String, Response> known = new HashMap<>();
            scenario.responseFault = (q, r) -> q == null || q.creates() || r.status() != 200
                    ? r
                    : scenario.world.random.nextBoolean()
                            ? known.getOrDefault(q.node() + q.id(), r)
                            : storeIfAbsent(known, q, r);
            return runWithProbes(scenario);
        }));
    }

    private static Response storeIfAbsent(Map<String, Response> known, AnswerOrderChecker.Question q, Response r) {
        known.putIfAbsent(q.node() + q.id(), r);
        return r;
    }

    /** What can't run, or lacks a field, is accepted. */
    @Test
    void checkerDetectsThatAnInvalidSubmissionIsAccepted() {
        assertTrue(anyScenarioViolates("accepted req-8", seed -> {
            ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, NEW_CONTROLLER);
            scenario.responseFault = (q, r) ->
                    r.status() == 422 ? new Response(201, Codec.object().put("status", "pending")) : r;
            scenario.invalidRequests.submit(6, 10_000);
            return scenario.advance(20_000);
        }));
    }

    /**
     * The key-value store's answers, the watches' too, take up to that much longer, and some to transactions are lost.
     */
    private static ClusterScenario scenarioWithSlowStore(
            int seed, int byMs, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, version);
        scenario.world.slow("state:1", byMs, 60_000);
        scenario.world.lateWrites = txn -> txn.path("then").toString().contains("\"h/j/");
        scenario.world.lostAnswerShare = 0.3;
        return runWithProbes(scenario);
    }

    private static ClusterScenario runWithProbes(ClusterScenario scenario) {
        scenario.users.cancelOneIn = 2;
        scenario.answerProber.start();
        scenario.workload.submitJobs(6, 20_000);
        return scenario.advance(60_000);
    }

    @Test
    void slowAndLostStoreResponsesDoNotCauseOlderAnswers() {
        for (int seed = 1; seed <= 4; seed++) {
            assertEquals(
                    List.of(),
                    scenarioWithSlowStore(seed, seed % 2 == 0 ? 300 : 1_500, NEW_CONTROLLER).checker.violations,
                    "seed " + seed);
        }
    }

    /** Of every second transaction of a kind only the answer is lost, while users look closely and the leader ends. */
    @Test
    void unconfirmedTransactionsAreNeverReportedAndThenReversed() {
        for (String kind : List.of("h/roster", "h/n/", "h/j/", "h/p/", "h/m/", "h/s/", "h/x/", "h/")) {
            ClusterScenario scenario = scenarioWithLostResponses(3, kind, NEW_CONTROLLER);
            assertEquals(List.of(), scenario.checker.violations, kind);
            assertTrue(scenario.checker.order.compared > 500, kind + ": " + scenario.checker.order.compared);
        }
    }

    private static ClusterScenario scenarioWithLostResponses(
            int seed, String kind, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, version);
        scenario.world.lateWrites = txn -> txn.path("then").toString().contains("\"" + kind);
        scenario.world.lostAnswerShare = 0.5;
        scenario.world.at(20_000, () -> scenario.faults.crash(scenario.leaderIndex(), 400));
        if (kind.equals("h/x/")) {
            scenario.world.at(8_000, new GraphUser(scenario, "req-700000", 2, 2)::start);
        }
        scenario.workload.submitJobs(
                3, 20_000); // cancellations that wait for what may still start are answered more seldom
        return runWithProbes(scenario);
    }

    /**
     * An abort is durable and its answer to the leader lost; another controller has told it. The leader gives no
     * estimate of the job, which it takes for a running one.
     */
    @Test
    void noEstimateIsGivenWhileATerminalWriteIsUnresolved() {
        ClusterScenario scenario = new ClusterScenario(1, 1, null, null, NEW_CONTROLLER).withRunningServices();
        int leader = scenario.leaderIndex();
        assertEquals("running", status(scenario.users.requestAt(leader, "GET", ESTIMATE, null)));
        scenario.world.cutOneWay("state:1", "bothy-" + leader, 5_000);
        scenario.users.cancelAt(leader, "req-000000");
        scenario.advance(100);
        Response other = scenario.users.requestAt((leader + 1) % 3, "GET", "/submissions/req-000000", null);
        assertEquals("aborted", status(other));
        assertEquals(
                503, scenario.users.requestAt(leader, "GET", ESTIMATE, null).status());
        scenario.advance(8_000);
        assertEquals("aborted", status(scenario.users.requestAt(leader, "GET", ESTIMATE, null)));
        assertEquals(List.of(), scenario.checker.violations);
    }

    /**
     * The end of a graph's node is told once it is durable: a successor may not find it, and then tells something
     * older.
     */
    @Test
    void theTerminationOfANodeIsNotReportedBeforeItIsDurable() {
        ClusterScenario scenario = new ClusterScenario(1, 1, null, null, NEW_CONTROLLER);
        scenario.advance(5_000);
        new GraphUser(scenario, "req-700000", 2, 2).start();
        scenario.advance(500);
        scenario.store.refusedTransactions = txn -> txn.path("then").toString().contains("\"h/x/");
        scenario.checker.cancellationRequested("req-700000");
        String withdraw = "/graphs/req-700000/nodes/n0/withdraw";
        assertEquals(
                503,
                scenario.users
                        .requestAt(scenario.leaderIndex(), "POST", withdraw, Codec.object())
                        .status());
        assertEquals(
                503,
                scenario.users.requestAt(0, "GET", "/graphs/req-700000", null).status());
        scenario.store.refusedTransactions = txn -> false;
        scenario.advance(2_000);
        Response later = scenario.users.requestAt(0, "GET", "/graphs/req-700000", null);
        assertEquals(
                "cancelled", later.body().path("nodes").path(0).path("state").asText());
        assertEquals(List.of(), scenario.checker.violations);
    }

    /**
     * The leader's word, held up on its way, isn't given after the newer one that the controller's own records told.
     */
    @Test
    void delayedLeaderAnswersAreNotGivenAfterNewerOnes() {
        for (int seed = 1; seed <= 4; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, NEW_CONTROLLER).withRunningServices();
            int leader = scenario.leaderIndex();
            int other = (leader + 1) % 3;
            scenario.world.slow("m" + leader + ":1", 300, 10_000);
            for (int ms = 0; ms < 600; ms += 5) {
                scenario.world.at(ms, () -> scenario.users.queryAt(other, "req-000000", "/submissions/req-000000"));
            }
            scenario.world.at(300, () -> scenario.users.cancelAt(leader, "req-000000"));
            scenario.advance(10_000);
            assertTrue(scenario.checker.isTerminal("req-000000"));
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /** Right after a job is accepted its submission comes again and again, at all controllers, whose records lag. */
    @Test
    void repeatedSubmissionsWriteTheRecordAtMostOncePerController() {
        ClusterScenario scenario = new ClusterScenario(1, 1, null, null, NEW_CONTROLLER);
        scenario.advance(20_000);
        scenario.world.slow("state:1", 300, 10_000);
        int[] writes = {0};
        scenario.world.sending = (from, call) -> writes[0] += isCommitContaining(call, "\"pull_gb\"") ? 1 : 0;
        scenario.checker.order.news = id -> {
            for (int i = 0; i < 300; i++) {
                int node = i % 3;
                scenario.world.at(i, () -> scenario.users.resubmitAt(node, id, scenario.checker.submitted.get(id)));
            }
        };
        scenario.workload.submitBatchJobs(1, 1);
        scenario.advance(10_000);
        assertTrue(writes[0] >= 1 && writes[0] <= 3, "writes of the record: " + writes[0]);
        assertEquals(List.of(), scenario.checker.violations);
    }

    private static boolean isCommitContaining(Request call, String what) {
        return call.path().equals("/commit") && call.body().toString().contains(what);
    }

    private static String status(Response reply) {
        return reply.body().path("status").asText();
    }

    /**
     * Unknown jobs, wrong ones, what is done and a flood of repetitions at every controller; also without the state
     * service.
     */
    @Test
    void invalidAndRepeatedRequestsGetTheSameAnswerFromEveryController() {
        ClusterScenario scenario = new ClusterScenario(1, 1, null, null, NEW_CONTROLLER);
        scenario.invalidRequests.submit(40, 20_000);
        scenario.advance(5_000);
        scenario.workload.submitBatchJobs(1, 1);
        scenario.advance(60_000);
        var spec = scenario.checker.submitted.get("req-000000");
        var wrong = ((ObjectNode) spec).deepCopy().put("name_id", "req-777778").put("owner", "nobody");
        int[] writes = {0};
        scenario.world.sending = (from, call) -> writes[0] += isCommitContaining(call, "h/j/") ? 1 : 0;
        for (int node = 0; node < 3; node++) {
            assertEquals(
                    "done",
                    status(scenario.users.requestAt(node, "POST", "/submissions/req-000000/withdraw", Codec.object())));
            for (int i = 0; i < 50; i++) {
                Response again = scenario.users.requestAt(node, "POST", "/submissions", spec);
                assertEquals("200 done", again.status() + " " + status(again));
            }
            assertEquals(
                    404,
                    scenario.users
                            .requestAt(node, "GET", "/submissions/req-777777", null)
                            .status());
        }
        assertEquals(0, writes[0], "repetitions cost no write");
        scenario.store.startOutage(5_000);
        for (int node = 0; node < 3; node++) {
            assertEquals(
                    503,
                    scenario.users
                            .requestAt(node, "GET", "/submissions/req-777777", null)
                            .status(),
                    "nobody can know");
            assertEquals(
                    503,
                    scenario.users
                            .requestAt(node, "POST", "/submissions", wrong)
                            .status(),
                    "422 only from fresh records");
            assertEquals(
                    200,
                    scenario.users.requestAt(node, "POST", "/submissions", spec).status(),
                    "what is over is known");
        }
        assertEquals(List.of(), scenario.checker.violations);
    }
}
