package org.hollypick.cluster;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The typed messages that controllers exchange about leadership, leases and reachability. */
public final class PeerMessages {
    private PeerMessages() {}

    /**
     * A request for a leader lease, sent to a peer by a controller whose session renewals fail.
     *
     * @param token the fencing token of the requesting controller; 0 if that controller does not lead and only asks for
     *     the current leader
     */
    public record LeaderLeaseRequest(long token) {}

    /**
     * The response to a {@link LeaderLeaseRequest}.
     *
     * @param granted whether the peer granted the lease: it does not campaign for leadership while the lease is valid
     * @param reachesStore whether the key-value store responded to the peer recently
     * @param currentLeader the current leader according to the peer; empty if none can lead
     */
    public record LeaderLeaseResponse(boolean granted, boolean reachesStore, Optional<Leader> currentLeader) {}

    /**
     * A request that a peer stop relaying the responses that an incarnation of the requesting controller gave as
     * leader.
     *
     * @param memberRevision the revision of the member key of that incarnation; 0 if the request names none
     */
    public record RelayRevocationRequest(long memberRevision) {}

    /**
     * A request to the leader for permission to renew agents' leases while the requesting controller is partitioned
     * from the leader.
     *
     * @param controller the name of the requesting controller
     * @param token the fencing token of the leader that receives the request
     * @param appliedRevision the revision up to which every change is applied to the requesting controller's replica
     * @param lastGrantNumber the number of the newest response received from this leader; 0 if none
     * @param renewedLeases whether the requesting controller has renewed leases since it sent the last request that
     *     this leader answered
     */
    public record RenewalGrantRequest(
            String controller, long token, long appliedRevision, long lastGrantNumber, boolean renewedLeases) {}

    /**
     * The response to a {@link RenewalGrantRequest}.
     *
     * @param token the fencing token of the leader
     * @param number the sequence number of the response among all responses of this leader in its term
     * @param granted whether the requesting controller may renew leases, for a limited time counted from when it sent
     *     the request
     * @param newestCommandToken the newest token that agents may have seen from this leader; {@code token} or 0 if it
     *     uses no other one
     */
    public record RenewalGrantResponse(long token, long number, boolean granted, long newestCommandToken) {}

    /**
     * A request for the machines that a peer reaches.
     *
     * @param addressByMachine the address of each machine to probe
     */
    public record ReachabilityRequest(Map<String, String> addressByMachine) {}

    /**
     * The response to a {@link ReachabilityRequest}. A machine that is in neither list was not probed.
     *
     * @param reachesStore whether the key-value store responded to the peer recently
     * @param reached the machines that responded to the peer
     * @param listsFailures whether the peer runs a version that lists the failures
     * @param failed the machines that did not respond to the peer
     */
    public record ReachabilityReport(
            boolean reachesStore, List<String> reached, boolean listsFailures, List<String> failed) {}
}
