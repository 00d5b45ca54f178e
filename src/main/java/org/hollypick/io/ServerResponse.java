package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BooleanSupplier;
import org.hollypick.config.constants.NetworkConstants;

/**
 * A controller's response to a request.
 *
 * @param retryAfterS seconds for the Retry-After header; 0 for none
 * @param validWhile whether the response may still be sent; checked just before sending, since the lease that the
 *     response depends on may have expired in the meantime
 */
public record ServerResponse(int status, JsonNode body, int retryAfterS, BooleanSupplier validWhile) {
    /** Creates a response that is always valid. */
    public ServerResponse(int status, JsonNode body, int retryAfterS) {
        this(status, body, retryAfterS, () -> true);
    }

    /** Returns this response with a condition that must hold when it is sent. */
    public ServerResponse onlyWhile(BooleanSupplier validWhile) {
        return new ServerResponse(status, body, retryAfterS, validWhile);
    }

    /** Returns this response, or a refusal with status 503 if it is no longer valid. Called just before sending. */
    public ServerResponse orRefusalIfInvalid() {
        return validWhile.getAsBoolean() ? this : retryLater("no longer entitled to act");
    }

    /** Creates a response that is always valid and has no Retry-After header. */
    public static ServerResponse of(int status, JsonNode body) {
        return new ServerResponse(status, body, 0);
    }

    /** Creates an error response with a message. */
    public static ServerResponse error(int status, String message) {
        ObjectNode body = Codec.object().put("error", message);
        return new ServerResponse(status, body, 0);
    }

    /**
     * Creates the refusal of a request to shed load. The Retry-After of successive refusals differs to spread out the
     * retries.
     *
     * @param refusals the number of requests refused before this one
     */
    public static ServerResponse shedLoad(int refusals) {
        return new ServerResponse(
                503,
                Codec.object().put("error", "busy"),
                NetworkConstants.RETRY_AFTER_S + Math.floorMod(refusals, NetworkConstants.RETRY_AFTER_SPREAD_S));
    }

    /** Creates the refusal of a request that may be retried after the shortest Retry-After. */
    public static ServerResponse retryLater(String message) {
        return new ServerResponse(503, Codec.object().put("error", message), NetworkConstants.RETRY_AFTER_S);
    }
}
