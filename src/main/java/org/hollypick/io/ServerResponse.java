package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BooleanSupplier;
import org.hollypick.config.constants.NetworkConstants;

/**
 * A controller's response to a request.
 *
 * @param retryAfterS seconds for the Retry-After header; 0 for none
 * @param validWhile checked at the moment of sending: a response that rests on a lease which has ended since it was
 *     decided on isn't sent
 */
public record ServerResponse(int status, JsonNode body, int retryAfterS, BooleanSupplier validWhile) {
    /** A response that is valid at any time. */
    public ServerResponse(int status, JsonNode body, int retryAfterS) {
        this(status, body, retryAfterS, () -> true);
    }

    /** The same response, only sent while that holds. */
    public ServerResponse onlyWhile(BooleanSupplier validWhile) {
        return new ServerResponse(status, body, retryAfterS, validWhile);
    }

    /** What is to be sent now: this response, or a refusal if it isn't valid any more. */
    public ServerResponse orRefusalIfInvalid() {
        return validWhile.getAsBoolean() ? this : retryLater("no longer entitled to act");
    }

    /** A response with that status and body. */
    public static ServerResponse of(int status, JsonNode body) {
        return new ServerResponse(status, body, 0);
    }

    /** An error with a message for the caller. */
    public static ServerResponse error(int status, String message) {
        ObjectNode body = Codec.object().put("error", message);
        return new ServerResponse(status, body, 0);
    }

    /**
     * Refused to shed load; the Retry-After of successive refusals differs, so that their senders don't come back
     * together.
     *
     * @param refusals how many requests were refused before
     */
    public static ServerResponse shedLoad(int refusals) {
        return new ServerResponse(
                503,
                Codec.object().put("error", "busy"),
                NetworkConstants.RETRY_AFTER_S + Math.floorMod(refusals, NetworkConstants.RETRY_AFTER_SPREAD_S));
    }

    /** Refused for now, with the shortest Retry-After. */
    public static ServerResponse retryLater(String message) {
        return new ServerResponse(503, Codec.object().put("error", message), NetworkConstants.RETRY_AFTER_S);
    }
}
