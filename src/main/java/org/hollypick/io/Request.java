package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.BooleanSupplier;

/**
 * An HTTP request to another system. A mesh call carries JSON, every other one CBOR. {@code validWhile} is asked in the
 * moment of sending: a call may have waited for a connection, or the whole process may have stood still, since it was
 * decided on; without the right it isn't sent.
 */
public record Request(
        String address,
        String method,
        String path,
        JsonNode body,
        long timeoutMs,
        boolean toPeer,
        BooleanSupplier validWhile) {
    public Request(String address, String method, String path, JsonNode body, long timeoutMs, boolean toPeer) {
        this(address, method, path, body, timeoutMs, toPeer, () -> true);
    }

    public static Request of(String address, String method, String path, JsonNode body, long timeoutMs) {
        return new Request(address, method, path, body, timeoutMs, false);
    }

    /** The same call, only sent while that holds. */
    public Request onlyWhile(BooleanSupplier validWhile) {
        return new Request(address, method, path, body, timeoutMs, toPeer, validWhile);
    }
}
