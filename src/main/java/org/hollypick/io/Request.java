package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.BooleanSupplier;

/**
 * An HTTP request to another system.
 *
 * @param address host and port
 * @param path path and query
 * @param body null for a request without one
 * @param timeoutMs milliseconds after which the request counts as failed
 * @param toPeer whether it goes to another controller: the body is JSON, not CBOR
 * @param validWhile checked at the moment of sending, since the request may have waited for a connection, or the
 *     process may have been paused, after it was decided on; if false, it isn't sent
 */
public record Request(
        String address,
        String method,
        String path,
        JsonNode body,
        long timeoutMs,
        boolean toPeer,
        BooleanSupplier validWhile) {
    /** A request that is valid at any time. */
    public Request(String address, String method, String path, JsonNode body, long timeoutMs, boolean toPeer) {
        this(address, method, path, body, timeoutMs, toPeer, () -> true);
    }

    /** A request with a CBOR body. */
    public static Request of(String address, String method, String path, JsonNode body, long timeoutMs) {
        return new Request(address, method, path, body, timeoutMs, false);
    }

    /** The same request, only sent while that holds. */
    public Request onlyWhile(BooleanSupplier validWhile) {
        return new Request(address, method, path, body, timeoutMs, toPeer, validWhile);
    }
}
