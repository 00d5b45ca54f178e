package org.hollypick.sim;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.hollypick.io.Request;

/** Injects process faults, and combinations of faults with failovers, cancellations and outages of the store. */
final class FaultInjector {
    /**
     * Milliseconds after the sending of the targeted request within which a fault occurs. A request, its execution and
     * its response take up to 11 ms.
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

    /** Ends a controller's process; a new one starts after the downtime. */
    void crash(int controller, long downtimeMs) {
        controllers.get(controller).crash(downtimeMs);
    }

    /** Ends all controllers' processes; each is restarted after its own random downtime. */
    void crashAll() {
        controllers.forEach(controller -> controller.crash(drawDowntimeMs(4_000)));
    }

    /** Pauses a controller's process while its clocks run on. */
    void freeze(int controller, long ms) {
        controllers.get(controller).process.freeze(ms);
    }

    /** Pauses the leader between its decision to send the next matching request and the sending. */
    void freezeLeaderBeforeSending(Predicate<Request> matching, long ms) {
        freezeBeforeSending(scenario.leaderIndex(), matching, ms);
    }

    /** Pauses a controller between its decision to send the next matching request and the sending. */
    void freezeBeforeSending(int controller, Predicate<Request> matching, long ms) {
        controllers.get(controller).process.freezeBeforeSending(matching, ms);
    }

    /** Draws a downtime: with equal chance 50 to 1,000 ms, or {@code slowMs} to twice that. */
    long drawDowntimeMs(int slowMs) {
        return world.random.nextBoolean() ? 50 + world.random.nextInt(950) : slowMs + world.random.nextInt(slowMs);
    }

    /**
     * Injects a fault shortly after the next matching request was sent: before the request arrives, during its
     * execution, or while the response is in transit.
     */
    void injectAtNextRequest(Predicate<Request> matching, Runnable fault) {
        AtomicBoolean isInjected = new AtomicBoolean();
        world.requestObserver = world.requestObserver.andThen((from, request) -> {
            if (!isInjected.get() && matching.test(request)) {
                isInjected.set(true);
                world.schedule(world.random.nextInt(MAX_FAULT_DELAY_MS), fault);
            }
        });
    }

    /**
     * Ends all controllers' processes for longer than a lease. They restart at different times; the first one restarted
     * crashes again soon, for less than 200 ms.
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

    /** Crashes the leader repeatedly; each time it restarts after 200 ms, or 1 s before the next crash. */
    void failOverRepeatedly(int times, long intervalMs) {
        for (int i = 0; i < times; i++) {
            world.schedule(
                    i * intervalMs,
                    () -> crash(scenario.leaderIndexOrFirst(), world.random.nextBoolean() ? 200 : intervalMs - 1_000));
        }
    }

    /**
     * Cancels about half of the unfinished jobs within 200 ms, while about a third of the machines hang.
     *
     * @param hangMs how long the machines hang; 0: no machine hangs
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

    /** Lets each machine hang with a chance of a third. */
    void hangThirdOfMachines(long ms) {
        scenario.cloud.agents().stream()
                .filter(agent -> world.random.nextInt(3) == 0)
                .forEach(agent -> agent.hang(ms));
    }

    /**
     * Lets the store refuse the leader's requests for 1.5 s, cancels jobs meanwhile, and after 1 s starts an outage of
     * the store for everyone.
     */
    void refuseLeaderThenStartOutage(long outageMs) {
        String leader = scenario.leadership.hasLeader() ? scenario.leaderName() : SimulatedController.name(0);
        world.refuseRequests(leader, ClusterScenario.STORE_ADDRESS, STORE_REFUSAL_MS);
        cancelHalfOfJobs(0);
        world.schedule(1_000, () -> scenario.store.startOutage(outageMs));
    }

    /** Draws the names of about two thirds of the machines. */
    Collection<String> drawMachineNames() {
        Set<String> names = new HashSet<>(scenario.cloud.machineNames());
        names.removeIf(name -> world.random.nextInt(3) == 0);
        return names;
    }
}
