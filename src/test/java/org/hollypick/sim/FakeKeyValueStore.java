package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;
import org.hollypick.io.TokenBucket;

/** The state service, written from the protocol. */
final class FakeKeyValueStore implements SimulatedWorld.Endpoint {
    private record Entry(JsonNode data, long stamp, long tenancy) {}

    private static final class Hold {
        long lifeMs;
        long ends;
    }

    private record Watch(String prefix, long from, Consumer<Response> reply) {}

    private final SimulatedWorld world;
    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final Map<Long, Hold> holds = new HashMap<>();
    private final List<ObjectNode> events = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long epoch;
    private long tenancies;
    private boolean down;
    private int valueBytes = 8_192;
    private int txnOps = 12;
    private final TokenBucket requests;
    private final TokenBucket writes;
    /** Refusals for a value or a transaction that is too large: nodes should know better. */
    int tooLarge;
    /** Puts and deletes that were carried out. */
    int changes;
    /** Keys that lists leave out; a test breaks the service's promises with it. */
    Predicate<String> hidden = k -> false;
    /** Transactions that aren't executed: trouble that only some writes meet. */
    Predicate<JsonNode> refused = t -> false;
    /** It carries out whatever comes: breaks the service's promise to look at a transaction's conditions. */
    boolean careless;
    /** Share of a state session's life after which it ends; below 1 breaks the promise that none ends early. */
    double holdShare = 1;

    FakeKeyValueStore(SimulatedWorld world) {
        this.world = world;
        this.requests = new TokenBucket(150, world.now);
        this.writes = new TokenBucket(60, world.now);
    }

    /** From now on, without notice. What is stored stays readable. */
    void tighten(int valueBytes, int txnOps, double writeRps) {
        this.valueBytes = valueBytes;
        this.txnOps = txnOps;
        writes.setRate(writeRps);
    }

    /** Stored as if by a node, long ago. */
    Set<String> keys() {
        return keys.keySet();
    }

    void store(String key, JsonNode data) {
        commit((JsonNode) Codec.object()
                .set("then", Codec.array().add(Codec.object().put("put", key).set("data", data))));
    }

    /** What is stored under keys with a prefix, by key. */
    Map<String, JsonNode> stored(String prefix) {
        Map<String, JsonNode> found = new TreeMap<>();
        keys.forEach((k, e) -> {
            if (k.startsWith(prefix)) {
                found.put(k, e.data);
            }
        });
        return found;
    }

    /** What is stored under a key; null without one. */
    JsonNode data(String key) {
        Entry e = keys.get(key);
        return e == null ? null : e.data;
    }

    long stamp(String key) {
        Entry e = keys.get(key);
        return e == null ? 0 : e.stamp;
    }

    /** What was stored under a key by the change of that number; null if that is long ago or wasn't this key's. */
    JsonNode put(String key, long stamp) {
        for (JsonNode e : events) {
            if (e.path("stamp").asLong() == stamp && e.path("put").asText().equals(key)) {
                return e.path("data");
            }
        }
        return null;
    }

    void outage(long ms) {
        down = true;
        world.at(ms, () -> {
            down = false;
            holds.values().forEach(h -> h.ends = world.now + (long) (h.lifeMs * holdShare));
        });
    }

    private void expire() {
        if (down) {
            return;
        }
        for (Long id : new ArrayList<>(holds.keySet())) {
            if (world.now > holds.get(id).ends) {
                endHold(id);
            }
        }
    }

    private void endHold(long id) {
        holds.remove(id);
        List<String> gone = new ArrayList<>();
        keys.forEach((k, e) -> {
            if (e.tenancy == id) {
                gone.add(k);
            }
        });
        if (!gone.isEmpty()) {
            epoch++;
            gone.forEach(k -> {
                keys.remove(k);
                events.add(Codec.object().put("drop", k).put("stamp", epoch));
            });
            wake();
        }
    }

    /** The changes that open watches follow are kept no longer: whoever watches has to read all keys again. */
    void forgetChanges() {
        List<Watch> open = new ArrayList<>(watches);
        watches.clear();
        open.forEach(w -> w.reply.accept(new Response(410, Codec.object())));
    }

    private void wake() {
        for (Watch w : new ArrayList<>(watches)) {
            ObjectNode r = events(w.prefix, w.from);
            if (!r.path("events").isEmpty()) {
                watches.remove(w);
                w.reply.accept(new Response(200, r));
            }
        }
    }

    private ObjectNode events(String prefix, long from) {
        ObjectNode r = Codec.object().put("epoch", epoch);
        ArrayNode list = r.putArray("events");
        for (ObjectNode e : events) {
            String key = e.has("put") ? e.get("put").asText() : e.get("drop").asText();
            if (e.get("stamp").asLong() > from && key.startsWith(prefix)) {
                list.add(e);
            }
        }
        return r;
    }

    @Override
    public void request(String method, String path, JsonNode body, Consumer<Response> reply) {
        expire();
        String where = path.contains("?") ? path.substring(0, path.indexOf('?')) : path;
        Map<String, String> query = new HashMap<>();
        if (path.contains("?")) {
            for (String q : path.substring(path.indexOf('?') + 1).split("&")) {
                query.put(q.substring(0, q.indexOf('=')), q.substring(q.indexOf('=') + 1));
            }
        }
        if (down || (where.equals("/commit") && refused.test(body))) {
            reply.accept(new Response(503, Codec.object()));
            return;
        }
        int puts = body == null ? 0 : body.path("then").size();
        if (!requests.has(1, world.now) || !writes.has(puts, world.now)) {
            reply.accept(new Response(429, Codec.object()));
            return;
        }
        requests.take(1, world.now);
        writes.take(puts, world.now);
        if (where.equals("/watch")) {
            long from = Long.parseLong(query.get("from"));
            ObjectNode now = events(query.get("prefix"), from);
            if (!now.path("events").isEmpty()) {
                reply.accept(new Response(200, now));
                return;
            }
            Watch w = new Watch(query.get("prefix"), from, reply);
            watches.add(w);
            world.at(Long.parseLong(query.get("wait_ms")), () -> {
                if (watches.remove(w)) {
                    reply.accept(new Response(200, events(w.prefix, w.from)));
                }
            });
        } else if (where.equals("/keys")) {
            ObjectNode r = Codec.object().put("epoch", epoch).put("truncated", false);
            ArrayNode list = r.putArray("entries");
            int left = Integer.parseInt(query.getOrDefault("page", "1000"));
            for (Map.Entry<String, Entry> e :
                    keys.tailMap(query.getOrDefault("from", ""), false).entrySet()) {
                if (e.getKey().startsWith(query.get("prefix")) && !hidden.test(e.getKey())) {
                    if (left-- == 0) {
                        r.put("truncated", true);
                        break;
                    }
                    list.addObject()
                            .put("key", e.getKey())
                            .put("stamp", e.getValue().stamp)
                            .set("data", e.getValue().data);
                }
            }
            reply.accept(new Response(200, r));
        } else if (where.startsWith("/keys/")) {
            Entry e = keys.get(where.substring(6));
            if (e == null) {
                reply.accept(new Response(404, Codec.object().put("epoch", epoch)));
            } else {
                ObjectNode r = Codec.object().put("key", where.substring(6)).put("stamp", e.stamp);
                r.set("data", e.data);
                if (e.tenancy != 0) {
                    r.put("tenancy", e.tenancy);
                }
                reply.accept(new Response(200, r));
            }
        } else if (where.equals("/commit")) {
            reply.accept(commit(body));
        } else if (where.equals("/holds")) {
            Hold h = new Hold();
            h.lifeMs = body.get("life_ms").asLong();
            h.ends = world.now + (long) (h.lifeMs * holdShare);
            holds.put(++tenancies, h);
            long id = tenancies;
            reply.accept(new Response(200, Codec.object().put("tenancy", id)));
            tick(id);
        } else if (where.startsWith("/holds/")) {
            long id = Long.parseLong(where.split("/")[2]);
            Hold h = holds.get(id);
            if (h == null) {
                reply.accept(new Response(404, Codec.object()));
            } else if (method.equals("DELETE")) {
                endHold(id);
                reply.accept(new Response(200, Codec.object()));
            } else {
                h.ends = world.now + (long) (h.lifeMs * holdShare);
                reply.accept(new Response(200, Codec.object().put("tenancy", id)));
            }
        } else {
            reply.accept(new Response(400, Codec.object()));
        }
    }

    private void tick(long id) {
        world.at(100, () -> {
            expire();
            if (holds.containsKey(id)) {
                tick(id);
            }
        });
    }

    private Response commit(JsonNode body) {
        boolean fits = body.path("then").size() <= txnOps
                && body.path("when").size() <= 4 * txnOps
                && Codec.write(body, true).length <= 64 * 1024;
        for (JsonNode op : body.path("then")) {
            fits &= !op.has("put") || Codec.write(op.get("data"), true).length <= valueBytes;
        }
        if (!fits) {
            tooLarge++;
            return new Response(400, Codec.object().put("error", "too large"));
        }
        ArrayNode failed = Codec.array();
        for (JsonNode c : body.path("when")) {
            Entry e = keys.get(c.get("key").asText());
            if ((e == null ? 0 : e.stamp) != c.get("stamp").asLong()) {
                failed.add(c.get("key").asText());
            }
        }
        for (JsonNode op : body.path("then")) {
            if (op.has("tenancy") && !holds.containsKey(op.get("tenancy").asLong())) {
                return new Response(400, Codec.object().put("error", "no such lease"));
            }
        }
        if (!failed.isEmpty() && !careless) {
            ObjectNode r = Codec.object().put("epoch", epoch);
            r.set("failed", failed);
            return new Response(409, r);
        }
        epoch++;
        changes += body.path("then").size();
        for (JsonNode op : body.path("then")) {
            if (op.has("put")) {
                keys.put(
                        op.get("put").asText(),
                        new Entry(op.get("data"), epoch, op.path("tenancy").asLong(0)));
                ObjectNode e = Codec.object().put("put", op.get("put").asText()).put("stamp", epoch);
                e.set("data", op.get("data"));
                events.add(e);
            } else if (keys.remove(op.get("drop").asText()) != null) {
                events.add(Codec.object().put("drop", op.get("drop").asText()).put("stamp", epoch));
            }
        }
        world.at(0, this::wake);
        return new Response(200, Codec.object().put("epoch", epoch));
    }
}
