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
 * A controller that stands still while its clocks run on, longer than its store session, between a decision and the
 * sending of what was decided.
 */
class ProcessPauseTest {
    private static final long PAUSE_MS = 9_000;
    /**
     * More than the jobs before the pause use, so that machines are requested during it. With the usual quota of 40
     * cores, all of it in use, they were requested only beyond it
     * (docs/incidents/2026-12-03-scale-out-beyond-quota.md).
     */
    private static final double QUOTA_CORES = 80;

    private static final List<Predicate<Request>> REQUEST_KINDS = List.of(
            call -> call.path().equals("/commands")
                    && call.body().path("orders").toString().contains("launch"),
            call -> call.path().equals("/hosts") && call.method().equals("POST"),
            call -> call.path().equals("/hosts/return"));

    private static ClusterScenario scenarioWithPausedLeader(
            int seed, Predicate<Request> kind, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario =
                ClusterScenario.withQuotas(seed, 1, List.of(JobDescription.DEFAULT_TEAM), QUOTA_CORES, version);
        scenario.workload.submitJobs(30, 100_000);
        scenario.advance(30_000);
        int before = scenario.leaderIndex();
        scenario.faults.freezeLeaderBeforeSending(kind, PAUSE_MS);
        scenario.workload.submitUncancelledServices(8);
        scenario.world.schedule(
                500, () -> scenario.cloud.agents().stream().findFirst().ifPresent(w -> w.hang(20_000)));
        scenario.advance(60_000);
        assertNotEquals(before, scenario.leaderIndex(), "seed " + seed + ": another one leads by then");
        scenario.advance(90_000);
        return scenario;
    }

    @Test
    void requestsDecidedBeforeAPauseAreNotSentAfterTheLeaderLeaseExpired() {
        for (Predicate<Request> kind : REQUEST_KINDS) {
            for (int seed = 1; seed <= 6; seed++) {
                ClusterScenario scenario = scenarioWithPausedLeader(
                        seed, kind, (r, s) -> new Controller(r, s, OperatorSettings.defaults()));
                assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            }
        }
    }

    /** Checked only when it is decided, an order goes out that nobody has the right to give any more. */
    @Test
    void checkerDetectsALeaderLeaseThatIsNotCheckedBeforeSending() {
        for (Predicate<Request> kind : REQUEST_KINDS) {
            boolean noticed = false;
            for (int seed = 1; seed <= 6 && !noticed; seed++) {
                ClusterScenario scenario = scenarioWithPausedLeader(
                        seed,
                        kind,
                        (r, s) -> new Controller(
                                new DelegatingEventLoop(r) {
                                    @Override
                                    public void send(Request request, Consumer<Response> callback) {
                                        r.send(
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
                                s,
                                OperatorSettings.defaults()));
                noticed = scenario.checker.violations.stream().anyMatch(b -> b.startsWith("without_right"));
            }
            assertTrue(noticed);
        }
    }
}
