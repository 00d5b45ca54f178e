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
 * Checks that no controller gives an answer about a job that is older than one given before, by the same or another
 * controller (docs/safety.md, "went_back").
 */
class AnswerConsistencyTest {
    /**
     * Replaces the responses to a controller's requests. Called with a null response before a request is sent: unless
     * the result is null, it becomes the response and the request isn't sent. Called again with the actual response.
     */
    private interface ResponseReplacement {
        Response replace(Request call, Response response);
    }

    private static final OperatorSettings ALL_FEATURES = OperatorSettings.parse("{:estimates true, :graphs true}");
    private static final BiFunction<EventLoop, Settings, Controller> NEW_CONTROLLER =
            (eventLoop, settings) -> new Controller(eventLoop, settings, ALL_FEATURES);
    /** Number of seeds; outside CI more are run: {@code mvn test -Dtest=AnswerConsistencyTest -Danswers.days=2000}. */
    private static final int SEED_COUNT = Integer.getInteger("answers.days", 3);

    private static final String ESTIMATE = "/submissions/req-000000/estimate";
    private static final int FIRST_SEED = Integer.getInteger("answers.first", 1);

    @Test
    void randomProbesSeeAnswersInOrder() {
        Map<Integer, List<String>> violationsBySeed = new TreeMap<>();
        int compared = 0;
        int overtaken = 0;
        long longestMs = 0;
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            ClusterScenario scenario = randomScenario(seed, NEW_CONTROLLER);
            if (!scenario.checker.violations.isEmpty()) {
                violationsBySeed.put(seed, scenario.checker.violations);
            }
            compared += scenario.checker.answerOrder.comparedCount;
            overtaken += scenario.checker.answerOrder.overtakenCount;
            longestMs = Math.max(longestMs, scenario.checker.answerOrder.longestOvertakenMs);
        }
        System.out.printf(
                "days=%d compared=%d overtaken=%d longest_ms=%d broken=%d%n",
                SEED_COUNT, compared, overtaken, longestMs, violationsBySeed.size());
        assertEquals(Map.of(), violationsBySeed);
    }

    private static ClusterScenario randomScenario(
            int seed, BiFunction<EventLoop, Settings, Controller> controllerFactory) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, controllerFactory);
        scenario.users.cancelOneIn = 2;
        scenario.answerProber.start();
        scenario.workload.submitJobs(12, 60_000);
        scenario.pipelines.submitPipelines(2, 40_000);
        scenario.invalidRequests.submit(8, 80_000);
        GraphUser graph = new GraphUser(scenario, "req-700000", 2, 2);
        scenario.world.schedule(5_000 + scenario.world.random.nextInt(20_000), graph::start);
        if (seed % 4 > 0) {
            scenario.world.schedule(10_000, () -> scenario.world.lostTransactionResponseProbability = 0.2);
            scenario.world.schedule(60_000, () -> scenario.world.lostTransactionResponseProbability = 0);
            scenario.randomFaults.scheduleReorderingFaults(6, 10_000, 80_000);
        }
        scenario.advance(130_000);
        return scenario;
    }

    /** Creates controllers that receive replaced responses to their requests. */
    private static BiFunction<EventLoop, Settings, Controller> controllersWithReplacedResponses(
            ResponseReplacement replacement) {
        return (eventLoop, settings) -> NEW_CONTROLLER.apply(
                new EventLoop() {
                    @Override
                    public long now() {
                        return eventLoop.now();
                    }

                    @Override
                    public long wallClockMs() {
                        return eventLoop.wallClockMs();
                    }

                    @Override
                    public void after(long ms, Runnable task) {
                        eventLoop.after(ms, task);
                    }

                    @Override
                    public void send(Request call, Consumer<Response> callback) {
                        Response replaced = replacement.replace(call, null);
                        if (replaced != null) {
                            eventLoop.after(0, () -> callback.accept(replaced));
                        } else {
                            eventLoop.send(call, response -> callback.accept(replacement.replace(call, response)));
                        }
                    }
                },
                settings);
    }

    private static boolean anyScenarioViolates(String rule, IntFunction<ClusterScenario> scenarios) {
        for (int seed = 1; seed <= 12; seed++) {
            if (scenarios.apply(seed).checker.violations.stream().anyMatch(violation -> violation.startsWith(rule))) {
                return true;
            }
        }
        return false;
    }

    /** Fault: linearizable reads find revision 0 in the store, so that every replica counts as up to date. */
    @Test
    void checkerDetectsAnswersFromAStaleReplica() {
        Response revisionZero = new Response(404, Codec.object().put("epoch", 0));
        var controllerFactory = controllersWithReplacedResponses(
                (call, response) -> call.path().equals("/keys/h/never") ? revisionZero : response);
        assertTrue(anyScenarioViolates(
                "went_back (asked later)", seed -> scenarioWithSlowStore(seed, 1_500, controllerFactory)));
    }

    /** Fault: a transaction without a response is treated as rejected, although the store may have executed it. */
    @Test
    void checkerDetectsThatAnUnansweredTransactionIsTreatedAsRejected() {
        Response rejection = new Response(503, Codec.object());
        var controllerFactory = controllersWithReplacedResponses((call, response) ->
                call.path().equals("/commit") && response != null && response.failedWith(Response.Failure.NO_RESPONSE)
                        ? rejection
                        : response);
        assertTrue(anyScenarioViolates(
                "went_back (asked later)", seed -> scenarioWithSlowStore(seed, 1_500, controllerFactory)));
    }

    /** Fault: a controller repeats its first answer about a job in place of half of its later ones. */
    @Test
    void checkerDetectsThatAnEarlierAnswerIsRepeated() {
        assertTrue(anyScenarioViolates("went_back (same controller)", seed -> {
            ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, NEW_CONTROLLER);
            Map<String, Response> firstAnswers = new HashMap<>();
            scenario.responseFault = (jobRequest, response) ->
                    jobRequest == null || jobRequest.isSubmission() || response.status() != 200
                            ? response
                            : scenario.world.random.nextBoolean()
                                    ? firstAnswers.getOrDefault(jobRequest.controller() + jobRequest.jobId(), response)
                                    : storeIfAbsent(firstAnswers, jobRequest, response);
            return runWithProbes(scenario);
        }));
    }

    private static Response storeIfAbsent(
            Map<String, Response> firstAnswers, AnswerOrderChecker.JobRequest jobRequest, Response response) {
        firstAnswers.putIfAbsent(jobRequest.controller() + jobRequest.jobId(), response);
        return response;
    }

    /** Fault: controllers accept submissions that have to be rejected with 422. */
    @Test
    void checkerDetectsThatAnInvalidSubmissionIsAccepted() {
        assertTrue(anyScenarioViolates("accepted req-8", seed -> {
            ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, NEW_CONTROLLER);
            scenario.responseFault = (jobRequest, response) ->
                    response.status() == 422 ? new Response(201, Codec.object().put("status", "pending")) : response;
            scenario.invalidRequests.submit(6, 10_000);
            return scenario.advance(20_000);
        }));
    }

    /**
     * Runs a scenario in which requests to the key-value store, watches included, take up to {@code delayMs} longer,
     * and 30 % of the responses to transactions on job records are lost.
     */
    private static ClusterScenario scenarioWithSlowStore(
            int seed, int delayMs, BiFunction<EventLoop, Settings, Controller> controllerFactory) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, controllerFactory);
        scenario.world.addLatency("state:1", delayMs, 60_000);
        scenario.world.faultProneTransactions =
                txn -> txn.path("then").toString().contains("\"h/j/");
        scenario.world.lostTransactionResponseProbability = 0.3;
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

    /**
     * Half of the transactions on one kind of key are executed, but their responses are lost, while users probe the
     * answers and the leader crashes.
     */
    @Test
    void unconfirmedTransactionsAreNeverReportedAndThenReversed() {
        for (String keyPrefix : List.of("h/roster", "h/n/", "h/j/", "h/p/", "h/m/", "h/s/", "h/x/", "h/")) {
            ClusterScenario scenario = scenarioWithLostResponses(3, keyPrefix, NEW_CONTROLLER);
            assertEquals(List.of(), scenario.checker.violations, keyPrefix);
            assertTrue(
                    scenario.checker.answerOrder.comparedCount > 500,
                    keyPrefix + ": " + scenario.checker.answerOrder.comparedCount);
        }
    }

    private static ClusterScenario scenarioWithLostResponses(
            int seed, String keyPrefix, BiFunction<EventLoop, Settings, Controller> controllerFactory) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, controllerFactory);
        scenario.world.faultProneTransactions =
                txn -> txn.path("then").toString().contains("\"" + keyPrefix);
        scenario.world.lostTransactionResponseProbability = 0.5;
        scenario.world.schedule(20_000, () -> scenario.faults.crash(scenario.leaderIndex(), 400));
        if (keyPrefix.equals("h/x/")) {
            scenario.world.schedule(8_000, new GraphUser(scenario, "req-700000", 2, 2)::start);
        }
        // More jobs, so that enough answers are compared: cancellations that wait for tasks which may still start are
        // answered less often.
        scenario.workload.submitJobs(3, 20_000);
        return runWithProbes(scenario);
    }

    /**
     * A cancellation is durable, but the store's response to the leader is held up, and another controller has already
     * reported the cancellation to a user. The leader, in whose state the job is still running, must give no estimate.
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
     * The termination of a graph's node is only reported once it is durable: otherwise a successor of the leader may
     * not find it, and would report an older state.
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
     * An answer of the leader that is delayed in transit isn't passed on after the controller has given a newer answer
     * from its own replica.
     */
    @Test
    void delayedLeaderAnswersAreNotGivenAfterNewerOnes() {
        for (int seed = 1; seed <= 4; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed, 1, null, null, NEW_CONTROLLER).withRunningServices();
            int leader = scenario.leaderIndex();
            int other = (leader + 1) % 3;
            scenario.world.addLatency("m" + leader + ":1", 300, 10_000);
            for (int ms = 0; ms < 600; ms += 5) {
                scenario.world.schedule(
                        ms, () -> scenario.users.queryAt(other, "req-000000", "/submissions/req-000000"));
            }
            scenario.world.schedule(300, () -> scenario.users.cancelAt(leader, "req-000000"));
            scenario.advance(10_000);
            assertTrue(scenario.checker.isTerminal("req-000000"));
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * Right after a job is accepted, its submission is repeated many times at all controllers, whose replicas lag
     * behind the store.
     */
    @Test
    void repeatedSubmissionsWriteTheRecordAtMostOncePerController() {
        ClusterScenario scenario = new ClusterScenario(1, 1, null, null, NEW_CONTROLLER);
        scenario.advance(20_000);
        scenario.world.addLatency("state:1", 300, 10_000);
        int[] writes = {0};
        scenario.world.requestObserver = (from, call) -> writes[0] += isCommitContaining(call, "\"pull_gb\"") ? 1 : 0;
        scenario.checker.answerOrder.stateChangeListener = id -> {
            for (int i = 0; i < 300; i++) {
                int controller = i % 3;
                scenario.world.schedule(
                        i, () -> scenario.users.resubmitAt(controller, id, scenario.checker.submitted.get(id)));
            }
        };
        scenario.workload.submitBatchJobs(1, 1);
        scenario.advance(10_000);
        assertTrue(writes[0] >= 1 && writes[0] <= 3, "writes of the record: " + writes[0]);
        assertEquals(List.of(), scenario.checker.violations);
    }

    private static boolean isCommitContaining(Request call, String text) {
        return call.path().equals("/commit") && call.body().toString().contains(text);
    }

    private static String status(Response response) {
        return response.body().path("status").asText();
    }

    /**
     * Requests about unknown, invalid and completed jobs, and many repeated submissions, at every controller; also
     * during an outage of the key-value store.
     */
    @Test
    void invalidAndRepeatedRequestsGetTheSameAnswerFromEveryController() {
        ClusterScenario scenario = new ClusterScenario(1, 1, null, null, NEW_CONTROLLER);
        scenario.invalidRequests.submit(40, 20_000);
        scenario.advance(5_000);
        scenario.workload.submitBatchJobs(1, 1);
        scenario.advance(60_000);
        var spec = scenario.checker.submitted.get("req-000000");
        var invalid =
                ((ObjectNode) spec).deepCopy().put("name_id", "req-777778").put("owner", "nobody");
        int[] writes = {0};
        scenario.world.requestObserver = (from, call) -> writes[0] += isCommitContaining(call, "h/j/") ? 1 : 0;
        for (int controller = 0; controller < 3; controller++) {
            assertEquals(
                    "done",
                    status(scenario.users.requestAt(
                            controller, "POST", "/submissions/req-000000/withdraw", Codec.object())));
            for (int i = 0; i < 50; i++) {
                Response repeated = scenario.users.requestAt(controller, "POST", "/submissions", spec);
                assertEquals("200 done", repeated.status() + " " + status(repeated));
            }
            assertEquals(
                    404,
                    scenario.users
                            .requestAt(controller, "GET", "/submissions/req-777777", null)
                            .status());
        }
        assertEquals(0, writes[0], "transactions on job records after repeated submissions");
        scenario.store.startOutage(5_000);
        for (int controller = 0; controller < 3; controller++) {
            assertEquals(
                    503,
                    scenario.users
                            .requestAt(controller, "GET", "/submissions/req-777777", null)
                            .status(),
                    "query of an unknown job without the store");
            assertEquals(
                    503,
                    scenario.users
                            .requestAt(controller, "POST", "/submissions", invalid)
                            .status(),
                    "invalid submission without the store: 422 needs a linearizable read");
            assertEquals(
                    200,
                    scenario.users
                            .requestAt(controller, "POST", "/submissions", spec)
                            .status(),
                    "repeated submission of a completed job without the store");
        }
        assertEquals(List.of(), scenario.checker.violations);
    }
}
