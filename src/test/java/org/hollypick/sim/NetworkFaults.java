package org.hollypick.sim;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.ToLongBiFunction;
import org.hollypick.io.Request;

/** Injects network partitions between controllers, agents, the key-value store, the cloud provider and users. */
final class NetworkFaults {
    /**
     * Milliseconds by which a request, given with the name of its sender, is delayed; applied by
     * {@link SimulatedWorld#requestDelayMs}.
     */
    ToLongBiFunction<String, Request> requestDelayMs = (from, request) -> 0;

    private final ClusterScenario scenario;
    private final SimulatedWorld world;
    /** Names of agents whose outbound requests are lost. */
    private final Set<String> agentsWithoutOutbound = new HashSet<>();

    NetworkFaults(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
    }

    /** The delay of a request, in milliseconds; {@link SimulatedWorld#NEVER_DELIVERED} if it is never delivered. */
    long delayMs(String from, Request request) {
        return agentsWithoutOutbound.contains(from)
                ? SimulatedWorld.NEVER_DELIVERED
                : requestDelayMs.applyAsLong(from, request);
    }

    /** Cuts the network between a controller and all agents. */
    void partitionFromAgents(int controller, long ms) {
        partitionFromAgents(controller, ms, scenario.cloud.machineNames());
    }

    /** Cuts the network between a controller and the agents with the given names. */
    void partitionFromAgents(int controller, long ms, Collection<String> names) {
        for (FakeAgent agent : scenario.cloud.agents()) {
            if (names.contains(agent.name)) {
                partition(controller, agent, ms);
            }
        }
    }

    /** Cuts the network between an agent and all controllers. */
    void isolate(FakeAgent agent, long ms) {
        scenario.controllers.forEach(controller -> partition(controller.index, agent, ms));
    }

    private void partition(int controller, FakeAgent agent, long ms) {
        world.cut(agent.name, SimulatedController.publicAddress(controller), ms);
        world.cut(SimulatedController.name(controller), agent.address, ms);
    }

    /** Cuts the network from a controller to an agent, while the agent's heartbeats reach the controller. */
    void dropInbound(FakeAgent agent, int controller, long ms) {
        world.cutOneWay(SimulatedController.name(controller), agent.address, ms);
        world.cutOneWay(SimulatedController.publicAddress(controller), agent.name, ms);
    }

    /** Cuts the network from all controllers to an agent, while the agent's heartbeats reach them. */
    void dropInbound(FakeAgent agent, long ms) {
        scenario.controllers.forEach(controller -> dropInbound(agent, controller.index, ms));
    }

    /** Drops all requests of an agent, while commands reach it and their responses arrive. */
    void dropOutbound(FakeAgent agent, long ms) {
        agentsWithoutOutbound.add(agent.name);
        world.schedule(ms, () -> agentsWithoutOutbound.remove(agent.name));
    }

    /** Holds back the heartbeats of agents until the fault ends, while commands and their responses are delivered. */
    void delayHeartbeats(Collection<String> names, long ms) {
        names.forEach(name -> scenario.controllers.forEach(
                controller -> world.cutOneWay(name, SimulatedController.publicAddress(controller.index), ms)));
    }

    /** Cuts off the requests that one controller sends to another, and the responses to them. */
    void partitionFromPeer(int controller, int peer, long ms) {
        world.cut(SimulatedController.name(controller), SimulatedController.peerAddress(peer), ms);
    }

    /** Cuts a controller off from the store and the other controllers, but not from agents and users. */
    void partitionFromStoreAndPeers(int controller, long ms) {
        world.cut(SimulatedController.name(controller), ClusterScenario.STORE_ADDRESS, ms);
        for (SimulatedController other : scenario.controllers) {
            if (other.index != controller) {
                partitionFromPeer(controller, other.index, ms);
                partitionFromPeer(other.index, controller, ms);
            }
        }
    }

    /** Cuts a zone, including its controllers, off from everything outside; the network inside it works. */
    void partitionZone(String zone, long ms) {
        for (SimulatedController controller : scenario.controllers) {
            boolean isInside = controller.zone.equals(zone);
            if (isInside) {
                partitionFromOutside(controller, ms);
            }
            for (FakeAgent agent : scenario.cloud.agents()) {
                if (isInside != agent.zone.equals(zone)) {
                    partition(controller.index, agent, ms);
                }
            }
        }
    }

    /** Cuts a controller off from the store, the cloud provider, users and the controllers of other zones. */
    private void partitionFromOutside(SimulatedController controller, long ms) {
        world.cut(controller.name(), ClusterScenario.STORE_ADDRESS, ms);
        world.cut(controller.name(), ClusterScenario.CLOUD_ADDRESS, ms);
        world.cut("user", SimulatedController.publicAddress(controller.index), ms);
        for (SimulatedController other : scenario.controllers) {
            if (!other.zone.equals(controller.zone)) {
                partitionFromPeer(controller.index, other.index, ms);
                partitionFromPeer(other.index, controller.index, ms);
            }
        }
    }

    /** Takes all links down except those of the pattern; null brings all links up. */
    void apply(LinkPattern links) {
        world.blockLinks(links == null ? (from, to) -> false : (from, to) -> !isUp(links, from, to));
    }

    private boolean isUp(LinkPattern links, String from, String to) {
        int controller = index(from, SimulatedController.NAME_PREFIX, "");
        if (controller < 0) {
            int receiver = index(to, SimulatedController.PUBLIC_PREFIX, SimulatedController.PORT);
            String zone = zoneOfAgent(from);
            return receiver < 0 || zone == null || links.reachesAgents(receiver, zone);
        }
        if (to.equals(ClusterScenario.STORE_ADDRESS)) {
            return links.reachesStore(controller);
        }
        int peer = index(to, SimulatedController.PEER_PREFIX, SimulatedController.PORT);
        if (peer >= 0) {
            return links.reachesPeer(controller, peer);
        }
        String zone = zoneOfAgent(to);
        return zone == null || links.reachesAgents(controller, zone);
    }

    /** The digit between the prefix and the suffix of a name; -1 if the name has another form. */
    private static int index(String name, String prefix, String suffix) {
        return name.length() == prefix.length() + 1 + suffix.length()
                        && name.startsWith(prefix)
                        && name.endsWith(suffix)
                ? name.charAt(prefix.length()) - '0'
                : -1;
    }

    /** The zone of the agent with that name or address; null if there is none. */
    private String zoneOfAgent(String nameOrAddress) {
        for (FakeAgent agent : scenario.cloud.agents()) {
            if (agent.name.equals(nameOrAddress) || agent.address.equals(nameOrAddress)) {
                return agent.zone;
            }
        }
        return null;
    }
}
