package org.hollypick.sim;

import java.util.List;
import java.util.function.Predicate;
import org.hollypick.io.Request;

/**
 * Injects random faults. All are drawn from the scenario's random generator, whose draws must keep their order: with
 * another order a seed yields another scenario.
 */
final class RandomFaults {
    /**
     * A kind of request from controllers that faults target.
     *
     * @param path a prefix of the path
     * @param content a text that the body contains
     */
    private record RequestKind(String path, String content) {
        boolean matches(Request request) {
            return request.path().startsWith(path)
                    && (request.body() == null ? "" : request.body().toString()).contains(content);
        }
    }

    private static final List<RequestKind> REQUEST_KINDS = List.of(
            new RequestKind(AgentProtocol.COMMANDS, AgentProtocol.LAUNCH),
            new RequestKind(AgentProtocol.COMMANDS, AgentProtocol.KILL),
            new RequestKind(StoreProtocol.COMMIT, "aborted"),
            new RequestKind(StoreProtocol.COMMIT, "done"),
            new RequestKind(StoreProtocol.COMMIT, LeadershipChecker.LEADER_KEY),
            new RequestKind(StoreProtocol.COMMIT, "h/m/"),
            new RequestKind(StoreProtocol.COMMIT, "h/j/"),
            new RequestKind(StoreProtocol.COMMIT, "h/n/"),
            new RequestKind(CloudProtocol.MACHINES, CloudProtocol.REQUEST_ID),
            new RequestKind(CloudProtocol.TERMINATE, ""),
            new RequestKind("/promise", ""),
            new RequestKind("/keep", ""),
            new RequestKind("/release", ""));

    private final ClusterScenario scenario;
    private final SimulatedWorld world;
    private final FaultInjector faults;
    private final NetworkFaults network;

    RandomFaults(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
        this.faults = scenario.faults;
        this.network = scenario.network;
    }

    /** Schedules single faults at random times. */
    void scheduleFaults(int count, long fromMs, long toMs) {
        for (int i = 0; i < count; i++) {
            world.schedule(fromMs + world.random.nextInt((int) (toMs - fromMs)), this::injectFault);
        }
    }

    /**
     * Schedules pairs of faults that overlap: the second begins milliseconds after a request that follows the first, or
     * within the timeout of a store session, an agent's lease or the time limit for stopping cancelled tasks.
     */
    void scheduleCombinedFaults(int pairs, long fromMs, long toMs) {
        List<Long> distancesMs = List.of(0L, 4_000L, scenario.agentLeaseMs, scenario.cancellationLimitMs());
        for (int i = 0; i < pairs; i++) {
            long firstMs = fromMs + world.random.nextInt((int) (toMs - fromMs));
            long withinMs = distancesMs.get(world.random.nextInt(4));
            world.schedule(firstMs, this::injectCombinableFault);
            if (withinMs == 0) {
                world.schedule(
                        firstMs, () -> faults.injectAtNextRequest(drawRequestKind(), this::injectCombinableFault));
            } else {
                world.schedule(firstMs + world.random.nextInt((int) withinMs), this::injectCombinableFault);
            }
        }
    }

    /**
     * Schedules faults by which responses overtake one another: slow links to the store and between controllers, a
     * leader whose requests the store refuses or that crashes, paused controllers, controllers that the store's
     * responses don't reach, and outages of the store.
     */
    void scheduleReorderingFaults(int count, long fromMs, long toMs) {
        for (int i = 0; i < count; i++) {
            world.schedule(fromMs + world.random.nextInt((int) (toMs - fromMs)), this::injectReorderingFault);
        }
    }

    private Predicate<Request> drawRequestKind() {
        return REQUEST_KINDS.get(world.random.nextInt(REQUEST_KINDS.size()))::matches;
    }

    /** Injects a fault of any kind. */
    private void injectFault() {
        List<FakeAgent> agents = scenario.cloud.agents();
        FakeAgent agent = agents.isEmpty() ? null : agents.get(world.random.nextInt(agents.size()));
        int controller = world.random.nextInt(ClusterScenario.CONTROLLERS);
        long ms = 1_000L + world.random.nextInt(30_000);
        int kind = world.random.nextInt(21);
        switch (kind) {
            case 5, 6, 7, 8, 9, 11, 12, 14, 15 -> {
                if (agent != null) {
                    injectAgentFault(kind, agent, controller, ms);
                }
            }
            case 0, 1 -> faults.crash(controller, faults.drawDowntimeMs(10_000));
            case 2 -> faults.crashAll();
            case 3 -> scenario.store.startOutage(ms);
            case 4 -> partitionFromStore(controller, ms);
            case 10 -> faults.freeze(controller, ms / 2);
            case 13 -> duplicateHeartbeats(ms);
            case 16 -> network.partitionFromStoreAndPeers(controller, ms);
            case 17, 18, 19 -> injectCombinableFault();
            default -> delayRequests(ms);
        }
    }

    private void injectAgentFault(int kind, FakeAgent agent, int controller, long ms) {
        switch (kind) {
            case 5 -> agent.hang(ms);
            case 6 -> world.cut(SimulatedController.name(controller), agent.address, ms);
            case 7 -> network.isolate(agent, ms);
            case 8 -> {
                if (agent.spot) {
                    scenario.cloud.reclaim(agent);
                }
            }
            case 9 -> agent.makeFaulty();
            case 11, 12 -> dropInbound(agent, 3 * ms);
            default -> agent.restart(50 + world.random.nextInt(950), world.random.nextBoolean());
        }
    }

    private void partitionFromStore(int controller, long ms) {
        world.cut(SimulatedController.name(controller), ClusterScenario.STORE_ADDRESS, ms);
        if (world.random.nextInt(3) == 0) {
            network.partitionFromPeer(controller, (controller + 1) % ClusterScenario.CONTROLLERS, ms);
        }
    }

    /** Cuts the network to an agent from one random controller or from all. */
    private void dropInbound(FakeAgent agent, long ms) {
        int drawn = world.random.nextInt(ClusterScenario.CONTROLLERS + 1);
        scenario.controllers.stream()
                .filter(controller -> drawn == ClusterScenario.CONTROLLERS || drawn == controller.index)
                .forEach(controller -> network.dropInbound(agent, controller.index, ms));
    }

    private void duplicateHeartbeats(long ms) {
        world.duplicateHeartbeatProbability = 0.3;
        world.schedule(ms, () -> world.duplicateHeartbeatProbability = 0);
    }

    private void delayRequests(long ms) {
        world.lateRequestProbability = 0.03;
        world.schedule(ms, () -> world.lateRequestProbability = 0);
    }

    private void delayTransactions(long ms) {
        world.lateTransactionProbability = 0.2;
        world.schedule(ms, () -> world.lateTransactionProbability = 0);
    }

    /**
     * Injects a fault of a kind that in combination with another one has violated invariants; most affect the leader.
     */
    private void injectCombinableFault() {
        int leader = scenario.leaderIndexOrFirst();
        long ms = 1_000L + world.random.nextInt(20_000);
        int kind = world.random.nextInt(24);
        if (kind < 8) {
            injectStoreFault(kind, leader, ms);
        } else if (kind < 16) {
            injectReachabilityFault(kind, leader, ms);
        } else {
            injectCompositeFault(kind, leader, ms);
        }
    }

    private void injectStoreFault(int kind, int leader, long ms) {
        String name = SimulatedController.name(leader);
        switch (kind) {
            case 0, 1 -> world.refuseRequests(name, ClusterScenario.STORE_ADDRESS, ms);
            case 2, 3 -> scenario.store.startOutage(scenario.cancellationLimitMs() + ms);
            case 4 -> delayTransactions(ms);
            case 5 -> world.addLatency(ClusterScenario.STORE_ADDRESS, 3_000, ms);
            case 6 -> network.partitionFromStoreAndPeers(leader, 2 * ms);
            default -> world.cutOneWay(ClusterScenario.STORE_ADDRESS, name, ms);
        }
    }

    private void injectReachabilityFault(int kind, int leader, long ms) {
        switch (kind) {
            case 8 -> faults.crash(leader, faults.drawDowntimeMs(5_000));
            case 9 -> faults.crashAll();
            case 10 -> faults.freeze(leader, ms);
            case 11 -> network.partitionFromAgents(leader, 2 * ms, faults.drawMachineNames());
            case 12 ->
                scenario.cloud.agents().stream()
                        .filter(agent -> world.random.nextInt(3) == 0)
                        .forEach(agent -> network.dropInbound(agent, 2 * ms));
            case 13, 14 -> {
                String zone = ClusterScenario.ZONES.get(world.random.nextInt(ClusterScenario.ZONES.size()));
                network.partitionZone(zone, scenario.agentLeaseMs + ms);
            }
            default -> network.delayHeartbeats(faults.drawMachineNames(), scenario.agentLeaseMs + ms);
        }
    }

    private void injectCompositeFault(int kind, int leader, long ms) {
        switch (kind) {
            case 16 -> faults.crashAllBeyondLease();
            case 17 -> faults.failOverRepeatedly(10, 10_000);
            case 18, 19 -> faults.cancelHalfOfJobs(ms);
            case 20, 21 -> faults.refuseLeaderThenStartOutage(scenario.cancellationLimitMs() + ms);
            case 22 -> faults.freezeBeforeSending(leader, drawRequestKind(), ms);
            default -> faults.hangThirdOfMachines(ms);
        }
    }

    private void injectReorderingFault() {
        int leader = scenario.leaderIndexOrFirst();
        long ms = 1_000L + world.random.nextInt(8_000);
        switch (world.random.nextInt(8)) {
            case 0 -> world.addLatency(ClusterScenario.STORE_ADDRESS, 700, ms);
            case 1, 2 -> world.addLatency(SimulatedController.peerAddress(leader), 400, 2 * ms);
            case 3 -> world.refuseRequests(SimulatedController.name(leader), ClusterScenario.STORE_ADDRESS, ms);
            case 4 -> faults.freeze(world.random.nextInt(ClusterScenario.CONTROLLERS), 100 + ms / 2);
            case 5 ->
                world.cutOneWay(
                        ClusterScenario.STORE_ADDRESS,
                        SimulatedController.name(world.random.nextInt(ClusterScenario.CONTROLLERS)),
                        ms);
            case 6 -> faults.crash(leader, faults.drawDowntimeMs(5_000));
            default -> scenario.store.startOutage(ms);
        }
    }
}
