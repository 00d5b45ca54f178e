package org.hollypick.relay;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.LongSupplier;
import org.hollypick.io.Codec;
import org.hollypick.io.ServerResponse;
import org.hollypick.io.WireNames;

/**
 * Encodes and decodes the messages by which controllers relay agents' heartbeats: a batch contains the bytes of each
 * heartbeat as received, and the response to a batch contains a response to each heartbeat. Stateless; any thread.
 */
public final class HeartbeatRelayCodec {
    /** The path on which the leader receives batches. */
    public static final String BATCH_PATH = "/reports";

    /** The controller that relays the batch. */
    private static final String SENDER = "node";

    private static final String HEARTBEATS = "reports";
    private static final String RESPONSES = "answers";
    /** Milliseconds for which the responses may be relayed. */
    private static final String VALIDITY_MS = "right_ms";

    private static final String STATUS = "status";
    private static final String RETRY_AFTER_S = "retry";
    private static final String BODY = "body";
    /** The controller that an agent is redirected to. */
    private static final String REDIRECT = "foreman";

    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_MISDIRECTED_REQUEST = 421;
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    private HeartbeatRelayCodec() {}

    static JsonNode encodeBatch(String sender, long token, List<byte[]> heartbeats) {
        ObjectNode body = Codec.object().put(SENDER, sender).put(WireNames.FENCING_TOKEN, token);
        ArrayNode list = body.putArray(HEARTBEATS);
        heartbeats.forEach(list::add);
        return body;
    }

    /**
     * Handles each heartbeat of a batch on the leader.
     *
     * @param validityMs milliseconds from now for which the responses may be relayed
     * @param handler handles a heartbeat, given its bytes and the name of the controller that relays it
     */
    public static ServerResponse handleBatch(
            JsonNode body, long token, LongSupplier validityMs, BiFunction<byte[], String, ServerResponse> handler) {
        if (body == null || Codec.u64(body.path(WireNames.FENCING_TOKEN)) != token) {
            return ServerResponse.retryLater("not the leader under that token");
        }
        String sender = body.path(SENDER).asText();
        ArrayNode responses = Codec.array();
        for (JsonNode heartbeat : body.path(HEARTBEATS)) {
            try {
                ServerResponse response =
                        handler.apply(heartbeat.binaryValue(), sender).orRefusalIfInvalid();
                responses
                        .addObject()
                        .put(STATUS, response.status())
                        .put(RETRY_AFTER_S, response.retryAfterS())
                        .set(BODY, response.body());
            } catch (IOException e) {
                responses.addObject().put(STATUS, HTTP_BAD_REQUEST).set(BODY, Codec.object());
            }
        }
        JsonNode batchResponse =
                Codec.object().put(VALIDITY_MS, validityMs.getAsLong()).set(RESPONSES, responses);
        return ServerResponse.of(200, batchResponse);
    }

    static long decodeValidityMs(JsonNode body) {
        return body.path(VALIDITY_MS).asLong();
    }

    static List<ServerResponse> decodeResponses(JsonNode body) {
        List<ServerResponse> responses = new ArrayList<>();
        for (JsonNode response : body.path(RESPONSES)) {
            responses.add(new ServerResponse(
                    response.path(STATUS).asInt(HTTP_SERVICE_UNAVAILABLE),
                    response.path(BODY),
                    response.path(RETRY_AFTER_S).asInt()));
        }
        return responses;
    }

    /** A response that redirects an agent to another controller. */
    public static ServerResponse redirect(String controller) {
        return ServerResponse.of(HTTP_MISDIRECTED_REQUEST, Codec.object().put(REDIRECT, controller));
    }
}
