package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/** Reports that other controllers hand on to the leader, and its answers that they pass back. */
class HeartbeatRelayTest {
    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (r, s) -> new Controller(r, s, OperatorSettings.defaults());

    /**
     * The others stand still with the leader's answers in hand; it ends meanwhile, and another one leads when they go
     * on.
     */
    private static ClusterScenario pauseRelaysAndCrashLeader(
            int seed, long freezeMs, long restartMs, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 6, null, null, version);
        scenario.workload.submitJobs(80, 110_000);
        boolean[] armed = {false};
        scenario.world.sending = (from, call) -> {
            if (armed[0] && call.path().equals("/reports")) {
                armed[0] = false;
                int leader = scenario.leaderIndex();
                int other = Integer.parseInt(from.substring("bothy-".length()));
                // It hears of the new leader record later still.
                scenario.faults.freeze(other, freezeMs);
                scenario.world.cut(from, "state:1", 12_000);
                scenario.world.at(40, () -> scenario.faults.crash(leader, restartMs));
            }
        };
        for (int i = 0; i < 5; i++) {
            scenario.world.at(20_000 + 20_000 * i, () -> armed[0] = true);
        }
        scenario.advance(140_000);
        return scenario;
    }

    @Test
    void responsesReceivedBeforeAPauseAreNotRelayedAfterTheLeaderCrashes() {
        for (int seed = 1; seed <= 6; seed++) {
            assertEquals(
                    List.of(),
                    pauseRelaysAndCrashLeader(seed, 9_000, 6_000, CURRENT_VERSION).checker.violations,
                    "seed " + seed);
        }
    }

    /** Without the bound that the leader tells, its orders would reach machines while another one leads. */
    @Test
    void checkerDetectsResponsesRelayedAfterTheirValidityExpired() {
        BiFunction<EventLoop, Settings, Controller> faulty = (r, s) -> CURRENT_VERSION.apply(
                new DelegatingEventLoop(r) {
                    @Override
                    public void send(Request call, Consumer<Response> callback) {
                        super.send(call, a -> {
                            if (call.path().equals("/reports") && a.ok()) {
                                ((ObjectNode) a.body()).put("right_ms", 60_000);
                            }
                            callback.accept(a);
                        });
                    }
                },
                s);
        boolean noticed = false;
        for (int seed = 1; seed <= 40 && !noticed; seed++) {
            noticed = pauseRelaysAndCrashLeader(seed, 9_000, 6_000, faulty).checker.violations.stream()
                    .anyMatch(b -> b.startsWith("answered_without_right"));
        }
        assertTrue(noticed);
    }

    /**
     * The leader is back before anyone has missed it, and ends its earlier self's store session: not before the others
     * have dropped what that one answered.
     */
    @Test
    void responsesOfAPreviousIncarnationAreNotRelayedAfterAQuickRestart() {
        for (int seed = 1; seed <= 6; seed++) {
            assertEquals(
                    List.of(),
                    pauseRelaysAndCrashLeader(seed, 700, 50L * seed, CURRENT_VERSION).checker.violations,
                    "seed " + seed);
        }
    }

    /**
     * Without the others' word, and without the wait, a restarted node would end a store session that answers under way
     * still rest on.
     */
    @Test
    void checkerDetectsAPreviousStoreSessionEndedBeforeItsResponsesAreDiscarded() {
        BiFunction<EventLoop, Settings, Controller> faulty = (r, s) -> CURRENT_VERSION.apply(
                new DelegatingEventLoop(r) {
                    @Override
                    public void send(Request call, Consumer<Response> callback) {
                        if (call.path().equals("/release")) {
                            r.after(
                                    1,
                                    () -> callback.accept(
                                            new Response(200, Codec.object().put("released", true))));
                        } else {
                            super.send(call, callback);
                        }
                    }
                },
                s);
        boolean noticed = false;
        for (int seed = 1; seed <= 40 && !noticed; seed++) {
            noticed = pauseRelaysAndCrashLeader(seed, 700, 50, faulty).checker.violations.stream()
                    .anyMatch(b -> b.startsWith("answered_without_right"));
        }
        assertTrue(noticed);
    }

    /** All machines stay with the controllers that are left, at once and without looking for the leader. */
    @Test
    void newLeaderReceivesHeartbeatsThroughRelaysBeforeTaskLeasesExpire() {
        ClusterScenario scenario = new ClusterScenario(5, 8);
        scenario.advance(3_000);
        scenario.workload.submitUncancelledServices(12);
        scenario.advance(60_000);
        int lost = scenario.checker.tasks.lostWithLease;
        scenario.faults.crash(scenario.leaderIndex(), 40_000);
        scenario.advance(12_000);
        long token = scenario.store.revisionOf("h/roster");
        assertTrue(
                scenario.cloud.agents().stream().allMatch(w -> w.fencingToken() >= token),
                "every machine has seen the new leader's token");
        scenario.advance(60_000);
        assertEquals(lost, scenario.checker.tasks.lostWithLease);
        assertEquals(List.of(), scenario.checker.violations);
    }
}
