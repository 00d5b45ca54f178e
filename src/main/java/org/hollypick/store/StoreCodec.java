package org.hollypick.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;
import org.hollypick.io.WireNames;

/**
 * Encodes and decodes the bodies of the key-value store's wire protocol. Names of that protocol occur only here, in
 * {@link StoreRequests} (paths and parameters) and in {@link WireNames} (names shared with other protocols). Stateless.
 */
final class StoreCodec {
    /** The conditions of a transaction. */
    private static final String CONDITIONS = "when";

    /** The writes of a transaction. */
    private static final String WRITES = "then";

    /** The key that a write sets. */
    private static final String PUT = "put";

    /** The key that a write deletes. */
    private static final String DELETE = "drop";

    /** The keys whose conditions didn't hold. */
    private static final String CONFLICTING_KEYS = "failed";

    /** The store's revision at the time of the response. */
    private static final String STORE_REVISION = "epoch";

    /** Milliseconds until a session expires unless it is renewed. */
    private static final String SESSION_TTL_MILLIS = "life_ms";

    private static final String KEY = "key";
    private static final String VALUE = "data";
    private static final String ENTRIES = "entries";
    private static final String TRUNCATED = "truncated";
    private static final String EVENTS = "events";

    private static final int HTTP_NO_CONTENT = 204;

    private StoreCodec() {}

    static ObjectNode encode(CompareAndSwap transaction) {
        ObjectNode body = Codec.object();
        ArrayNode conditions = body.putArray(CONDITIONS);
        transaction
                .expectedRevisions()
                .forEach(expected -> conditions
                        .addObject()
                        .put(KEY, expected.getKey())
                        .put(WireNames.REVISION, expected.getLongValue()));
        ArrayNode writes = body.putArray(WRITES);
        transaction.writes().forEach(write -> writes.add(encode(write)));
        return body;
    }

    private static JsonNode encode(CompareAndSwap.Write write) {
        ObjectNode encoded = Codec.object();
        if (write instanceof CompareAndSwap.Put put) {
            encoded.put(PUT, put.key());
            if (put.sessionId() != null) {
                encoded.put(WireNames.STORE_SESSION, put.sessionId());
            }
            return encoded.set(VALUE, put.value());
        }
        return encoded.put(DELETE, write.key());
    }

    static ObjectNode encodeSessionGrant(long ttlMillis) {
        return Codec.object().put(SESSION_TTL_MILLIS, ttlMillis);
    }

    static CommitResult decodeCommit(Response response) {
        StoreStatus status = StoreStatus.of(response);
        List<String> conflictingKeys = new ArrayList<>();
        if (status == StoreStatus.CONFLICT) {
            response.body().path(CONFLICTING_KEYS).forEach(key -> conflictingKeys.add(key.asText()));
        }
        return new CommitResult(status, storeRevision(response.body()), conflictingKeys);
    }

    static StoreResult<KeyValue> decodeGet(Response response) {
        return StoreResult.of(response, StoreCodec::decodeKeyValue);
    }

    /**
     * Decodes the store's revision from the response to a read of a key that doesn't exist. If the key is found after
     * all, the result is {@link StoreStatus#UNAVAILABLE}.
     */
    static StoreResult<Long> decodeRevision(Response response) {
        return switch (StoreStatus.of(response)) {
            case NOT_FOUND -> new StoreResult<>(StoreStatus.OK, storeRevision(response.body()));
            case OK -> new StoreResult<>(StoreStatus.UNAVAILABLE, null);
            default -> new StoreResult<>(StoreStatus.of(response), null);
        };
    }

    static StoreResult<KeyValuePage> decodePage(Response response) {
        return StoreResult.of(response, body -> {
            List<KeyValue> entries = new ArrayList<>();
            body.path(ENTRIES).forEach(entry -> entries.add(decodeKeyValue(entry)));
            return new KeyValuePage(
                    entries, storeRevision(body), body.path(TRUNCATED).asBoolean());
        });
    }

    static StoreResult<WatchResponse> decodeWatch(Response response) {
        return StoreResult.of(response, body -> {
            List<KeyChange> changes = new ArrayList<>();
            body.path(EVENTS).forEach(event -> changes.add(decodeChange(event)));
            return new WatchResponse(changes, storeRevision(body));
        });
    }

    static StoreResult<Long> decodeSessionGrant(Response response) {
        return StoreResult.of(response, body -> Codec.u64(body.path(WireNames.STORE_SESSION)));
    }

    static StoreStatus decodeSessionRenewal(Response response) {
        return StoreStatus.of(response);
    }

    static StoreStatus decodeSessionEnd(Response response) {
        return response.status() == HTTP_NO_CONTENT ? StoreStatus.OK : StoreStatus.of(response);
    }

    private static KeyValue decodeKeyValue(JsonNode entry) {
        JsonNode session = entry.path(WireNames.STORE_SESSION);
        return new KeyValue(
                entry.path(KEY).asText(),
                entry.path(VALUE),
                Codec.u64(entry.path(WireNames.REVISION)),
                session.isNumber() ? OptionalLong.of(Codec.u64(session)) : OptionalLong.empty());
    }

    private static KeyChange decodeChange(JsonNode event) {
        long revision = Codec.u64(event.path(WireNames.REVISION));
        return event.has(PUT)
                ? new KeyChange(event.path(PUT).asText(), event.path(VALUE), revision)
                : new KeyChange(event.path(DELETE).asText(), null, revision);
    }

    private static long storeRevision(JsonNode body) {
        return Codec.u64(body.path(STORE_REVISION));
    }
}
