package org.hollypick.api;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.control.LeaderTerm;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;

/**
 * Requests of users and running tasks about graphs, on any controller: the leader answers them, the others forward them
 * to it. Confined to the event loop.
 */
public final class GraphApi {
    /** POST, JSON between controllers: a user's request about graphs. */
    public static final String PEER_PATH = "/graph";

    private final LocalJobState localJobs;
    private final GraphForwarding forwarding;
    private final GraphEndpoints endpoints;

    /** The parts are shared with the rest of the controller. */
    public GraphApi(
            EventLoop eventLoop,
            Settings settings,
            StoreReplica replica,
            Membership membership,
            UserApi userApi,
            LocalJobState localJobs,
            Admission admission) {
        this.localJobs = localJobs;
        this.forwarding = new GraphForwarding(eventLoop, settings, replica, membership);
        this.endpoints = new GraphEndpoints(replica, userApi, localJobs, admission);
    }

    /** Handles a user's request, whose path begins with {@code /graphs}; {@code target}: path and query. */
    public void handle(String method, String target, byte[] bytes, Consumer<ServerResponse> responder) {
        JsonNode body = Codec.read(bytes, false);
        if (method.equals("POST") && (body == null || !body.isObject())) {
            responder.accept(ServerResponse.error(400, "not a CBOR map"));
            return;
        }
        Optional<LeaderTerm> term = localJobs.activeTerm();
        if (term.isPresent()) {
            endpoints.handle(term.get().graphs(), GraphRequest.parse(method, target, body), responder);
        } else {
            forwarding.forward(method, target, body, responder);
        }
    }

    /** Handles a request that another controller forwards; {@code message}: null if it couldn't be read. */
    public void handleForwarded(JsonNode message, Consumer<ServerResponse> responder) {
        Optional<LeaderTerm> term = localJobs.activeTerm();
        if (message == null || term.isEmpty()) {
            responder.accept(ServerResponse.retryLater("not the leader"));
            return;
        }
        endpoints.handle(
                term.get().graphs(),
                forwarding.receive(message),
                response -> responder.accept(forwarding.wrap(response)));
    }
}
