package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BooleanSupplier;
import org.hollypick.config.constants.NetworkConstants;

/**
 * A node's answer to a request; {@code retryAfterS} of 0 sends no such header. {@code validWhile} is asked in the
 * moment of sending: an answer that rests on a right which has ended since it was decided on isn't given.
 */
public record ServerResponse(int status, JsonNode body, int retryAfterS, BooleanSupplier validWhile) {
    public ServerResponse(int status, JsonNode body, int retryAfterS) {
        this(status, body, retryAfterS, () -> true);
    }

    /** The same answer, only given while that holds. */
    public ServerResponse onlyWhile(BooleanSupplier validWhile) {
        return new ServerResponse(status, body, retryAfterS, validWhile);
    }

    /** What is to be sent now. */
    public ServerResponse atSending() {
        return validWhile.getAsBoolean() ? this : retryLater("no longer entitled to act");
    }

    public static ServerResponse of(int status, JsonNode body) {
        return new ServerResponse(status, body, 0);
    }

    public static ServerResponse error(int status, String message) {
        ObjectNode body = Codec.object().put("error", message);
        return new ServerResponse(status, body, 0);
    }

    /**
     * Refused since many come at once: told at once, and the {@code turn}th is told another time than the one before.
     */
    public static ServerResponse shedLoad(int turn) {
        return new ServerResponse(
                503,
                Codec.object().put("error", "busy"),
                NetworkConstants.RETRY_AFTER_S + Math.floorMod(turn, NetworkConstants.RETRY_AFTER_SPREAD_S));
    }

    /** Refused for now, told at once and with a time to come back. */
    public static ServerResponse retryLater(String message) {
        return new ServerResponse(503, Codec.object().put("error", message), NetworkConstants.RETRY_AFTER_S);
    }
}
