package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the state service: keys, transactions, holds and watches, as PROTOCOL describes them. */
final class State {
    private record Value(JsonNode data, long stamp, long tenancy) {}

    private record Change(String key, JsonNode data, long stamp) {}

    private static final class Hold {
        long lifeMs;
        long endsAt;
    }

    private static final int KEPT_CHANGES = 10_000;
    private static final int PAGE_BYTES = 512 * 1024;

    final int port;
    private final int valueBytes;
    private final int txnOps;
    private final double rps;
    private final double writeRps;
    private double requestTokens;
    private double writeTokens;
    private long refilledAt = System.nanoTime();
    private long refused;
    private final TreeMap<String, Value> keys = new TreeMap<>();
    private final ArrayDeque<Change> changes = new ArrayDeque<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private long epoch = 1;
    private long nextHold = 1;
    /** While true every request is answered with 503 and watches stay open. */
    volatile boolean outage;
    /** Seconds by which every answer but that of a watch is late. */
    volatile double latencyS;

    State(int valueKb, int txnOps, double rps, double writeRps) throws IOException {
        this.port = Wire.freePort();
        this.valueBytes = valueKb * 1024;
        this.txnOps = txnOps;
        this.rps = rps;
        this.writeRps = writeRps;
        this.requestTokens = rps;
        this.writeTokens = writeRps;
        Wire.serve(port, this::handle);
        Thread expiry = new Thread(() -> {
            while (true) {
                Wire.sleep(0.02);
                expireHolds();
            }
        });
        expiry.setDaemon(true);
        expiry.start();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Stores a value that was written before the run began. */
    synchronized void preload(String key, JsonNode data) {
        epoch++;
        keys.put(key, new Value(data, epoch, 0));
    }

    synchronized int count(String prefix) {
        return keys.subMap(prefix, prefix + "\uffff").size();
    }

    synchronized JsonNode get(String key) {
        Value value = keys.get(key);
        return value == null ? null : value.data;
    }

    synchronized long refused() {
        return refused;
    }

    private synchronized boolean admits(int writes) {
        long now = System.nanoTime();
        double seconds = (now - refilledAt) / 1e9;
        refilledAt = now;
        requestTokens = Math.min(rps, requestTokens + seconds * rps);
        writeTokens = Math.min(writeRps, writeTokens + seconds * writeRps);
        if (requestTokens < 1 || (writes > 0 && writeTokens < writes)) {
            refused++;
            return false;
        }
        requestTokens -= 1;
        writeTokens -= writes;
        return true;
    }

    private Wire.Answer handle(String method, String path, Map<String, String> query, JsonNode body)
            throws Exception {
        if (outage) {
            return error(503, "outage");
        }
        int writes = path.equals("/commit") && body != null ? body.path("then").size() : 0;
        if (!admits(writes)) {
            return error(429, "rate");
        }
        if (path.equals("/watch")) {
            return watch(query);
        }
        Wire.Answer answer = answer(method, path, query, body);
        if (latencyS > 0) {
            Wire.sleep(latencyS);
        }
        return answer;
    }

    private Wire.Answer answer(String method, String path, Map<String, String> query, JsonNode body) {
        if (path.equals("/commit") && method.equals("POST")) {
            return commit(body);
        }
        if (path.equals("/keys")) {
            return list(query);
        }
        if (path.startsWith("/keys/")) {
            return read(path.substring("/keys/".length()));
        }
        if (path.startsWith("/holds")) {
            return hold(method, path, body);
        }
        return error(400, "path");
    }

    private static Wire.Answer error(int status, String text) {
        return new Wire.Answer(status, Wire.map().put("error", text));
    }

    private synchronized Wire.Answer read(String key) {
        Value value = keys.get(key);
        if (value == null) {
            return new Wire.Answer(404, Wire.map().put("epoch", epoch));
        }
        ObjectNode body = Wire.map().put("key", key).put("stamp", value.stamp);
        body.set("data", value.data);
        if (value.tenancy != 0) {
            body.put("tenancy", value.tenancy);
        }
        return new Wire.Answer(200, body);
    }

    private synchronized Wire.Answer list(Map<String, String> query) {
        String prefix = query.getOrDefault("prefix", "");
        String from = query.get("from");
        int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
        ObjectNode body = Wire.map();
        ArrayNode entries = body.putArray("entries");
        int bytes = 0;
        boolean truncated = false;
        for (Map.Entry<String, Value> entry :
                (from == null ? keys.tailMap(prefix, true) : keys.tailMap(from, false)).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                if (entry.getKey().compareTo(prefix) < 0) {
                    continue;
                }
                break;
            }
            int size = entry.getKey().length() + entry.getValue().data.toString().length() + 40;
            if (entries.size() >= page || bytes + size > PAGE_BYTES) {
                truncated = true;
                break;
            }
            bytes += size;
            ObjectNode one = entries.addObject().put("key", entry.getKey());
            one.set("data", entry.getValue().data);
            one.put("stamp", entry.getValue().stamp);
        }
        body.put("truncated", truncated).put("epoch", epoch);
        return new Wire.Answer(200, body);
    }

    private synchronized Wire.Answer commit(JsonNode body) {
        if (body == null || body.path("then").size() > txnOps || body.path("when").size() > 4 * txnOps) {
            return error(400, "transaction");
        }
        if (body.toString().length() > 64 * 1024) {
            return error(400, "too large");
        }
        for (JsonNode write : body.path("then")) {
            if (write.has("put")) {
                if (write.path("data").toString().length() > valueBytes) {
                    return error(400, "value too large");
                }
                if (write.path("tenancy").isNumber() && !holds.containsKey(write.path("tenancy").asLong())) {
                    return error(400, "no such lease");
                }
            }
        }
        ObjectNode conflict = Wire.map();
        ArrayNode failed = conflict.putArray("failed");
        for (JsonNode condition : body.path("when")) {
            Value value = keys.get(condition.path("key").asText());
            if ((value == null ? 0 : value.stamp) != condition.path("stamp").asLong()) {
                failed.add(condition.path("key").asText());
            }
        }
        if (!failed.isEmpty()) {
            return new Wire.Answer(409, conflict.put("epoch", epoch));
        }
        if (body.path("then").isEmpty()) {
            return new Wire.Answer(200, Wire.map().put("epoch", epoch));
        }
        epoch++;
        for (JsonNode write : body.path("then")) {
            if (write.has("put")) {
                String key = write.path("put").asText();
                keys.put(key, new Value(write.path("data"), epoch, write.path("tenancy").asLong(0)));
                remember(new Change(key, write.path("data"), epoch));
            } else {
                String key = write.path("drop").asText();
                if (keys.remove(key) != null) {
                    remember(new Change(key, null, epoch));
                }
            }
        }
        notifyAll();
        return new Wire.Answer(200, Wire.map().put("epoch", epoch));
    }

    private void remember(Change change) {
        changes.add(change);
        while (changes.size() > KEPT_CHANGES) {
            changes.poll();
        }
    }

    private Wire.Answer watch(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long from = Long.parseUnsignedLong(query.getOrDefault("from", "0"));
        long deadline = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        synchronized (this) {
            if (changes.size() == KEPT_CHANGES && changes.peek().stamp > from + 1) {
                return error(410, "too old");
            }
            while (true) {
                List<Change> found = new ArrayList<>();
                if (!outage && epoch > from) {
                    for (Change change : changes) {
                        if (change.stamp > from && change.key.startsWith(prefix)) {
                            found.add(change);
                        }
                    }
                }
                long left = deadline - System.currentTimeMillis();
                if (!found.isEmpty() || (left <= 0 && !outage)) {
                    ObjectNode body = Wire.map().put("epoch", epoch);
                    ArrayNode events = body.putArray("events");
                    for (Change change : found) {
                        ObjectNode event = events.addObject();
                        if (change.data == null) {
                            event.put("drop", change.key);
                        } else {
                            event.put("put", change.key).set("data", change.data);
                        }
                        event.put("stamp", change.stamp);
                    }
                    return new Wire.Answer(200, body);
                }
                wait(Math.max(1, Math.min(left > 0 ? left : 50, 500)));
            }
        }
    }

    private synchronized Wire.Answer hold(String method, String path, JsonNode body) {
        if (path.equals("/holds")) {
            Hold hold = new Hold();
            hold.lifeMs = body.path("life_ms").asLong();
            hold.endsAt = System.currentTimeMillis() + hold.lifeMs;
            long id = nextHold++;
            holds.put(id, hold);
            return new Wire.Answer(200, Wire.map().put("tenancy", id));
        }
        String[] parts = path.split("/");
        long id = Long.parseLong(parts[2]);
        Hold hold = holds.get(id);
        if (hold == null) {
            return error(404, "no such lease");
        }
        if (method.equals("DELETE")) {
            end(id);
            return new Wire.Answer(200, Wire.map());
        }
        hold.endsAt = System.currentTimeMillis() + hold.lifeMs;
        return new Wire.Answer(200, Wire.map().put("tenancy", id));
    }

    private synchronized void expireHolds() {
        long now = System.currentTimeMillis();
        if (outage) {
            for (Hold hold : holds.values()) {
                hold.endsAt = now + hold.lifeMs;
            }
            return;
        }
        for (Map.Entry<Long, Hold> hold : new HashMap<>(holds).entrySet()) {
            if (hold.getValue().endsAt + 20 < now) {
                end(hold.getKey());
            }
        }
    }

    private void end(long id) {
        holds.remove(id);
        List<String> gone = new ArrayList<>();
        keys.forEach((key, value) -> {
            if (value.tenancy == id) {
                gone.add(key);
            }
        });
        if (!gone.isEmpty()) {
            epoch++;
            for (String key : gone) {
                keys.remove(key);
                remember(new Change(key, null, epoch));
            }
            notifyAll();
        }
    }
}
