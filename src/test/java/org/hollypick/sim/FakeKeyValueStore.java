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

/**
 * A simulated key-value store, written from its protocol: transactions with conditions, sessions, watches, rate and
 * size limits.
 */
final class FakeKeyValueStore implements SimulatedWorld.Endpoint {
    private static final double REQUESTS_PER_SECOND = 150;
    private static final double CHANGES_PER_SECOND = 60;
    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
    /** The limit on the conditions of a transaction, as a multiple of the limit on its operations. */
    private static final int CONDITIONS_PER_OPERATION = 4;

    private static final String DEFAULT_PAGE_SIZE = "1000";
    private static final long EXPIRY_CHECK_MS = 100;

    private static final class Session {
        private final long lifeMs;
        private long expiresAt;

        private Session(long lifeMs) {
            this.lifeMs = lifeMs;
        }
    }

    private record Watch(String prefix, long from, Consumer<Response> callback) {}

    private final SimulatedWorld world;
    private final VersionedKeys keys = new VersionedKeys();
    private final Map<Long, Session> sessions = new HashMap<>();
    private final List<Watch> watches = new ArrayList<>();
    private long lastSession;
    private boolean isDown;
    private int maxValueBytes = 8_192;
    private int maxOperations = 12;
    private final TokenBucket requestRate;
    private final TokenBucket changeRate;
    /**
     * The number of transactions refused because a value or the transaction exceeded a size limit; controllers must not
     * send any.
     */
    int oversizedTransactions;
    /** The number of puts and deletes in committed transactions. */
    int appliedOperations;
    /** Selects keys that lists omit, in violation of the store's guarantees. */
    Predicate<String> hiddenKeys = key -> false;
    /** Selects transactions that are refused with a 503, to make only some writes fail. */
    Predicate<JsonNode> refusedTransactions = transaction -> false;
    /** Whether transactions are committed despite failed conditions, in violation of the store's guarantees. */
    boolean ignoresConditions;
    /** The fraction of its lifetime after which a session expires; below 1 violates the store's guarantees. */
    double sessionLifeShare = 1;

    FakeKeyValueStore(SimulatedWorld world) {
        this.world = world;
        this.requestRate = new TokenBucket(REQUESTS_PER_SECOND, world.now);
        this.changeRate = new TokenBucket(CHANGES_PER_SECOND, world.now);
    }

    /** Lowers the limits without notice. Stored values above the new limits stay readable. */
    void tightenLimits(StoreLimits limits) {
        maxValueBytes = limits.valueBytes();
        maxOperations = limits.transactionOperations();
        changeRate.setRate(limits.changesPerSecond());
    }

    Set<String> keys() {
        return keys.entries().keySet();
    }

    /** Writes a value outside the rate limits, for example a record that an earlier controller would have written. */
    void write(String key, JsonNode value) {
        ObjectNode put = Codec.object().put(StoreProtocol.PUT, key);
        put.set(StoreProtocol.DATA, value);
        ObjectNode transaction = Codec.object();
        transaction.putArray(StoreProtocol.OPERATIONS).add(put);
        commit(transaction);
    }

    /** The values under a prefix by key. */
    Map<String, JsonNode> valuesUnder(String prefix) {
        Map<String, JsonNode> found = new TreeMap<>();
        keys.entries().forEach((key, entry) -> {
            if (key.startsWith(prefix)) {
                found.put(key, entry.value());
            }
        });
        return found;
    }

    /** The value of a key; null if there is none. */
    JsonNode valueOf(String key) {
        VersionedKeys.Entry entry = keys.get(key);
        return entry == null ? null : entry.value();
    }

    /** The revision at which a key was last written; 0 if the key doesn't exist. */
    long revisionOf(String key) {
        return keys.revisionOf(key);
    }

    /** The value that a key had at the given revision; null if it had none, or the revision isn't reached yet. */
    JsonNode valueAt(String key, long revision) {
        return keys.valueAt(key, revision);
    }

    /**
     * Answers all requests with a 503 for the given time. Sessions don't expire meanwhile and are renewed at the end of
     * the outage.
     */
    void startOutage(long durationMs) {
        isDown = true;
        world.schedule(durationMs, () -> {
            isDown = false;
            sessions.values().forEach(this::renew);
        });
    }

    /** Ends all open watches with a 410, as after a compaction: their clients must read all keys again. */
    void compact() {
        List<Watch> open = new ArrayList<>(watches);
        watches.clear();
        open.forEach(watch -> watch.callback.accept(new Response(410, Codec.object())));
    }

    @Override
    public void request(String method, String path, JsonNode body, Consumer<Response> callback) {
        expireSessions();
        int queryStart = path.indexOf('?');
        String resource = queryStart < 0 ? path : path.substring(0, queryStart);
        Map<String, String> query = queryStart < 0 ? Map.of() : parse(path.substring(queryStart + 1));
        if (isDown || (resource.equals(StoreProtocol.COMMIT) && refusedTransactions.test(body))) {
            callback.accept(new Response(503, Codec.object()));
        } else if (!admit(body == null ? 0 : body.path(StoreProtocol.OPERATIONS).size())) {
            callback.accept(new Response(429, Codec.object()));
        } else if (resource.equals(StoreProtocol.WATCH)) {
            watch(query, callback);
        } else if (resource.equals(StoreProtocol.SESSIONS)) {
            openSession(body.get(StoreProtocol.SESSION_LIFE_MS).asLong(), callback);
        } else {
            callback.accept(answer(method, resource, query, body));
        }
    }

    private static Map<String, String> parse(String query) {
        Map<String, String> parameters = new HashMap<>();
        for (String parameter : query.split("&")) {
            int equals = parameter.indexOf('=');
            parameters.put(parameter.substring(0, equals), parameter.substring(equals + 1));
        }
        return parameters;
    }

    /** Counts a request against the rate limits; returns false if the request exceeds one of them. */
    private boolean admit(int operations) {
        boolean isWithinRates = requestRate.canTake(1, world.now) && changeRate.canTake(operations, world.now);
        if (isWithinRates) {
            requestRate.take(1, world.now);
            changeRate.take(operations, world.now);
        }
        return isWithinRates;
    }

    private Response answer(String method, String resource, Map<String, String> query, JsonNode body) {
        if (resource.equals(StoreProtocol.KEYS)) {
            return list(query);
        }
        if (resource.startsWith(StoreProtocol.KEYS + "/")) {
            return read(resource.substring(StoreProtocol.KEYS.length() + 1));
        }
        if (resource.equals(StoreProtocol.COMMIT)) {
            return commit(body);
        }
        if (resource.startsWith(StoreProtocol.SESSIONS + "/")) {
            return changeSession(method, Long.parseLong(resource.split("/")[2]));
        }
        return new Response(400, Codec.object());
    }

    private void watch(Map<String, String> query, Consumer<Response> callback) {
        Watch watch =
                new Watch(query.get(StoreProtocol.PREFIX), Long.parseLong(query.get(StoreProtocol.FROM)), callback);
        ObjectNode changes = keys.changesAfter(watch.prefix, watch.from);
        if (!changes.path(StoreProtocol.EVENTS).isEmpty()) {
            callback.accept(new Response(200, changes));
            return;
        }
        watches.add(watch);
        world.schedule(Long.parseLong(query.get(StoreProtocol.WAIT_MS)), () -> {
            if (watches.remove(watch)) {
                callback.accept(new Response(200, keys.changesAfter(watch.prefix, watch.from)));
            }
        });
    }

    private void notifyWatches() {
        for (Watch watch : new ArrayList<>(watches)) {
            ObjectNode changes = keys.changesAfter(watch.prefix, watch.from);
            if (!changes.path(StoreProtocol.EVENTS).isEmpty()) {
                watches.remove(watch);
                watch.callback.accept(new Response(200, changes));
            }
        }
    }

    private Response list(Map<String, String> query) {
        ObjectNode answer =
                Codec.object().put(StoreProtocol.REVISION, keys.revision()).put(StoreProtocol.TRUNCATED, false);
        ArrayNode page = answer.putArray(StoreProtocol.ENTRIES);
        int pageSize = Integer.parseInt(query.getOrDefault(StoreProtocol.PAGE_SIZE, DEFAULT_PAGE_SIZE));
        String from = query.getOrDefault(StoreProtocol.FROM, "");
        for (Map.Entry<String, VersionedKeys.Entry> entry :
                keys.entries().tailMap(from, false).entrySet()) {
            String key = entry.getKey();
            if (key.startsWith(query.get(StoreProtocol.PREFIX)) && !hiddenKeys.test(key)) {
                if (page.size() == pageSize) {
                    answer.put(StoreProtocol.TRUNCATED, true);
                    break;
                }
                page.addObject()
                        .put(StoreProtocol.KEY, key)
                        .put(StoreProtocol.KEY_REVISION, entry.getValue().revision())
                        .set(StoreProtocol.DATA, entry.getValue().value());
            }
        }
        return new Response(200, answer);
    }

    private Response read(String key) {
        VersionedKeys.Entry entry = keys.get(key);
        if (entry == null) {
            return new Response(404, Codec.object().put(StoreProtocol.REVISION, keys.revision()));
        }
        ObjectNode answer =
                Codec.object().put(StoreProtocol.KEY, key).put(StoreProtocol.KEY_REVISION, entry.revision());
        answer.set(StoreProtocol.DATA, entry.value());
        if (entry.session() != 0) {
            answer.put(StoreProtocol.SESSION, entry.session());
        }
        return new Response(200, answer);
    }

    private Response commit(JsonNode transaction) {
        JsonNode operations = transaction.path(StoreProtocol.OPERATIONS);
        if (!fits(transaction)) {
            oversizedTransactions++;
            return new Response(400, Codec.object().put(StoreProtocol.ERROR, "too large"));
        }
        for (JsonNode operation : operations) {
            if (operation.has(StoreProtocol.SESSION)
                    && !sessions.containsKey(
                            operation.get(StoreProtocol.SESSION).asLong())) {
                return new Response(400, Codec.object().put(StoreProtocol.ERROR, "no such lease"));
            }
        }
        ArrayNode failed = failedConditions(transaction.path(StoreProtocol.CONDITIONS));
        if (!failed.isEmpty() && !ignoresConditions) {
            ObjectNode answer = Codec.object().put(StoreProtocol.REVISION, keys.revision());
            answer.set(StoreProtocol.FAILED, failed);
            return new Response(409, answer);
        }
        appliedOperations += operations.size();
        keys.apply(operations);
        world.schedule(0, this::notifyWatches);
        return new Response(200, Codec.object().put(StoreProtocol.REVISION, keys.revision()));
    }

    private boolean fits(JsonNode transaction) {
        JsonNode operations = transaction.path(StoreProtocol.OPERATIONS);
        for (JsonNode operation : operations) {
            if (operation.has(StoreProtocol.PUT)
                    && Codec.write(operation.get(StoreProtocol.DATA), true).length > maxValueBytes) {
                return false;
            }
        }
        return operations.size() <= maxOperations
                && transaction.path(StoreProtocol.CONDITIONS).size() <= CONDITIONS_PER_OPERATION * maxOperations
                && Codec.write(transaction, true).length <= MAX_TRANSACTION_BYTES;
    }

    private ArrayNode failedConditions(JsonNode conditions) {
        ArrayNode failed = Codec.array();
        for (JsonNode condition : conditions) {
            String key = condition.get(StoreProtocol.KEY).asText();
            if (keys.revisionOf(key)
                    != condition.get(StoreProtocol.KEY_REVISION).asLong()) {
                failed.add(key);
            }
        }
        return failed;
    }

    private void openSession(long lifeMs, Consumer<Response> callback) {
        long id = ++lastSession;
        Session session = new Session(lifeMs);
        renew(session);
        sessions.put(id, session);
        callback.accept(new Response(200, Codec.object().put(StoreProtocol.SESSION, id)));
        checkExpiry(id);
    }

    /** Renews or closes a session. */
    private Response changeSession(String method, long id) {
        Session session = sessions.get(id);
        if (session == null) {
            return new Response(404, Codec.object());
        }
        if (method.equals("DELETE")) {
            endSession(id);
            return new Response(200, Codec.object());
        }
        renew(session);
        return new Response(200, Codec.object().put(StoreProtocol.SESSION, id));
    }

    private void renew(Session session) {
        session.expiresAt = world.now + (long) (session.lifeMs * sessionLifeShare);
    }

    private void checkExpiry(long id) {
        world.schedule(EXPIRY_CHECK_MS, () -> {
            expireSessions();
            if (sessions.containsKey(id)) {
                checkExpiry(id);
            }
        });
    }

    private void expireSessions() {
        if (isDown) {
            return;
        }
        for (Long id : new ArrayList<>(sessions.keySet())) {
            if (world.now > sessions.get(id).expiresAt) {
                endSession(id);
            }
        }
    }

    private void endSession(long id) {
        sessions.remove(id);
        if (keys.deleteKeysOf(id)) {
            notifyWatches();
        }
    }
}
