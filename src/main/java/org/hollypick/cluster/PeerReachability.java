package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.agent.AgentClient;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;

/** The question of one controller to another which of some machines answer that one. */
public final class PeerReachability {
    public static final String PATH = "/reach";

    /** {@code tells}: it is of a version that says what it tried in vain. */
    public record ReachabilityReport(boolean reachesState, List<String> reached, boolean tells, List<String> failed) {}

    private PeerReachability() {}

    /** Asks one peer about machines, by their addresses; null if it didn't answer. */
    public static void ask(
            EventLoop eventLoop, String peer, Map<String, String> machines, Consumer<ReachabilityReport> then) {
        ObjectNode body = Codec.object();
        ObjectNode addresses = body.putObject("machines");
        machines.forEach(addresses::put);
        eventLoop.send(
                new Request(peer, "POST", PATH, body, ReachabilityConstants.PEER_CHECK_TIMEOUT_MS, true),
                r -> then.accept(
                        !r.ok()
                                ? null
                                : new ReachabilityReport(
                                        r.body().path("reaches_state").asBoolean(),
                                        names(r.body().path("reached")),
                                        r.body().has("failed"),
                                        names(r.body().path("failed")))));
    }

    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(n -> names.add(n.asText()));
        return names;
    }

    /** The asked one's side: it tries them all at once. */
    public static void answer(
            AgentClient agentClient, JsonNode body, boolean reachesState, Consumer<ServerResponse> responder) {
        ObjectNode told = Codec.object().put("reaches_state", reachesState);
        ArrayNode reached = told.putArray("reached");
        ArrayNode failed = told.putArray("failed");
        List<Map.Entry<String, JsonNode>> asked = new ArrayList<>();
        if (body != null) {
            body.path("machines").fields().forEachRemaining(f -> {
                if (f.getValue().isTextual()
                        && f.getValue().asText().contains(":")
                        && asked.size() < ReachabilityConstants.PEER_CHECK_MAX_MACHINES) {
                    asked.add(f);
                }
            });
        }
        int[] open = {asked.size()};
        if (open[0] == 0) {
            responder.accept(ServerResponse.of(200, told));
        }
        for (Map.Entry<String, JsonNode> m : asked) {
            agentClient.inspect(
                    m.getKey(), m.getValue().asText(), ReachabilityConstants.PEER_CHECK_PROBE_TIMEOUT_MS, r -> {
                        if (r.ok()) {
                            reached.add(m.getKey());
                        } else if (!r.failedWith(Response.Failure.NO_CAPACITY)) {
                            failed.add(m.getKey());
                        }
                        if (--open[0] == 0) {
                            responder.accept(ServerResponse.of(200, told));
                        }
                    });
        }
    }
}
