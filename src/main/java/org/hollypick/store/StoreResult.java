package org.hollypick.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Function;
import org.hollypick.io.Response;

/**
 * The outcome of a request that reads from the key-value store or opens a session.
 *
 * @param value the decoded response; null unless the status is {@link StoreStatus#OK}
 */
public record StoreResult<T>(StoreStatus status, T value) {
    /** Whether there is a value. */
    public boolean ok() {
        return status == StoreStatus.OK;
    }

    /** Decodes a response; {@code decoder} is only called for a successful one. */
    static <T> StoreResult<T> of(Response response, Function<JsonNode, T> decoder) {
        StoreStatus status = StoreStatus.of(response);
        return new StoreResult<>(status, status == StoreStatus.OK ? decoder.apply(response.body()) : null);
    }
}
