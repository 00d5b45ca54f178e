package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hollypick.config.Constants;

/** A node's answer to a request; {@code retryAfterS} of 0 sends no such header. */
public record Answer(int status, JsonNode body, int retryAfterS) {
    public static Answer of(int status, JsonNode body) {
        return new Answer(status, body, 0);
    }

    public static Answer error(int status, String message) {
        ObjectNode body = Codec.object().put("error", message);
        return new Answer(status, body, 0);
    }

    /** Refused for now, told at once and with a time to come back. */
    public static Answer later(String message) {
        return new Answer(503, Codec.object().put("error", message), Constants.RETRY_AFTER_S);
    }
}
