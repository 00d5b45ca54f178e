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

/** Forwards users' requests about graphs to the leader, once. Confined to the event loop. */
final class GraphForwarding {
    private static final String METHOD = "method";
    private static final String TARGET = "path";
    private static final String BODY = "body";
    private static final int RETRY_LATER = 503;

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

    /** Forwards a request and passes the leader's response on; {@code body}: null if there is none. */
    void forward(String method, String target, JsonNode body, Consumer<ServerResponse> responder) {
        String leaderAddress = settings.peerEndpointAddress(membership.namedLeader());
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
     * The leader's response for the user. One to a read is dropped if this controller has answered from a newer
     * revision meanwhile.
     */
    private ServerResponse leaderResponse(String method, Response response) {
        PeerCodec.ForwardedAnswer answer = PeerCodec.forwardedAnswer(response);
        boolean outdated = !replica.allowsAnswerAt(answer.revision());
        if (answer.status() == 0 || answer.status() == RETRY_LATER || (outdated && method.equals("GET"))) {
            return ServerResponse.retryLater("leader");
        }
        replica.observe(answer.revision());
        return ServerResponse.of(answer.status(), answer.body());
    }

    /** Reads a request that a peer forwarded; the newest revision that it answered from counts as answered here too. */
    GraphRequest receive(JsonNode message) {
        replica.observe(PeerCodec.revision(message));
        JsonNode body = message.path(BODY);
        return GraphRequest.parse(
                message.path(METHOD).asText(), message.path(TARGET).asText(), body.isObject() ? body : null);
    }

    /** Wraps the response to a forwarded request for the peer. */
    ServerResponse wrap(ServerResponse response) {
        return PeerCodec.forwardedAnswer(replica.observedRevision(), response);
    }
}
