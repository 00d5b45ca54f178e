package org.hollypick.sim;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.function.ToLongBiFunction;
import org.hollypick.io.Request;

/** Partitions between controllers, agents, the key-value store and the cloud provider. */
final class NetworkFaults {
    /** Milliseconds by which a request, by its sender, is delayed, see {@link SimulatedWorld#requestDelayMs}. */
    ToLongBiFunction<String, Request> requestDelayMs = (from, request) -> 0;

    private final ClusterScenario scenario;
    private final SimulatedWorld world;
    /** Names of agents whose requests are lost. */
    private final Set<String> agentsWithoutOutbound = new HashSet<>();

    NetworkFaults(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
    }

    long delayMs(String from, Request request) {
        return agentsWithoutOutbound.contains(from)
                ? SimulatedWorld.NEVER_DELIVERED
                : requestDelayMs.applyAsLong(from, request);
    }

    /** Nothing passes between a controller and all agents. */
    void partitionFromAgents(int controller, long ms) {
        partitionFromAgents(controller, ms, scenario.cloud.machineNames());
    }

    /** Nothing passes between a controller and the agents with these names. */
    void partitionFromAgents(int controller, long ms, Collection<String> names) {
        for (FakeAgent agent : scenario.cloud.agents()) {
            if (names.contains(agent.name)) {
                partition(controller, agent, ms);
            }
        }
    }

    /** Nothing passes between the agent and any controller. */
    void isolate(FakeAgent agent, long ms) {
        scenario.controllers.forEach(controller -> partition(controller.index, agent, ms));
    }

    private void partition(int controller, FakeAgent agent, long ms) {
        world.cut(agent.name, SimulatedController.publicAddress(controller), ms);
        world.cut(SimulatedController.name(controller), agent.address, ms);
    }

    /** Heartbeats of the agent arrive at that controller, and nothing from there reaches the agent. */
    void dropInbound(FakeAgent agent, int controller, long ms) {
        world.cutOneWay(SimulatedController.name(controller), agent.address, ms);
        world.cutOneWay(SimulatedController.publicAddress(controller), agent.name, ms);
    }

    /** Heartbeats of the agent arrive, and nothing from any controller reaches the agent. */
    void dropInbound(FakeAgent agent, long ms) {
        scenario.controllers.forEach(controller -> dropInbound(agent, controller.index, ms));
    }

    /** Requests of the agent are lost, while commands reach it and are answered. */
    void dropOutbound(FakeAgent agent, long ms) {
        agentsWithoutOutbound.add(agent.name);
        world.schedule(ms, () -> agentsWithoutOutbound.remove(agent.name));
    }

    /** Heartbeats of these agents arrive only once it is over, while commands reach them and are answered. */
    void delayHeartbeats(Collection<String> names, long ms) {
        names.forEach(name -> scenario.controllers.forEach(
                controller -> world.cutOneWay(name, SimulatedController.publicAddress(controller.index), ms)));
    }

    /** Nothing passes between two controllers in the direction of the requests of the first one. */
    void partitionFromPeer(int controller, int peer, long ms) {
        world.cut(SimulatedController.name(controller), SimulatedController.peerAddress(peer), ms);
    }

    /** A controller loses the store and the other controllers, but neither its agents nor its users. */
    void partitionFromStoreAndPeers(int controller, long ms) {
        world.cut(SimulatedController.name(controller), ClusterScenario.STORE_ADDRESS, ms);
        for (SimulatedController other : scenario.controllers) {
            if (other.index != controller) {
                partitionFromPeer(controller, other.index, ms);
                partitionFromPeer(other.index, controller, ms);
            }
        }
    }

    /** Nothing passes between a zone, its controllers included, and anything else; inside it everything does. */
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

    /** From the store, the cloud provider, the users and the controllers of other zones. */
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

    /** From now on only the links of that pattern are up; null: all are. */
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

    /** The digit between the two parts of a name; -1 if it isn't of that shape. */
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
