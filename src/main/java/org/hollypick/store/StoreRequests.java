package org.hollypick.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.Request;

/** Builds the requests of the key-value store's protocol: methods, paths, bodies and timeouts. Immutable. */
final class StoreRequests {
    /** A key that is never written: the response that the key doesn't exist contains the store's revision. */
    private static final String ABSENT_KEY = "h/never";

    private static final String KEYS_PATH = "/keys";
    private static final String COMMIT_PATH = "/commit";
    private static final String WATCH_PATH = "/watch";
    private static final String SESSIONS_PATH = "/holds";
    private static final String RENEWAL_PATH = "/extend";
    private static final int PAGE_SIZE = 500;

    private final String address;

    /** Creates a builder of requests to the store at this address. */
    StoreRequests(String address) {
        this.address = address;
    }

    /** A small request that shows whether the store responds. */
    Request probe() {
        return get(ABSENT_KEY, ReachabilityConstants.ROUTE_RETRY_MS);
    }

    Request get(String key) {
        return get(key, StoreConstants.STORE_TIMEOUT_MS);
    }

    private Request get(String key, long timeoutMillis) {
        return Request.of(address, "GET", KEYS_PATH + "/" + key, null, timeoutMillis);
    }

    /** A read of a key that doesn't exist; the response contains the store's revision. */
    Request readRevision() {
        return get(ABSENT_KEY);
    }

    /** {@code afterKey}: the last key of the previous page; null for the first page. */
    Request listPage(String prefix, String afterKey) {
        String start = afterKey == null ? "" : "&from=" + afterKey;
        return request("GET", KEYS_PATH + "?prefix=" + prefix + start + "&page=" + PAGE_SIZE, null);
    }

    Request commit(CompareAndSwap transaction) {
        return request("POST", COMMIT_PATH, StoreCodec.encode(transaction));
    }

    /** A request that waits for changes after the given revision. */
    Request watch(String prefix, long afterRevision) {
        String path = WATCH_PATH + "?prefix=" + prefix + "&from=" + Long.toUnsignedString(afterRevision) + "&wait_ms="
                + StoreConstants.WATCH_WAIT_MS;
        return Request.of(address, "GET", path, null, StoreConstants.WATCH_WAIT_MS + StoreConstants.STORE_TIMEOUT_MS);
    }

    Request grantSession(long ttlMillis) {
        return request("POST", SESSIONS_PATH, StoreCodec.encodeSessionGrant(ttlMillis));
    }

    Request renewSession(long sessionId) {
        return request("POST", sessionPath(sessionId) + RENEWAL_PATH, Codec.object());
    }

    Request endSession(long sessionId) {
        return request("DELETE", sessionPath(sessionId), null);
    }

    private static String sessionPath(long sessionId) {
        return SESSIONS_PATH + "/" + Long.toUnsignedString(sessionId);
    }

    private Request request(String method, String path, JsonNode body) {
        return Request.of(address, method, path, body, StoreConstants.STORE_TIMEOUT_MS);
    }
}
