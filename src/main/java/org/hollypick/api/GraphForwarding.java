package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.GraphConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.ServerResponse;

/** Forwards users' requests about graphs to the leader, each once and without retries. Confined to the event loop. */
final class GraphForwarding {
    private static final String METHOD = "method";
    private static final String TARGET = "path";
    private static final String BODY = "body";
    private static final int HTTP_SERVICE_UNAVAILABLE = 503;

    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;
    private final Membership membership;

    GraphForwarding(EventLoop eventLoop, Settings settings, StoreReplica replica, Membership membership) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.replica = replica;
        this.membership = membership;
    }

    /**
     * Forwards a request to the leader and passes the leader's response on to the user.
     *
     * @param target path and query
     * @param body null if there is none
     */
    void forward(String method, String target, JsonNode body, Consumer<ServerResponse> responder) {
        String leaderAddress = settings.meshAddr(membership.namedLeader());
        if (leaderAddress == null) {
            responder.accept(UserResponses.noLeader());
            return;
        }
        ObjectNode message = Codec.object().put(METHOD, method).put(TARGET, target);
        message.put(PeerCodec.REVISION, replica.observedRevision()).set(BODY, body);
        Request request = new Request(
                leaderAddress, "POST", GraphApi.PEER_PATH, message, GraphConstants.GRAPH_FORWARD_TIMEOUT_MS, true);
        eventLoop.send(request, response -> responder.accept(leaderResponse(method, response)));
    }

    /**
     * Converts the leader's response to the one for the user. The response to a read is replaced by a request to retry
     * if an answer that is based on a newer revision may have been given meanwhile.
     */
    private ServerResponse leaderResponse(String method, Response response) {
        PeerCodec.ForwardedAnswer answer = PeerCodec.forwardedAnswer(response);
        boolean outdated = !replica.allowsAnswerAt(answer.revision());
        if (answer.status() == 0 || answer.status() == HTTP_SERVICE_UNAVAILABLE || (outdated && method.equals("GET"))) {
            return ServerResponse.retryLater("leader");
        }
        replica.observe(answer.revision());
        return ServerResponse.of(answer.status(), answer.body());
    }

    /**
     * Parses a request that a peer forwarded, and records the newest revision that the peer has observed: answers of
     * this controller must not be based on an older one.
     */
    GraphRequest receive(JsonNode message) {
        replica.observe(PeerCodec.revision(message));
        JsonNode body = message.path(BODY);
        return GraphRequest.parse(
                message.path(METHOD).asText(), message.path(TARGET).asText(), body.isObject() ? body : null);
    }

    /** Wraps the response to a forwarded request in a message to the peer that forwarded it. */
    ServerResponse wrap(ServerResponse response) {
        return PeerCodec.forwardedAnswer(replica.observedRevision(), response);
    }
}
