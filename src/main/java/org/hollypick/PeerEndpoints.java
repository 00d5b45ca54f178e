package org.hollypick;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import org.hollypick.agent.AgentClient;
import org.hollypick.api.GraphApi;
import org.hollypick.api.PeerCodec;
import org.hollypick.api.UserApi;
import org.hollypick.cluster.Membership;
import org.hollypick.cluster.PeerMessageCodec;
import org.hollypick.cluster.PeerMessages.RenewalGrantRequest;
import org.hollypick.cluster.PeerReachability;
import org.hollypick.config.constants.RelayConstants;
import org.hollypick.control.LeaderTerm;
import org.hollypick.io.EventLoop;
import org.hollypick.io.ServerResponse;
import org.hollypick.peer.PeerRequestDispatcher;
import org.hollypick.peer.RequestRouter;
import org.hollypick.relay.HeartbeatRelay;
import org.hollypick.relay.HeartbeatRelayCodec;

/** Dispatches the requests of other controllers, at the peer address, to the components that handle them. */
final class PeerEndpoints {

    private final EventLoop eventLoop;
    private final Membership membership;
    private final TermSupervisor terms;
    private final PeerRequestDispatcher dispatcher = new PeerRequestDispatcher();
    private UserApi users;

    PeerEndpoints(EventLoop eventLoop, Membership membership, TermSupervisor terms) {
        this.eventLoop = eventLoop;
        this.membership = membership;
        this.terms = terms;
    }

    /** Registers the handlers for leader leases, the renewal of agents' leases, and relayed heartbeats. */
    void serveLeasesAndHeartbeats(HeartbeatRelay heartbeatRelay) {
        dispatcher.on(
                PeerMessageCodec.LEADER_LEASE_PATH,
                (body, responder) -> responder.accept(ok(PeerMessageCodec.write(
                        membership.leaderLeaseRequested(PeerMessageCodec.readLeaderLeaseRequest(body))))));
        dispatcher.on(
                PeerMessageCodec.RENEWAL_GRANT_PATH,
                (body, responder) -> responder.accept(grantRenewal(PeerMessageCodec.readRenewalGrantRequest(body))));
        dispatcher.on(PeerMessageCodec.RELAY_REVOCATION_PATH, (body, responder) -> {
            long memberRevision =
                    PeerMessageCodec.readRelayRevocationRequest(body).memberRevision();
            heartbeatRelay.discardResponsesOf(memberRevision);
            responder.accept(ok(PeerMessageCodec.writeRelayRevocationResponse(memberRevision != 0)));
        });
        dispatcher.on(
                HeartbeatRelayCodec.BATCH_PATH, (body, responder) -> responder.accept(handleRelayedHeartbeats(body)));
    }

    private ServerResponse grantRenewal(RenewalGrantRequest request) {
        return terms.holdsLeaderLease()
                        && request.token() == terms.currentTerm().token()
                ? terms.currentTerm().grantPartitionedRenewal(request)
                : ServerResponse.retryLater("not the leader under that token");
    }

    private ServerResponse handleRelayedHeartbeats(JsonNode body) {
        if (!terms.holdsLeaderLease()) {
            return ServerResponse.retryLater("not the leader");
        }
        LeaderTerm term = terms.currentTerm();
        return HeartbeatRelayCodec.handleBatch(body, term.token(), () -> relayValidityMs(term), terms::respond)
                .onlyWhile(term::holdsLeaderLease);
    }

    /** The milliseconds for which a peer may relay this leader's responses: at most the rest of the leader lease. */
    private long relayValidityMs(LeaderTerm term) {
        long leaseMs = membership.leaderLeaseValidUntil(term.token()) - eventLoop.now();
        return Math.min(RelayConstants.RELAYED_RESPONSE_VALIDITY_MS, leaseMs);
    }

    /** Registers the handlers that forward requests to the key-value store for peers that can't reach it. */
    void serveForwardedStoreRequests(RequestRouter storeRequests) {
        dispatcher.on(RequestRouter.FORWARD_PATH, storeRequests::forward);
        dispatcher.on(RequestRouter.FORWARD_WATCH_PATH, storeRequests::forward);
    }

    /** Registers the handler that reports which machines this controller reaches. */
    void serveReachability(AgentClient agentClient) {
        dispatcher.on(
                PeerMessageCodec.REACHABILITY_PATH,
                (body, responder) -> PeerReachability.respond(
                        agentClient,
                        PeerMessageCodec.readReachabilityRequest(body),
                        membership.reachesStore(),
                        report -> responder.accept(ok(PeerMessageCodec.write(report)))));
    }

    /** Registers the handlers for users' requests that a peer received and that need the leader. */
    void serveUserRequests(UserApi userApi, boolean servesEstimates) {
        users = userApi;
        dispatcher.on(PeerCodec.STATUS_PATH, (body, responder) -> responder.accept(userApi.statusForPeer(body)));
        if (servesEstimates) {
            dispatcher.on(
                    PeerCodec.ESTIMATE_PATH, (body, responder) -> responder.accept(userApi.estimateForPeer(body)));
        }
    }

    /** Registers the handler for requests about graphs that a peer received and that need the leader. */
    void serveGraphs(GraphApi graphs) {
        dispatcher.on(GraphApi.PEER_PATH, graphs::handleForwarded);
    }

    /** Handles a request from another controller. */
    void handle(String method, String path, byte[] body, Consumer<ServerResponse> responder) {
        Optional<String> cancelledJob = method.equals("POST") ? PeerCodec.cancelledJob(path) : Optional.empty();
        if (cancelledJob.isPresent()) {
            users.cancelForPeer(cancelledJob.get(), responder);
        } else {
            dispatcher.handle(method, path, body, responder);
        }
    }

    private static ServerResponse ok(JsonNode body) {
        return ServerResponse.of(200, body);
    }
}
