package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the cloud, as PROTOCOL describes it: it lists, rents and takes back {@link Worker}s. */
final class Cloud {
    private static final class Host {
        String name;
        JsonNode type;
        String hall;
        boolean lendable;
        double rentedAt;
        double upAt;
        Worker worker;
    }

    /** Starts a machine's worker. */
    interface Boot {
        Worker boot(String name, JsonNode type, String hall, boolean lendable) throws IOException;
    }

    final int port;
    private final Map<String, JsonNode> types = new LinkedHashMap<>();
    private final double listLagS;
    private final Boot boot;
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final Map<String, List<String>> hires = new HashMap<>();
    /** Machines left by type, hall and kind. */
    private final Map<String, Integer> capacity = new HashMap<>();
    private int next = 1;

    Cloud(JsonNode flavours, double listLagS, Map<String, Integer> capacity, Boot boot) throws IOException {
        flavours.forEach(type -> types.put(type.path("sku").asText(), type));
        this.listLagS = listLagS;
        this.capacity.putAll(capacity);
        this.boot = boot;
        this.port = Wire.freePort();
        Wire.serve(port, this::handle);
        Thread booting = new Thread(() -> {
            while (true) {
                Wire.sleep(0.1);
                bootDue();
            }
        });
        booting.setDaemon(true);
        booting.start();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Adds a machine that is up at the start. */
    synchronized Worker addUp(String type, String hall, boolean lendable) throws IOException {
        Host host = add(types.get(type), hall, lendable, 0);
        host.rentedAt = -300;
        host.upAt = -200;
        host.worker = boot.boot(host.name, host.type, hall, lendable);
        return host.worker;
    }

    private Host add(JsonNode type, String hall, boolean lendable, double bootS) {
        Host host = new Host();
        host.name = String.format("n-%06d", next++);
        host.type = type;
        host.hall = hall;
        host.lendable = lendable;
        host.rentedAt = Wire.now();
        host.upAt = Wire.now() + bootS;
        hosts.put(host.name, host);
        return host;
    }

    private synchronized void bootDue() {
        for (Host host : hosts.values()) {
            if (host.worker == null && Wire.now() >= host.upAt) {
                try {
                    host.worker = boot.boot(host.name, host.type, host.hall, host.lendable);
                } catch (IOException e) {
                    Wire.log("cannot start a worker: " + e);
                }
            }
        }
    }

    synchronized List<Worker> workers() {
        List<Worker> up = new ArrayList<>();
        for (Host host : hosts.values()) {
            if (host.worker != null && !host.worker.isGone()) {
                up.add(host.worker);
            }
        }
        return up;
    }

    private synchronized Wire.Answer handle(String method, String path, Map<String, String> query, JsonNode body) {
        if (path.equals("/machine_types")) {
            ObjectNode answer = Wire.map();
            ArrayNode list = answer.putArray("flavours");
            types.values().forEach(list::add);
            return new Wire.Answer(200, answer);
        }
        if (path.equals("/hosts") && method.equals("POST")) {
            return hire(body);
        }
        if (path.equals("/hosts/return")) {
            body.path("bothies").forEach(name -> {
                Host host = hosts.remove(name.asText());
                if (host != null) {
                    capacity.merge(pool(host.type.path("sku").asText(), host.hall, host.lendable), 1, Integer::sum);
                    Wire.log("cloud returned " + host.name);
                    if (host.worker != null) {
                        host.worker.vanish();
                    }
                }
            });
            return new Wire.Answer(200, Wire.map());
        }
        if (path.equals("/hosts")) {
            return list(query);
        }
        return new Wire.Answer(400, Wire.map());
    }

    static String pool(String type, String hall, boolean lendable) {
        return type + "/" + hall + "/" + lendable;
    }

    private Wire.Answer hire(JsonNode body) {
        String hire = body.path("hire").asText();
        List<String> names = hires.get(hire);
        if (names == null) {
            JsonNode type = types.get(body.path("flavour").asText());
            String hall = body.path("hall").asText();
            boolean lendable = body.path("lendable").asBoolean();
            if (type == null) {
                return new Wire.Answer(400, Wire.map());
            }
            String pool = pool(type.path("sku").asText(), hall, lendable);
            int count = Math.min(body.path("number").asInt(), capacity.getOrDefault(pool, 0));
            if (count == 0) {
                Wire.log("cloud has no capacity for " + pool);
                return new Wire.Answer(503, Wire.map().put("error", "no capacity"));
            }
            capacity.merge(pool, -count, Integer::sum);
            names = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                names.add(add(type, hall, lendable, type.path("ready_s").asDouble()).name);
            }
            hires.put(hire, names);
            Wire.log("cloud rented " + names + " of " + pool);
        }
        ObjectNode answer = Wire.map();
        ArrayNode list = answer.putArray("bothies");
        names.forEach(list::add);
        return new Wire.Answer(200, answer);
    }

    private Wire.Answer list(Map<String, String> query) {
        String from = query.getOrDefault("from", "");
        int page = Math.min(500, Integer.parseInt(query.getOrDefault("page", "500")));
        ObjectNode answer = Wire.map();
        ArrayNode list = answer.putArray("bothies");
        boolean truncated = false;
        double asOf = Wire.now() - listLagS;
        for (Host host : hosts.tailMap(from, false).values()) {
            if (host.rentedAt > asOf) {
                continue;
            }
            if (list.size() >= page) {
                truncated = true;
                break;
            }
            ObjectNode one = list.addObject()
                    .put("name_id", host.name)
                    .put("flavour", host.type.path("sku").asText())
                    .put("hall", host.hall)
                    .put("lendable", host.lendable)
                    .put("status", host.upAt <= asOf ? "running" : "starting")
                    .put("age_s", asOf - host.rentedAt);
            if (host.worker != null) {
                one.put("addr", host.worker.address());
            }
        }
        answer.put("truncated", truncated);
        return new Wire.Answer(200, answer);
    }
}
