package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/**
 * More machines than a controller has sockets, and less processor time than a failover would like
 * (docs/incidents/storm.md).
 */
class ConnectionStormTest {
    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (r, s) -> new Controller(r, s, OperatorSettings.defaults());
    private static final int SIZE_FACTOR = 30;
    private static final int SOCKETS_PER_CONTROLLER = 150;
    /**
     * The team's quota: room for twice as many machines as a controller has sockets. With the usual quota there were
     * that many only because machines were rented beyond it (docs/incidents/2026-12-03-scale-out-beyond-quota.md).
     */
    private static final double QUOTA_CORES = 2 * SOCKETS_PER_CONTROLLER * FakeCloud.CPUS;

    /** What a day's controllers did: changes of lead, and good machines returned. */
    private static final class ObservedScenario {
        private final ClusterScenario scenario;
        private final List<Long> leaderChangesAtMs = new ArrayList<>();
        private final Set<String> returnedWorkingMachines = new HashSet<>();
        private final Set<String> hungMachines = new HashSet<>();
        private long lastLeaderIncarnation;

        ObservedScenario(long seed, BiFunction<EventLoop, Settings, Controller> version, int sockets) {
            scenario = ClusterScenario.withQuotas(
                    seed, SIZE_FACTOR, List.of(JobDescription.DEFAULT_TEAM), QUOTA_CORES, version);
            scenario.advance(3_000);
            scenario.workload.submitUncancelledServices(30);
            scenario.workload.submitJobs(20, 60_000);
            scenario.advance(70_000);
            scenario.socketLimit = sockets;
            scenario.costPerTaskMs = 1.2;
            lastLeaderIncarnation = leaderIncarnation();
            scenario.world.requestObserver = (from, call) -> {
                if (call.path().equals("/hosts/return")) {
                    call.body().path("bothies").forEach(id -> machineReturned(id.asText()));
                }
            };
        }

        private long leaderIncarnation() {
            return scenario.store.valueOf("h/roster").path("member").asLong();
        }

        /** One that runs services is neither idle nor more than is needed. */
        private void machineReturned(String id) {
            for (FakeAgent agent : scenario.cloud.agents()) {
                if (agent.name.equals(id) && agent.reportedTasks() > 0 && !hungMachines.contains(id)) {
                    returnedWorkingMachines.add(id);
                }
            }
        }

        ObservedScenario advance(long ms) {
            for (long t = 0; t < ms; t += 100) {
                scenario.advance(100);
                if (leaderIncarnation() != lastLeaderIncarnation) {
                    lastLeaderIncarnation = leaderIncarnation();
                    leaderChangesAtMs.add(scenario.world.now);
                }
            }
            return this;
        }
    }

    /** All controllers end, and come back with few sockets and little processor time. */
    private static ObservedScenario crashAllControllers(
            long seed, BiFunction<EventLoop, Settings, Controller> version, int sockets) {
        ObservedScenario observed = new ObservedScenario(seed, version, sockets);
        observed.scenario.faults.crashAll();
        return observed.advance(90_000);
    }

    @Test
    void aCrashOfAllControllersCausesAtMostTwoLeaderChanges() {
        for (int seed = 1; seed <= 4; seed++) {
            ObservedScenario observed = crashAllControllers(seed, CURRENT_VERSION, SOCKETS_PER_CONTROLLER);
            assertTrue(
                    observed.scenario.cloud.agents().size() > 1.5 * SOCKETS_PER_CONTROLLER,
                    "more machines than sockets: "
                            + observed.scenario.cloud.agents().size());
            assertTrue(
                    observed.leaderChangesAtMs.size() <= 2,
                    "seed " + seed + ": the lead changed at " + observed.leaderChangesAtMs);
            assertEquals(Set.of(), observed.returnedWorkingMachines, "seed " + seed);
            assertEquals(List.of(), observed.scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * One after the other, the key-value store away in between, and a leader that stands still: as many changes of lead
     * as there are faults, at most.
     */
    @Test
    void consecutiveFaultsCauseNoMoreLeaderChangesThanFaults() {
        for (int seed = 1; seed <= 3; seed++) {
            ObservedScenario observed = new ObservedScenario(seed, CURRENT_VERSION, SOCKETS_PER_CONTROLLER);
            for (int node = 0; node < 3; node++) {
                int n = node;
                observed.scenario.world.schedule(1_000 + 20_000 * node, () -> observed.scenario.faults.crash(n, 6_000));
            }
            observed.scenario.world.schedule(65_000, () -> observed.scenario.store.startOutage(12_000));
            observed.scenario.world.schedule(
                    90_000, () -> observed.scenario.faults.freeze(observed.scenario.leaderIndex(), 7_000));
            observed.advance(160_000);
            assertTrue(
                    observed.leaderChangesAtMs.size() <= 5,
                    "seed " + seed + ": the lead changed at " + observed.leaderChangesAtMs);
            assertEquals(Set.of(), observed.returnedWorkingMachines, "seed " + seed);
            assertEquals(List.of(), observed.scenario.checker.violations, "seed " + seed);
        }
    }

    /** What hangs is still returned, and soon, although sockets are short. */
    @Test
    void hungMachinesAreReturnedWhileSocketsAreScarce() {
        ObservedScenario observed = crashAllControllers(1, CURRENT_VERSION, SOCKETS_PER_CONTROLLER);
        List<FakeAgent> some = observed.scenario.cloud.agents().subList(0, 12);
        some.forEach(m -> {
            observed.hungMachines.add(m.name);
            m.hang(120_000);
        });
        observed.advance(25_000);
        assertTrue(
                observed.hungMachines.stream().noneMatch(observed.scenario.cloud.machineNames()::contains),
                "still there");
        assertEquals(Set.of(), observed.returnedWorkingMachines);
    }

    /**
     * As it was: a call that this controller had no socket for counts like a machine's silence, and no other controller
     * is asked.
     */
    @Test
    void checksDetectSocketExhaustionTreatedAsNoResponse() {
        BiFunction<EventLoop, Settings, Controller> faulty = (r, s) -> CURRENT_VERSION.apply(
                new DelegatingEventLoop(r) {
                    @Override
                    public void send(Request call, Consumer<Response> callback) {
                        if (call.path().equals("/reach")) {
                            r.after(1, () -> callback.accept(new Response(404, null)));
                        } else {
                            super.send(
                                    call,
                                    a -> callback.accept(
                                            a.failedWith(Response.Failure.NO_CAPACITY) ? Response.noResponse() : a));
                        }
                    }
                },
                s);
        boolean noticed = false;
        for (int seed = 1; seed <= 6 && !noticed; seed++) {
            ObservedScenario observed = crashAllControllers(seed, faulty, SOCKETS_PER_CONTROLLER * 3 / 5);
            noticed = !observed.returnedWorkingMachines.isEmpty() || observed.leaderChangesAtMs.size() > 2;
        }
        assertTrue(noticed);
    }
}
