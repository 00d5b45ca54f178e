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
 * Messages between controllers that carry agents' heartbeats: a batch with the bytes of each as they came, and a
 * response for each. Immutable, any thread.
 */
public final class HeartbeatRelayCodec {
    /** Where the leader takes batches. */
    public static final String BATCH_PATH = "/reports";

    /** The controller that relays. */
    private static final String SENDER = "node";

    private static final String HEARTBEATS = "reports";
    private static final String RESPONSES = "answers";
    /** For how many milliseconds the responses may be relayed. */
    private static final String VALIDITY_MS = "right_ms";

    private static final String STATUS = "status";
    private static final String RETRY_AFTER_S = "retry";
    private static final String BODY = "body";
    /** The controller to which an agent is sent. */
    private static final String REDIRECT = "foreman";

    private HeartbeatRelayCodec() {}

    static JsonNode encodeBatch(String sender, long token, List<byte[]> heartbeats) {
        ObjectNode body = Codec.object().put(SENDER, sender).put(WireNames.FENCING_TOKEN, token);
        ArrayNode list = body.putArray(HEARTBEATS);
        heartbeats.forEach(list::add);
        return body;
    }

    /**
     * The leader's side: handles each heartbeat of a batch.
     *
     * @param validityMs for how many milliseconds from now the responses may be relayed
     * @param handler handles a heartbeat, given its bytes and the controller that relays it
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
                        handler.apply(heartbeat.binaryValue(), sender).atSending();
                responses
                        .addObject()
                        .put(STATUS, response.status())
                        .put(RETRY_AFTER_S, response.retryAfterS())
                        .set(BODY, response.body());
            } catch (IOException e) {
                responses.addObject().put(STATUS, 400).set(BODY, Codec.object());
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
                    response.path(STATUS).asInt(503),
                    response.path(BODY),
                    response.path(RETRY_AFTER_S).asInt()));
        }
        return responses;
    }

    /** Sends an agent to another controller. */
    public static ServerResponse redirect(String controller) {
        return ServerResponse.of(421, Codec.object().put(REDIRECT, controller));
    }
}
