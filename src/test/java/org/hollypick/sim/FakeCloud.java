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
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;

/** The cloud, written from the protocol: requests by name, boot times, a late list. */
final class FakeCloud implements SimulatedWorld.Endpoint {
    /** The only type of machine. */
    static final String TYPE = "t4";

    static final double CPUS = 8;
    static final double RAM_GB = 64;
    private static final long LAG_MS = 4_000;

    private static final class Host {
        String zone;
        boolean spot;
        long born;
        FakeAgent worker;
        boolean failed;
    }

    private record Snapshot(long at, ArrayNode list) {}

    private final SimulatedWorld world;
    private final BiFunction<String, Host, FakeAgent> boot;
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final Map<String, ObjectNode> answered = new LinkedHashMap<>();
    private final List<Snapshot> snapshots = new ArrayList<>();
    private final Map<String, Integer> capacity = new LinkedHashMap<>();
    private int names;
    /** Machines are up within that many milliseconds of their rental. */
    int bootMs = 8_000;
    /** Lists are in turn as new and as old as they may be, so that every second one is older than the one before. */
    boolean alternatingLists;

    private boolean oldList;
    /** Sees each machine that comes up. */
    Consumer<FakeAgent> booted = w -> {};

    FakeCloud(
            SimulatedWorld world,
            InvariantChecker checker,
            List<String> nodes,
            List<String> zones,
            long leaseMs,
            int size) {
        this.world = world;
        for (String z : zones) {
            capacity.put(z + true, 3 * size);
            capacity.put(z + false, 4 * size);
        }
        this.boot = (name, h) -> {
            String addr = "w-" + name + ":9000";
            FakeAgent w = new FakeAgent(world, checker, nodes, name, addr, h.zone, h.spot, CPUS, leaseMs);
            world.listen(addr, w);
            return w;
        };
        snapshot();
    }

    private void snapshot() {
        ArrayNode list = Codec.array();
        hosts.forEach((name, h) -> list.addObject()
                .put("name_id", name)
                .put("addr", "w-" + name + ":9000")
                .put("flavour", "t4")
                .put("hall", h.zone)
                .put("lendable", h.spot)
                .put("status", h.failed ? "failed" : h.worker == null ? "starting" : "running")
                .put("age_s", (world.now - h.born) / 1000.0));
        snapshots.add(new Snapshot(world.now, list));
        snapshots.removeIf(s -> s.at < world.now - 3 * LAG_MS);
        world.at(1_000, this::snapshot);
    }

    /** The machines that there are. */
    Set<String> names() {
        return hosts.keySet();
    }

    List<FakeAgent> workers() {
        List<FakeAgent> list = new ArrayList<>();
        hosts.values().forEach(h -> {
            if (h.worker != null && !h.worker.gone) {
                list.add(h.worker);
            }
        });
        return list;
    }

    /** Spot machines taken back without notice. */
    void take(FakeAgent w) {
        w.vanish();
        hosts.remove(w.name);
    }

    @Override
    public void request(String method, String path, JsonNode body, Consumer<Response> callback) {
        if (path.equals("/machine_types")) {
            ObjectNode r = Codec.object();
            r.putArray("flavours")
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
                    .putArray("halls")
                    .add("a")
                    .add("b");
            callback.accept(new Response(200, r));
        } else if (path.equals("/hosts")) {
            callback.accept(hire(body));
        } else if (path.equals("/hosts/return")) {
            for (JsonNode id : body.path("bothies")) {
                Host h = hosts.remove(id.asText());
                if (h != null && h.worker != null) {
                    h.worker.vanish();
                }
            }
            callback.accept(new Response(200, Codec.object()));
        } else {
            oldList = !oldList;
            long oldest = oldList ? 2 * LAG_MS - 1_000 : 0;
            long wanted = world.now - (alternatingLists ? oldest : world.random.nextInt((int) (2 * LAG_MS)));
            Snapshot s = snapshots.get(0);
            for (Snapshot other : snapshots) {
                if (other.at <= wanted) {
                    s = other;
                }
            }
            // A snapshot is at most twice the lag old.
            if (s.at < world.now - 2 * LAG_MS) {
                s = snapshots.get(snapshots.size() - 1);
            }
            ObjectNode r = Codec.object().put("truncated", false);
            r.set("bothies", s.list.deepCopy());
            callback.accept(new Response(200, r));
        }
    }

    private Response hire(JsonNode body) {
        String request = body.path("hire").asText();
        if (answered.containsKey(request)) {
            return new Response(200, answered.get(request));
        }
        String kind = body.path("hall").asText() + body.path("lendable").asBoolean();
        long used = hosts.values().stream()
                .filter(h -> (h.zone + h.spot).equals(kind))
                .count();
        int count = (int) Math.min(body.path("number").asInt(), capacity.get(kind) - used);
        if (count <= 0) {
            return new Response(503, Codec.object().put("error", "no capacity"));
        }
        ObjectNode r = Codec.object();
        ArrayNode list = r.putArray("bothies");
        for (int i = 0; i < count; i++) {
            String name = String.format("n-%06d", names++);
            Host h = new Host();
            h.zone = body.path("hall").asText();
            h.spot = body.path("lendable").asBoolean();
            h.born = world.now;
            hosts.put(name, h);
            list.add(name);
            world.at(world.random.nextInt(bootMs), () -> {
                if (hosts.get(name) == h) {
                    h.worker = boot.apply(name, h);
                    booted.accept(h.worker);
                }
            });
        }
        answered.put(request, r);
        return new Response(200, r);
    }
}
