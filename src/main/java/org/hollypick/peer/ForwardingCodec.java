package org.hollypick.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/**
 * Encodes and decodes the messages by which a controller has a peer forward a request to the key-value store.
 * Stateless.
 */
final class ForwardingCodec {
    private static final String METHOD = "method";
    private static final String PATH = "path";
    private static final String TIMEOUT_MILLIS = "timeout_ms";
    private static final String STATUS = "status";
    private static final String BODY = "body";

    private ForwardingCodec() {}

    static ObjectNode encode(Request request) {
        ObjectNode message = Codec.object()
                .put(METHOD, request.method())
                .put(PATH, request.path())
                .put(TIMEOUT_MILLIS, request.timeoutMs());
        message.set(BODY, request.body());
        return message;
    }

    /** Decodes a request to forward to the given address; its timeout is limited to that of forwarded requests. */
    static Request decodeRequest(JsonNode message, String address) {
        JsonNode body = message.path(BODY);
        return Request.of(
                address,
                message.path(METHOD).asText(),
                message.path(PATH).asText(),
                body.isNull() || body.isMissingNode() ? null : body,
                Math.min(message.path(TIMEOUT_MILLIS).asLong(), ReachabilityConstants.FORWARDED_REQUEST_TIMEOUT_MS));
    }

    static ObjectNode encode(Response response) {
        ObjectNode message = Codec.object().put(STATUS, response.status());
        message.set(BODY, response.body().isMissingNode() ? null : response.body());
        return message;
    }

    /** Decodes the response that the forwarding peer received; if its request failed, the status is at most 0. */
    static Response decodeResponse(JsonNode message) {
        return new Response(message.path(STATUS).asInt(), message.path(BODY));
    }
}
