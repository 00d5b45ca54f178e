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

/** Tests the relaying of heartbeats to the leader, and of the leader's responses back to the agents. */
class HeartbeatRelayTest {
    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults());

    /**
     * Five times, pauses a controller that is sending a batch of heartbeats to the leader, and crashes the leader 40 ms
     * later. The paused controller can relay the leader's responses only after the pause.
     *
     * @param pauseMs how long the relaying controller is paused
     * @param restartMs how long the leader's process is down
     */
    private static ClusterScenario pauseRelaysAndCrashLeader(
            int seed, long pauseMs, long restartMs, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = new ClusterScenario(seed, 6, null, null, version);
        scenario.workload.submitJobs(80, 110_000);
        boolean[] armed = {false};
        scenario.world.requestObserver = (from, request) -> {
            if (armed[0] && request.path().equals("/reports")) {
                armed[0] = false;
                int leader = scenario.leaderIndex();
                int relay = Integer.parseInt(from.substring("bothy-".length()));
                // The link to the store is cut for longer than the pause, so that this controller receives the new
                // leader record even later.
                scenario.faults.freeze(relay, pauseMs);
                scenario.world.cut(from, "state:1", 12_000);
                scenario.world.schedule(40, () -> scenario.faults.crash(leader, restartMs));
            }
        };
        for (int i = 0; i < 5; i++) {
            scenario.world.schedule(20_000 + 20_000 * i, () -> armed[0] = true);
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

    /**
     * If relays ignored the validity that the leader sends with its responses, commands of the crashed leader would
     * reach machines while another controller leads.
     */
    @Test
    void checkerDetectsResponsesRelayedAfterTheirValidityExpired() {
        BiFunction<EventLoop, Settings, Controller> faulty = (eventLoop, settings) -> CURRENT_VERSION.apply(
                new DelegatingEventLoop(eventLoop) {
                    @Override
                    public void send(Request request, Consumer<Response> callback) {
                        super.send(request, response -> {
                            if (request.path().equals("/reports") && response.ok()) {
                                ((ObjectNode) response.body()).put("right_ms", 60_000);
                            }
                            callback.accept(response);
                        });
                    }
                },
                settings);
        boolean detected = false;
        for (int seed = 1; seed <= 40 && !detected; seed++) {
            detected = pauseRelaysAndCrashLeader(seed, 9_000, 6_000, faulty).checker.violations.stream()
                    .anyMatch(violation -> violation.startsWith("answered_without_right"));
        }
        assertTrue(detected);
    }

    /**
     * The leader restarts before its failure is detected and ends the store session of its previous incarnation, but
     * only after the other controllers have discarded the responses of that incarnation.
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
     * If a restarted controller ended the store session of its previous incarnation without waiting until the other
     * controllers have discarded that incarnation's responses, these could be relayed after another leader has started.
     */
    @Test
    void checkerDetectsAPreviousStoreSessionEndedBeforeItsResponsesAreDiscarded() {
        BiFunction<EventLoop, Settings, Controller> faulty = (eventLoop, settings) -> CURRENT_VERSION.apply(
                new DelegatingEventLoop(eventLoop) {
                    @Override
                    public void send(Request request, Consumer<Response> callback) {
                        if (request.path().equals("/release")) {
                            eventLoop.after(
                                    1,
                                    () -> callback.accept(
                                            new Response(200, Codec.object().put("released", true))));
                        } else {
                            super.send(request, callback);
                        }
                    }
                },
                settings);
        boolean detected = false;
        for (int seed = 1; seed <= 40 && !detected; seed++) {
            detected = pauseRelaysAndCrashLeader(seed, 700, 50, faulty).checker.violations.stream()
                    .anyMatch(violation -> violation.startsWith("answered_without_right"));
        }
        assertTrue(detected);
    }

    /**
     * After the leader has crashed, the remaining controllers relay the heartbeats of all machines to the new leader,
     * so that machines needn't search for it and no lease expires.
     */
    @Test
    void newLeaderReceivesHeartbeatsThroughRelaysBeforeTaskLeasesExpire() {
        ClusterScenario scenario = new ClusterScenario(5, 8);
        scenario.advance(3_000);
        scenario.workload.submitUncancelledServices(12);
        scenario.advance(60_000);
        int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
        scenario.faults.crash(scenario.leaderIndex(), 40_000);
        scenario.advance(12_000);
        long token = scenario.store.revisionOf("h/roster");
        assertTrue(
                scenario.cloud.agents().stream().allMatch(agent -> agent.fencingToken() >= token),
                "every machine should have received the new leader's token");
        scenario.advance(60_000);
        assertEquals(lostBefore, scenario.checker.tasks.lostOnLeaseExpiry);
        assertEquals(List.of(), scenario.checker.violations);
    }
}
