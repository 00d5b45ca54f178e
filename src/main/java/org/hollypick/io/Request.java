package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.BooleanSupplier;

/**
 * An HTTP request to another system.
 *
 * @param address host and port
 * @param path path and query
 * @param body null for a request without one
 * @param timeoutMs milliseconds after which the request fails
 * @param toPeer whether the receiver is another controller: the body is JSON then, otherwise CBOR
 * @param validWhile whether the request may still be sent; checked just before sending, since the request may have
 *     waited for a connection or the process may have been paused. If false, the request is not sent
 */
public record Request(
        String address,
        String method,
        String path,
        JsonNode body,
        long timeoutMs,
        boolean toPeer,
        BooleanSupplier validWhile) {
    /** Creates a request that is always valid. */
    public Request(String address, String method, String path, JsonNode body, long timeoutMs, boolean toPeer) {
        this(address, method, path, body, timeoutMs, toPeer, () -> true);
    }

    /** Creates a request with a CBOR body that is always valid. */
    public static Request of(String address, String method, String path, JsonNode body, long timeoutMs) {
        return new Request(address, method, path, body, timeoutMs, false);
    }

    /** Returns this request with a condition that must hold when it is sent. */
    public Request onlyWhile(BooleanSupplier validWhile) {
        return new Request(address, method, path, body, timeoutMs, toPeer, validWhile);
    }
}
