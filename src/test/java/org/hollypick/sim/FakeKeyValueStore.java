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

/** The key-value store, written from its protocol: transactions with conditions, sessions, watches and rate limits. */
final class FakeKeyValueStore implements SimulatedWorld.Endpoint {
    private static final double REQUESTS_PER_SECOND = 150;
    private static final double CHANGES_PER_SECOND = 60;
    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
    /** A transaction may have so many times as many conditions as operations. */
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
    /** Transactions refused since a value or the whole was too large: controllers must not send any. */
    int oversizedTransactions;
    /** Puts and deletes that were carried out. */
    int appliedOperations;
    /** Keys that lists leave out: a test breaks the store's guarantees with it. */
    Predicate<String> hiddenKeys = key -> false;
    /** Transactions that are answered with 503: a fault that only some writes meet. */
    Predicate<JsonNode> refusedTransactions = transaction -> false;
    /** Transactions are carried out whatever their conditions: breaks the store's guarantees. */
    boolean ignoresConditions;
    /** Share of its life after which a session expires; below 1 breaks the guarantee that none expires early. */
    double sessionLifeShare = 1;

    FakeKeyValueStore(SimulatedWorld world) {
        this.world = world;
        this.requestRate = new TokenBucket(REQUESTS_PER_SECOND, world.now);
        this.changeRate = new TokenBucket(CHANGES_PER_SECOND, world.now);
    }

    /** Lowers the limits without notice. What is stored stays readable. */
    void tightenLimits(StoreLimits limits) {
        maxValueBytes = limits.valueBytes();
        maxOperations = limits.transactionOperations();
        changeRate.setRate(limits.changesPerSecond());
    }

    Set<String> keys() {
        return keys.entries().keySet();
    }

    /** Writes a value as a controller would have written it earlier. */
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

    /** The value of a key, or null. */
    JsonNode valueOf(String key) {
        VersionedKeys.Entry entry = keys.get(key);
        return entry == null ? null : entry.value();
    }

    /** The revision at which a key was written; 0: there is no such key. */
    long revisionOf(String key) {
        return keys.revisionOf(key);
    }

    /** The value that a key got at that revision; null if another key was written then, or none. */
    JsonNode valueWrittenAt(String key, long revision) {
        return keys.valueWrittenAt(key, revision);
    }

    /** Answers everything with 503 for a while; sessions don't expire meanwhile and begin anew then. */
    void startOutage(long ms) {
        isDown = true;
        world.schedule(ms, () -> {
            isDown = false;
            sessions.values().forEach(this::renew);
        });
    }

    /** Forgets the changes that open watches follow: whoever watches must read all keys again. */
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
