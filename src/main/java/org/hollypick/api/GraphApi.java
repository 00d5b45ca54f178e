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
 * Serves requests of users and running tasks about graphs on any controller: the leader handles them, and the other
 * controllers forward them to the leader. Confined to the event loop.
 */
public final class GraphApi {
    /** Peer endpoint (POST, JSON) for users' requests about graphs that another controller forwards. */
    public static final String PEER_PATH = "/graph";

    private final LocalJobState localJobs;
    private final GraphForwarding forwarding;
    private final GraphEndpoints endpoints;

    /** Creates the endpoints; all arguments are instances that the rest of the controller uses too. */
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

    /**
     * Handles a user's request about graphs.
     *
     * @param target path and query; begins with {@code /graphs}
     * @param bytes the CBOR body
     */
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

    /**
     * Handles a request that another controller forwards.
     *
     * @param message null if it couldn't be parsed
     */
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
