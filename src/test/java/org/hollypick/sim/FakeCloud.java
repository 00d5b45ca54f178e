package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;

/**
 * A simulated cloud provider, written from its protocol: idempotent creation of machines, boot times, machine lists
 * that lag.
 */
final class FakeCloud implements SimulatedWorld.Endpoint {
    /** The only machine type. */
    static final String TYPE = "t4";

    static final double CPUS = 8;
    static final double RAM_GB = 64;
    private static final long LIST_LAG_MS = 4_000;
    /** The maximum age of a list. */
    private static final long MAX_LIST_AGE_MS = 2 * LIST_LAG_MS;

    private static final long SNAPSHOT_INTERVAL_MS = 1_000;
    private static final long SNAPSHOTS_KEPT_MS = 3 * LIST_LAG_MS;
    /** The number of spot machines available in each zone, per unit of the cluster's size factor. */
    private static final int SPOT_CAPACITY = 3;

    /** The number of on-demand machines available in each zone, per unit of the cluster's size factor. */
    private static final int ON_DEMAND_CAPACITY = 4;

    private static final class Machine {
        private final MachineIdentity identity;
        private final long createdAt;
        /** The agent; null until the machine has booted. */
        private FakeAgent agent;

        private Machine(MachineIdentity identity, long createdAt) {
            this.identity = identity;
            this.createdAt = createdAt;
        }
    }

    private record Pool(String zone, boolean spot) {}

    private record Snapshot(long at, ArrayNode list) {}

    private final SimulatedWorld world;
    private final InvariantChecker checker;
    private final List<String> controllers;
    private final long agentLeaseMs;
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, ObjectNode> responsesByRequest = new LinkedHashMap<>();
    private final List<Snapshot> snapshots = new ArrayList<>();
    private final Map<Pool, Integer> capacity = new LinkedHashMap<>();
    private int createdMachines;
    /** The maximum boot time in milliseconds, exclusive. */
    int maxBootMs = 8_000;
    /**
     * Whether lists alternate between the oldest and the newest allowed, so that every second one is older than its
     * predecessor.
     */
    boolean alternatesListAge;

    private boolean isOldListNext;
    /** Called with each machine that has booted. */
    Consumer<FakeAgent> bootListener = agent -> {};

    FakeCloud(
            SimulatedWorld world,
            InvariantChecker checker,
            List<String> controllers,
            List<String> zones,
            long agentLeaseMs,
            int sizeFactor) {
        this.world = world;
        this.checker = checker;
        this.controllers = controllers;
        this.agentLeaseMs = agentLeaseMs;
        for (String zone : zones) {
            capacity.put(new Pool(zone, true), SPOT_CAPACITY * sizeFactor);
            capacity.put(new Pool(zone, false), ON_DEMAND_CAPACITY * sizeFactor);
        }
        takeSnapshot();
    }

    /** The names of all machines, including those that are still booting. */
    Set<String> machineNames() {
        return machines.keySet();
    }

    /** The agents of all machines that have booted. */
    List<FakeAgent> agents() {
        List<FakeAgent> agents = new ArrayList<>();
        machines.values().forEach(machine -> {
            if (machine.agent != null && !machine.agent.isTerminated()) {
                agents.add(machine.agent);
            }
        });
        return agents;
    }

    /** Reclaims a spot instance without notice. */
    void reclaim(FakeAgent agent) {
        agent.terminate();
        machines.remove(agent.name);
    }

    @Override
    public void request(String method, String path, JsonNode body, Consumer<Response> callback) {
        callback.accept(
                switch (path) {
                    case CloudProtocol.MACHINE_TYPES -> machineTypes();
                    case CloudProtocol.MACHINES -> create(body);
                    case CloudProtocol.TERMINATE -> terminate(body);
                    default -> list();
                });
    }

    private static Response machineTypes() {
        ObjectNode answer = Codec.object();
        answer.putArray(CloudProtocol.TYPES)
                .addObject()
                .put("sku", TYPE)
                .put("cores", CPUS)
                .put("gpus", 0.0)
                .put("ram_gb", RAM_GB)
                .put("cache_gb", 50.0)
                .put("pull_gb_per_s", 1.0)
                .put("price", 1.0)
                .put("market_price", 0.4)
                .put("ready_s", 6.0)
                .putArray(CloudProtocol.ZONES)
                .add("a")
                .add("b");
        return new Response(200, answer);
    }

    /** Creates machines; a repeated request gets the response to the first one. */
    private Response create(JsonNode body) {
        String requestId = body.path(CloudProtocol.REQUEST_ID).asText();
        if (responsesByRequest.containsKey(requestId)) {
            return new Response(200, responsesByRequest.get(requestId));
        }
        Pool pool = new Pool(
                body.path(CloudProtocol.ZONE).asText(),
                body.path(CloudProtocol.SPOT).asBoolean());
        long used = machines.values().stream()
                .filter(machine -> machine.identity.zone().equals(pool.zone) && machine.identity.spot() == pool.spot)
                .count();
        int count = (int) Math.min(body.path(CloudProtocol.COUNT).asInt(), capacity.get(pool) - used);
        if (count <= 0) {
            return new Response(503, Codec.object().put("error", "no capacity"));
        }
        ObjectNode answer = Codec.object();
        ArrayNode names = answer.putArray(CloudProtocol.MACHINE_IDS);
        for (int i = 0; i < count; i++) {
            names.add(create(pool));
        }
        responsesByRequest.put(requestId, answer);
        return new Response(200, answer);
    }

    private String create(Pool pool) {
        String name = String.format("n-%06d", createdMachines++);
        Machine machine = new Machine(new MachineIdentity(name, address(name), pool.zone, pool.spot, CPUS), world.now);
        machines.put(name, machine);
        world.schedule(world.random.nextInt(maxBootMs), () -> {
            if (machines.get(name) == machine) {
                boot(machine);
            }
        });
        return name;
    }

    private static String address(String name) {
        return "w-" + name + ":9000";
    }

    private void boot(Machine machine) {
        machine.agent = new FakeAgent(world, checker, controllers, machine.identity, agentLeaseMs);
        world.listen(machine.identity.address(), machine.agent);
        bootListener.accept(machine.agent);
    }

    private Response terminate(JsonNode body) {
        for (JsonNode name : body.path(CloudProtocol.MACHINE_IDS)) {
            Machine machine = machines.remove(name.asText());
            if (machine != null && machine.agent != null) {
                machine.agent.terminate();
            }
        }
        return new Response(200, Codec.object());
    }

    private Response list() {
        isOldListNext = !isOldListNext;
        long oldestAgeMs = isOldListNext ? MAX_LIST_AGE_MS - SNAPSHOT_INTERVAL_MS : 0;
        long wantedAt = world.now - (alternatesListAge ? oldestAgeMs : world.random.nextInt((int) MAX_LIST_AGE_MS));
        Snapshot snapshot = snapshots.get(0);
        for (Snapshot other : snapshots) {
            if (other.at <= wantedAt) {
                snapshot = other;
            }
        }
        if (snapshot.at < world.now - MAX_LIST_AGE_MS) {
            snapshot = snapshots.get(snapshots.size() - 1);
        }
        ObjectNode answer = Codec.object().put("truncated", false);
        answer.set(CloudProtocol.MACHINE_IDS, snapshot.list.deepCopy());
        return new Response(200, answer);
    }

    private void takeSnapshot() {
        ArrayNode list = Codec.array();
        machines.forEach((name, machine) -> list.addObject()
                .put(CloudProtocol.MACHINE_ID, name)
                .put(CloudProtocol.ADDRESS, machine.identity.address())
                .put(CloudProtocol.MACHINE_TYPE, TYPE)
                .put(CloudProtocol.ZONE, machine.identity.zone())
                .put(CloudProtocol.SPOT, machine.identity.spot())
                .put(CloudProtocol.STATUS, machine.agent == null ? "starting" : "running")
                .put(CloudProtocol.AGE_S, (world.now - machine.createdAt) / 1000.0));
        snapshots.add(new Snapshot(world.now, list));
        snapshots.removeIf(snapshot -> snapshot.at < world.now - SNAPSHOTS_KEPT_MS);
        world.schedule(SNAPSHOT_INTERVAL_MS, this::takeSnapshot);
    }
}
