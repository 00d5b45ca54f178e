import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the state service. */
final class Store {
    static final long BOOT = System.nanoTime();

    record Item(Object data, long stamp, long tenancy) {}

    private record Event(long stamp, String key, Object data, boolean put) {}

    /** What one node meets at its own address of this service. */
    static final class Door {
        /** Requests get 503, and open watches wait. */
        volatile boolean refused;
        /** Requests wait this long before they are carried out. */
        volatile long slowMs;
        /** Chooses transactions that get no answer: the delay in ms until they are carried out; negative: as usual. */
        volatile java.util.function.ToLongFunction<Map<String, Object>> lateCommit = body -> -1;
    }

    final TreeMap<String, Item> items = new TreeMap<>();
    private final Map<Long, long[]> holds = new HashMap<>();
    private final Deque<Event> events = new ArrayDeque<>();
    private long epoch;
    private long lastHold;
    private final double rps;
    private final double writeRps;
    private double requestTokens;
    private double writeTokens;
    private long refilled = System.nanoTime();
    private long compacted;

    Store(double rps, double writeRps) {
        this.rps = rps;
        this.writeRps = writeRps;
        this.requestTokens = rps;
        this.writeTokens = writeRps;
        Thread reaper = new Thread(() -> {
            while (true) {
                Kit.sleep(20);
                expire();
            }
        });
        reaper.setDaemon(true);
        reaper.start();
    }

    String open(Door door) throws IOException {
        return Http.serve(ask -> handle(ask, door));
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        for (Long id : new ArrayList<>(holds.keySet())) {
            if (now > holds.get(id)[1]) {
                end(id);
            }
        }
    }

    private void end(long id) {
        holds.remove(id);
        List<String> gone = new ArrayList<>();
        items.forEach((key, item) -> {
            if (item.tenancy == id) {
                gone.add(key);
            }
        });
        if (!gone.isEmpty()) {
            epoch++;
            gone.forEach(key -> drop(key));
            notifyAll();
        }
    }

    private void drop(String key) {
        if (items.remove(key) != null) {
            log(new Event(epoch, key, null, false));
        }
    }

    private void log(Event event) {
        events.add(event);
        if (events.size() > 10_000) {
            compacted = events.poll().stamp;
        }
    }

    synchronized void preload(String key, Object data) {
        epoch++;
        items.put(key, new Item(data, epoch, 0));
        compacted = epoch;
    }

    synchronized Item get(String key) {
        return items.get(key);
    }

    private synchronized boolean allowed(int writes) {
        long now = System.nanoTime();
        double s = (now - refilled) / 1e9;
        refilled = now;
        requestTokens = Math.min(rps, requestTokens + s * rps);
        writeTokens = Math.min(writeRps, writeTokens + s * writeRps);
        if (requestTokens < 1 || writeTokens < writes) {
            return false;
        }
        requestTokens -= 1;
        writeTokens -= writes;
        return true;
    }

    private Http.Answer handle(Http.Ask ask, Door door) throws Exception {
        boolean watch = ask.path().equals("/watch");
        if (door.slowMs > 0 && !watch) {
            Kit.sleep(door.slowMs);
        }
        if (door.refused) {
            return Http.Answer.of(503, "error", "trouble");
        }
        int writes = ask.path().equals("/commit") ? list(ask.body(), "then").size() : 0;
        if (!allowed(writes)) {
            return Http.Answer.of(429, "error", "too many requests");
        }
        if (ask.path().equals("/commit")) {
            long late = door.lateCommit.applyAsLong(ask.body());
            if (late >= 0) {
                Http.THREADS.execute(() -> {
                    Kit.sleep(late);
                    Kit.log("store: a transaction is carried out late: " + commit(ask.body()));
                });
                Kit.sleep(20_000);
                return Http.Answer.NONE;
            }
            return commit(ask.body());
        }
        if (watch) {
            return watch(ask, door);
        }
        if (ask.path().startsWith("/keys/")) {
            return read(ask.path().substring(6));
        }
        if (ask.path().equals("/keys")) {
            return page(ask);
        }
        if (ask.path().equals("/holds")) {
            return hold(((Number) ask.body().get("life_ms")).longValue());
        }
        String[] parts = ask.path().split("/");
        return ask.method().equals("DELETE")
                ? release(Long.parseLong(parts[2]))
                : extend(Long.parseLong(parts[2]));
    }

    private synchronized Http.Answer hold(long life) {
        long id = ++lastHold;
        holds.put(id, new long[] {life, System.nanoTime() + life * 1_000_000});
        return Http.Answer.of(200, "tenancy", id);
    }

    private synchronized Http.Answer extend(long id) {
        long[] hold = holds.get(id);
        if (hold == null) {
            return Http.Answer.of(404, "error", "no such lease");
        }
        hold[1] = System.nanoTime() + hold[0] * 1_000_000;
        return Http.Answer.of(200, "tenancy", id);
    }

    private synchronized Http.Answer release(long id) {
        if (!holds.containsKey(id)) {
            return Http.Answer.of(404, "error", "no such lease");
        }
        end(id);
        return Http.Answer.of(200);
    }

    /** After an outage every lease has its full time again. */
    synchronized void restoreHolds() {
        holds.values().forEach(hold -> hold[1] = System.nanoTime() + hold[0] * 1_000_000);
    }

    private synchronized Http.Answer read(String key) {
        Item item = items.get(key);
        if (item == null) {
            return Http.Answer.of(404, "epoch", epoch);
        }
        Http.Answer answer = Http.Answer.of(200, "key", key, "data", item.data, "stamp", item.stamp);
        if (item.tenancy != 0) {
            answer.body().put("tenancy", item.tenancy);
        }
        return answer;
    }

    private synchronized Http.Answer page(Http.Ask ask) {
        String prefix = ask.query().getOrDefault("prefix", "");
        String from = ask.query().getOrDefault("from", "");
        int page = Math.min(1000, Integer.parseInt(ask.query().getOrDefault("page", "1000")));
        List<Object> entries = new ArrayList<>();
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Item> e : items.tailMap(from.compareTo(prefix) < 0 ? prefix : from, true).entrySet()) {
            if (!e.getKey().startsWith(prefix)) {
                break;
            }
            if (e.getKey().equals(from)) {
                continue;
            }
            Map<String, Object> entry = new LinkedHashMap<>();
            entry.put("key", e.getKey());
            entry.put("data", e.getValue().data);
            entry.put("stamp", e.getValue().stamp);
            bytes += Cbor.encode(entry).length;
            if (entries.size() >= page || bytes > 512 * 1024) {
                truncated = true;
                break;
            }
            entries.add(entry);
        }
        return Http.Answer.of(200, "entries", entries, "truncated", truncated, "epoch", epoch);
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> list(Map<String, Object> body, String field) {
        return body.get(field) instanceof List<?> l ? (List<Map<String, Object>>) l : List.of();
    }

    private synchronized Http.Answer commit(Map<String, Object> body) {
        List<String> failed = new ArrayList<>();
        for (Map<String, Object> w : list(body, "when")) {
            Item item = items.get((String) w.get("key"));
            if ((item == null ? 0 : item.stamp) != ((Number) w.get("stamp")).longValue()) {
                failed.add((String) w.get("key"));
            }
        }
        List<Map<String, Object>> then = list(body, "then");
        for (Map<String, Object> t : then) {
            if (t.get("tenancy") != null && !holds.containsKey(((Number) t.get("tenancy")).longValue())) {
                return Http.Answer.of(400, "error", "no such lease");
            }
        }
        if (!failed.isEmpty()) {
            return Http.Answer.of(409, "failed", failed, "epoch", epoch);
        }
        if (then.isEmpty()) {
            return Http.Answer.of(200, "epoch", epoch);
        }
        epoch++;
        for (Map<String, Object> t : then) {
            if (t.containsKey("put")) {
                String key = (String) t.get("put");
                long tenancy = t.get("tenancy") == null ? 0 : ((Number) t.get("tenancy")).longValue();
                items.put(key, new Item(t.get("data"), epoch, tenancy));
                log(new Event(epoch, key, t.get("data"), true));
            } else {
                drop((String) t.get("drop"));
            }
        }
        notifyAll();
        return Http.Answer.of(200, "epoch", epoch);
    }

    private Http.Answer watch(Http.Ask ask, Door door) throws InterruptedException {
        String prefix = ask.query().getOrDefault("prefix", "");
        long from = Long.parseUnsignedLong(ask.query().getOrDefault("from", "0"));
        long end = System.nanoTime() + Long.parseLong(ask.query().getOrDefault("wait_ms", "0")) * 1_000_000;
        synchronized (this) {
            if (from < compacted) {
                return Http.Answer.of(410, "error", "too old");
            }
            while (true) {
                List<Object> changes = new ArrayList<>();
                if (!door.refused && !events.isEmpty() && events.peekLast().stamp > from) {
                    for (Event e : events) {
                        if (e.stamp > from && e.key.startsWith(prefix)) {
                            Map<String, Object> change = new LinkedHashMap<>();
                            change.put(e.put ? "put" : "drop", e.key);
                            if (e.put) {
                                change.put("data", e.data);
                            }
                            change.put("stamp", e.stamp);
                            changes.add(change);
                        }
                    }
                }
                long left = (end - System.nanoTime()) / 1_000_000;
                if (!changes.isEmpty() || (left <= 0 && !door.refused)) {
                    return Http.Answer.of(200, "epoch", epoch, "events", changes);
                }
                wait(Math.max(1, Math.min(left <= 0 ? 50 : left, 100)));
            }
        }
    }
}
