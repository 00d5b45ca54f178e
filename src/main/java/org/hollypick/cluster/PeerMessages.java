package org.hollypick.cluster;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The typed messages that controllers exchange about leadership, leases and reachability. */
public final class PeerMessages {
    private PeerMessages() {}

    /**
     * A controller whose session renewals fail asks a peer for a leader lease.
     *
     * @param token the fencing token of the asking controller; 0 if it does not lead and only wants to be informed
     */
    public record LeaderLeaseRequest(long token) {}

    /**
     * The answer to a {@link LeaderLeaseRequest}.
     *
     * @param granted the peer will not campaign against that token for a while
     * @param reachesStore the key-value store answered the peer lately
     * @param currentLeader the leader that the peer knows of
     */
    public record LeaderLeaseResponse(boolean granted, boolean reachesStore, Optional<Leader> currentLeader) {}

    /**
     * A controller asks a peer to relay no more responses that one of its incarnations gave as leader.
     *
     * @param memberRevision the revision of the member key of that incarnation; 0 if the request names none
     */
    public record RelayRevocationRequest(long memberRevision) {}

    /**
     * A controller asks the leader whether it may renew agents' leases while it is partitioned from the leader.
     *
     * @param controller the name of the asking controller
     * @param token the fencing token of the leader that is asked
     * @param appliedRevision every change up to this revision is in the asking controller's replica
     * @param lastGrantNumber the number of the newest response of this leader that it received
     * @param renewedLeases it renewed leases since the last request that reached the leader
     */
    public record RenewalGrantRequest(
            String controller, long token, long appliedRevision, long lastGrantNumber, boolean renewedLeases) {}

    /**
     * The answer to a {@link RenewalGrantRequest}.
     *
     * @param token the fencing token of the leader
     * @param number counts the responses of this leader in this term
     * @param granted the asking controller may renew leases for a while, counted from when it sent the request
     */
    public record RenewalGrantResponse(long token, long number, boolean granted) {}

    /**
     * A controller asks a peer which machines that one reaches.
     *
     * @param addressByMachine the address of each machine asked about
     */
    public record ReachabilityRequest(Map<String, String> addressByMachine) {}

    /**
     * The answer to a {@link ReachabilityRequest}. A machine that is in neither list was not probed.
     *
     * @param reachesStore the key-value store answered the peer lately
     * @param reached machines that answered the peer
     * @param listsFailures the peer runs a version that lists the failures
     * @param failed machines that did not answer the peer
     */
    public record ReachabilityReport(
            boolean reachesStore, List<String> reached, boolean listsFailures, List<String> failed) {}
}
