package org.hollypick.sim;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.hollypick.io.Request;

/** Faults of processes, and combinations of these with failovers, cancellations and outages of the store. */
final class FaultInjector {
    /**
     * Milliseconds within which a fault strikes after the request that it is aimed at was sent: a request, its
     * execution and its answer take up to 11.
     */
    private static final int MAX_FAULT_DELAY_MS = 15;

    private static final long STORE_REFUSAL_MS = 1_500;

    private final ClusterScenario scenario;
    private final SimulatedWorld world;
    private final List<SimulatedController> controllers;

    FaultInjector(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
        this.controllers = scenario.controllers;
    }

    /** A controller's process ends; another one starts after a while. */
    void crash(int controller, long downtimeMs) {
        controllers.get(controller).crash(downtimeMs);
    }

    /** All controllers' processes end; each comes back after a time of its own. */
    void crashAll() {
        controllers.forEach(controller -> controller.crash(drawDowntimeMs(4_000)));
    }

    /** A controller's process stands still while its clocks run on. */
    void freeze(int controller, long ms) {
        controllers.get(controller).process.freeze(ms);
    }

    /** The leader stands still between the decision for its next request of that kind and sending it. */
    void freezeLeaderBeforeSending(Predicate<Request> which, long ms) {
        freezeBeforeSending(scenario.leaderIndex(), which, ms);
    }

    void freezeBeforeSending(int controller, Predicate<Request> which, long ms) {
        controllers.get(controller).process.freezeBeforeSending(which, ms);
    }

    /** How long a process is away: a fraction of a second as often as up to twice {@code slowMs}. */
    long drawDowntimeMs(int slowMs) {
        return world.random.nextBoolean() ? 50 + world.random.nextInt(950) : slowMs + world.random.nextInt(slowMs);
    }

    /** The next request of that kind brings the fault about: before it arrives, while it is executed or answered. */
    void injectAtNextRequest(Predicate<Request> which, Runnable fault) {
        AtomicBoolean hasStruck = new AtomicBoolean();
        world.requestObserver = world.requestObserver.andThen((from, request) -> {
            if (!hasStruck.get() && which.test(request)) {
                hasStruck.set(true);
                world.schedule(world.random.nextInt(MAX_FAULT_DELAY_MS), fault);
            }
        });
    }

    /**
     * All controllers are away for longer than a lease and come back at different moments; the first of them ends once
     * more and is back within a fifth of a second.
     */
    void crashAllBeyondLease() {
        int first = world.random.nextInt(controllers.size());
        for (SimulatedController controller : controllers) {
            crash(
                    controller.index,
                    scenario.agentLeaseMs + (controller.index == first ? 500 : 2_000 + world.random.nextInt(6_000)));
        }
        world.schedule(
                scenario.agentLeaseMs + 500 + world.random.nextInt(1_500),
                () -> crash(first, 1 + world.random.nextInt(199)));
    }

    /** The leader ends that many times, each time to be back at once or after the next failover. */
    void failOverRepeatedly(int times, long intervalMs) {
        for (int i = 0; i < times; i++) {
            world.schedule(
                    i * intervalMs,
                    () -> crash(scenario.leaderIndexOrFirst(), world.random.nextBoolean() ? 200 : intervalMs - 1_000));
        }
    }

    /**
     * Users cancel half of the unfinished jobs within a fifth of a second, and a third of the machines hang that long;
     * 0: none does.
     */
    void cancelHalfOfJobs(long hangMs) {
        scenario.checker.submitted.keySet().stream()
                .filter(id -> !scenario.checker.isTerminal(id) && scenario.users.mayCancel(id))
                .sorted()
                .filter(id -> world.random.nextBoolean())
                .forEach(id -> world.schedule(world.random.nextInt(200), () -> scenario.users.cancel(id)));
        if (hangMs > 0) {
            hangThirdOfMachines(hangMs);
        }
    }

    void hangThirdOfMachines(long ms) {
        scenario.cloud.agents().stream()
                .filter(agent -> world.random.nextInt(3) == 0)
                .forEach(agent -> agent.hang(ms));
    }

    /** Users cancel at the moment when the store refuses the leader alone; a second later it is out for all. */
    void refuseLeaderThenStartOutage(long outageMs) {
        String leader = scenario.leadership.hasLeader() ? scenario.leaderName() : SimulatedController.name(0);
        world.refuseRequests(leader, ClusterScenario.STORE_ADDRESS, STORE_REFUSAL_MS);
        cancelHalfOfJobs(0);
        world.schedule(1_000, () -> scenario.store.startOutage(outageMs));
    }

    /** The names of two thirds of the machines, drawn. */
    Collection<String> drawMachineNames() {
        Set<String> names = new HashSet<>(scenario.cloud.machineNames());
        names.removeIf(name -> world.random.nextInt(3) == 0);
        return names;
    }
}
