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
 * What controllers say to one another about machines' reports: the bytes of each as they came, and an answer for each.
 */
public final class HeartbeatRelayCodec {
    public static final String PATH = "/reports";

    private HeartbeatRelayCodec() {}

    static JsonNode bundle(String node, long token, List<byte[]> reports) {
        ObjectNode body = Codec.object().put("node", node).put(WireNames.FENCING_TOKEN, token);
        ArrayNode list = body.putArray("reports");
        reports.forEach(list::add);
        return body;
    }

    /**
     * The leader's side: an answer for each report of a bundle. {@code rightMs}: for how long from now these answers
     * may be passed on; {@code hello}: by report and by who sent it.
     */
    public static ServerResponse take(
            JsonNode body, long token, LongSupplier rightMs, BiFunction<byte[], String, ServerResponse> hello) {
        if (body == null || Codec.u64(body.path(WireNames.FENCING_TOKEN)) != token) {
            return ServerResponse.retryLater("not the leader under that token");
        }
        ArrayNode answers = Codec.array();
        for (JsonNode report : body.path("reports")) {
            try {
                ServerResponse a = hello.apply(
                                report.binaryValue(), body.path("node").asText())
                        .atSending();
                answers.addObject()
                        .put("status", a.status())
                        .put("retry", a.retryAfterS())
                        .set("body", a.body());
            } catch (IOException e) {
                answers.addObject().put("status", 400).set("body", Codec.object());
            }
        }
        JsonNode told = Codec.object().put("right_ms", rightMs.getAsLong()).set("answers", answers);
        return ServerResponse.of(200, told);
    }

    static long rightMs(JsonNode body) {
        return body.path("right_ms").asLong();
    }

    static List<ServerResponse> answers(JsonNode body) {
        List<ServerResponse> list = new ArrayList<>();
        for (JsonNode a : body.path("answers")) {
            list.add(new ServerResponse(
                    a.path("status").asInt(503), a.path("body"), a.path("retry").asInt()));
        }
        return list;
    }

    /** The machine should report to that controller. */
    public static ServerResponse elsewhere(String node) {
        return ServerResponse.of(421, Codec.object().put("foreman", node));
    }
}
