package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hollypick.cluster.PeerMessages.LeaderLeaseRequest;
import org.hollypick.cluster.PeerMessages.LeaderLeaseResponse;
import org.hollypick.cluster.PeerMessages.ReachabilityReport;
import org.hollypick.cluster.PeerMessages.ReachabilityRequest;
import org.hollypick.cluster.PeerMessages.RelayRevocationRequest;
import org.hollypick.cluster.PeerMessages.RenewalGrantRequest;
import org.hollypick.cluster.PeerMessages.RenewalGrantResponse;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.WireNames;

/**
 * Encodes and decodes {@link PeerMessages} as JSON, and defines their paths. A request body is null if the bytes were
 * not valid JSON; it is decoded as an empty request. Pure, any thread.
 */
public final class PeerMessageCodec {
    /** The path of requests for a leader lease. */
    public static final String LEADER_LEASE_PATH = "/promise";
    /** The path of requests to stop relaying an incarnation's responses. */
    public static final String RELAY_REVOCATION_PATH = "/release";
    /** The path of requests to the leader for permission to renew agents' leases in a partition. */
    public static final String RENEWAL_GRANT_PATH = "/keep";
    /** The path of requests for the machines that a peer reaches. */
    public static final String REACHABILITY_PATH = "/reach";

    /** Whether the peer granted the leader lease. */
    private static final String LEASE_GRANTED = "promised";
    /** Whether the peer reaches the key-value store. */
    private static final String REACHES_STORE = "reaches_state";
    /** The name of the leading controller. */
    private static final String LEADER = "leader";
    /** The revision of a member key. */
    private static final String MEMBER_REVISION = "member";
    /** Whether the peer has stopped relaying the incarnation's responses. */
    private static final String RELAY_REVOKED = "released";
    /** The name of the requesting controller. */
    private static final String CONTROLLER = "node";
    /** The revision up to which every change is applied to the requesting controller's replica. */
    private static final String APPLIED_REVISION = "epoch";
    /** The number of the newest response that the requesting controller received. */
    private static final String LAST_GRANT_NUMBER = "echo";
    /** Whether the requesting controller renewed leases. */
    private static final String RENEWED_LEASES = "kept";
    /** The number of a response. */
    private static final String GRANT_NUMBER = "number";
    /** Whether permission to renew leases is granted. */
    private static final String RENEWAL_GRANTED = "granted";
    /** The newest fencing token that agents may have seen; absent in responses of older versions. */
    private static final String NEWEST_COMMAND_TOKEN = "command_token";
    /** The address of each machine to probe, by the machine's name. */
    private static final String MACHINES = "machines";
    /** The machines that responded. */
    private static final String REACHED = "reached";
    /** The machines that did not respond; absent in responses of older versions. */
    private static final String FAILED = "failed";

    private PeerMessageCodec() {}

    /** Encodes a request for a leader lease. */
    public static ObjectNode write(LeaderLeaseRequest request) {
        return Codec.object().put(WireNames.FENCING_TOKEN, request.token());
    }

    /** Decodes a request for a leader lease. */
    public static LeaderLeaseRequest readLeaderLeaseRequest(JsonNode body) {
        return new LeaderLeaseRequest(body == null ? 0 : Codec.u64(body.path(WireNames.FENCING_TOKEN)));
    }

    /** Encodes the response to a request for a leader lease. */
    public static ObjectNode write(LeaderLeaseResponse response) {
        ObjectNode body =
                Codec.object().put(LEASE_GRANTED, response.granted()).put(REACHES_STORE, response.reachesStore());
        response.currentLeader()
                .ifPresent(leader -> body.putObject(WireNames.LEADER_RECORD)
                        .put(LEADER, leader.controller())
                        .put(MEMBER_REVISION, leader.memberRevision())
                        .put(WireNames.FENCING_TOKEN, leader.token()));
        return body;
    }

    /** Decodes the response to a request for a leader lease. */
    public static LeaderLeaseResponse readLeaderLeaseResponse(JsonNode body) {
        JsonNode leader = body.path(WireNames.LEADER_RECORD);
        long token = Codec.u64(leader.path(WireNames.FENCING_TOKEN));
        return new LeaderLeaseResponse(
                body.path(LEASE_GRANTED).asBoolean(),
                body.path(REACHES_STORE).asBoolean(),
                token == 0
                        ? Optional.empty()
                        : Optional.of(new Leader(
                                leader.path(LEADER).asText(), Codec.u64(leader.path(MEMBER_REVISION)), token)));
    }

    /** Encodes a request to stop relaying an incarnation's responses. */
    public static ObjectNode write(RelayRevocationRequest request) {
        return Codec.object().put(MEMBER_REVISION, request.memberRevision());
    }

    /** Decodes a request to stop relaying an incarnation's responses. */
    public static RelayRevocationRequest readRelayRevocationRequest(JsonNode body) {
        return new RelayRevocationRequest(body == null ? 0 : Codec.u64(body.path(MEMBER_REVISION)));
    }

    /** Encodes the response to a {@link RelayRevocationRequest}: whether the peer has stopped relaying. */
    public static ObjectNode writeRelayRevocationResponse(boolean released) {
        return Codec.object().put(RELAY_REVOKED, released);
    }

    /** Decodes the response to a {@link RelayRevocationRequest}: whether the peer has stopped relaying. */
    public static boolean readRelayRevocationResponse(JsonNode body) {
        return body.path(RELAY_REVOKED).asBoolean();
    }

    /** Encodes a request for permission to renew agents' leases. */
    public static ObjectNode write(RenewalGrantRequest request) {
        return Codec.object()
                .put(CONTROLLER, request.controller())
                .put(WireNames.FENCING_TOKEN, request.token())
                .put(APPLIED_REVISION, request.appliedRevision())
                .put(LAST_GRANT_NUMBER, request.lastGrantNumber())
                .put(RENEWED_LEASES, request.renewedLeases());
    }

    /** Decodes a request for permission to renew agents' leases. */
    public static RenewalGrantRequest readRenewalGrantRequest(JsonNode body) {
        JsonNode fields = body == null ? Codec.object() : body;
        return new RenewalGrantRequest(
                fields.path(CONTROLLER).asText(),
                Codec.u64(fields.path(WireNames.FENCING_TOKEN)),
                Codec.u64(fields.path(APPLIED_REVISION)),
                Codec.u64(fields.path(LAST_GRANT_NUMBER)),
                fields.path(RENEWED_LEASES).asBoolean());
    }

    /** Encodes the response to a request for permission to renew agents' leases. */
    public static ObjectNode write(RenewalGrantResponse response) {
        return Codec.object()
                .put(WireNames.FENCING_TOKEN, response.token())
                .put(GRANT_NUMBER, response.number())
                .put(RENEWAL_GRANTED, response.granted())
                .put(NEWEST_COMMAND_TOKEN, response.newestCommandToken());
    }

    /** Decodes the response to a request for permission to renew agents' leases. */
    public static RenewalGrantResponse readRenewalGrantResponse(JsonNode body) {
        return new RenewalGrantResponse(
                Codec.u64(body.path(WireNames.FENCING_TOKEN)),
                Codec.u64(body.path(GRANT_NUMBER)),
                body.path(RENEWAL_GRANTED).asBoolean(),
                Codec.u64(body.path(NEWEST_COMMAND_TOKEN)));
    }

    /** Encodes a request for the machines that a peer reaches. */
    public static ObjectNode write(ReachabilityRequest request) {
        ObjectNode body = Codec.object();
        ObjectNode addresses = body.putObject(MACHINES);
        request.addressByMachine().forEach(addresses::put);
        return body;
    }

    /**
     * Decodes a request for the machines that a peer reaches. Machines without a usable address are ignored; of the
     * others, only the first {@link ReachabilityConstants#PEER_CHECK_MAX_MACHINES} in the order of the request are
     * accepted.
     */
    public static ReachabilityRequest readReachabilityRequest(JsonNode body) {
        Map<String, String> addressByMachine = new LinkedHashMap<>();
        if (body != null) {
            body.path(MACHINES).fields().forEachRemaining(machine -> {
                JsonNode address = machine.getValue();
                if (address.isTextual()
                        && address.asText().contains(":")
                        && addressByMachine.size() < ReachabilityConstants.PEER_CHECK_MAX_MACHINES) {
                    addressByMachine.put(machine.getKey(), address.asText());
                }
            });
        }
        return new ReachabilityRequest(addressByMachine);
    }

    /** Encodes the report of the machines that this controller reached. */
    public static ObjectNode write(ReachabilityReport report) {
        ObjectNode body = Codec.object().put(REACHES_STORE, report.reachesStore());
        ArrayNode reached = body.putArray(REACHED);
        report.reached().forEach(reached::add);
        ArrayNode failed = body.putArray(FAILED);
        report.failed().forEach(failed::add);
        return body;
    }

    /** Decodes the report of the machines that a peer reached. */
    public static ReachabilityReport readReachabilityReport(JsonNode body) {
        return new ReachabilityReport(
                body.path(REACHES_STORE).asBoolean(),
                names(body.path(REACHED)),
                body.has(FAILED),
                names(body.path(FAILED)));
    }

    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        list.forEach(name -> names.add(name.asText()));
        return names;
    }
}
