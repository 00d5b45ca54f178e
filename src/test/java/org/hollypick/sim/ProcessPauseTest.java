package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/**
 * Pauses the leader between deciding on a request and sending it, for longer than its store session lasts. Its clocks
 * run on during the pause.
 */
class ProcessPauseTest {
    /** Longer than a store session, so that another controller becomes leader during the pause. */
    private static final long PAUSE_MS = 9_000;
    /**
     * More cores than the jobs before the pause use, so that the leader has reason to request machines around the
     * pause. With the default quota of 40 cores, all of it in use, machines were requested only because scale-out
     * exceeded the quota (docs/incidents/2026-12-03-scale-out-beyond-quota.md).
     */
    private static final double QUOTA_CORES = 80;

    private static final List<Predicate<Request>> REQUEST_KINDS = List.of(
            request -> request.path().equals("/commands")
                    && request.body().path("orders").toString().contains("launch"),
            request -> request.path().equals("/hosts") && request.method().equals("POST"),
            request -> request.path().equals("/hosts/return"));

    private static ClusterScenario scenarioWithPausedLeader(
            int seed, Predicate<Request> kind, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario =
                ClusterScenario.withQuotas(seed, 1, List.of(JobDescription.DEFAULT_TEAM), QUOTA_CORES, version);
        scenario.workload.submitJobs(30, 100_000);
        scenario.advance(30_000);
        int leaderBefore = scenario.leaderIndex();
        scenario.faults.freezeLeaderBeforeSending(kind, PAUSE_MS);
        scenario.workload.submitUncancelledServices(8);
        scenario.world.schedule(
                500, () -> scenario.cloud.agents().stream().findFirst().ifPresent(agent -> agent.hang(20_000)));
        scenario.advance(60_000);
        assertNotEquals(leaderBefore, scenario.leaderIndex(), "seed " + seed + ": the paused leader was not replaced");
        scenario.advance(90_000);
        return scenario;
    }

    @Test
    void requestsDecidedBeforeAPauseAreNotSentAfterTheLeaderLeaseExpired() {
        for (Predicate<Request> kind : REQUEST_KINDS) {
            for (int seed = 1; seed <= 6; seed++) {
                ClusterScenario scenario = scenarioWithPausedLeader(
                        seed,
                        kind,
                        (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults()));
                assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            }
        }
    }

    /**
     * If the leader lease is checked only when a request is decided on, the request is sent after the lease expired.
     */
    @Test
    void checkerDetectsALeaderLeaseThatIsNotCheckedBeforeSending() {
        for (Predicate<Request> kind : REQUEST_KINDS) {
            boolean detected = false;
            for (int seed = 1; seed <= 6 && !detected; seed++) {
                ClusterScenario scenario = scenarioWithPausedLeader(
                        seed,
                        kind,
                        (eventLoop, settings) -> new Controller(
                                new DelegatingEventLoop(eventLoop) {
                                    @Override
                                    public void send(Request request, Consumer<Response> callback) {
                                        eventLoop.send(
                                                new Request(
                                                        request.address(),
                                                        request.method(),
                                                        request.path(),
                                                        request.body(),
                                                        request.timeoutMs(),
                                                        request.toPeer()),
                                                callback);
                                    }
                                },
                                settings,
                                OperatorSettings.defaults()));
                detected = scenario.checker.violations.stream()
                        .anyMatch(violation -> violation.startsWith("without_right"));
            }
            assertTrue(detected);
        }
    }
}
