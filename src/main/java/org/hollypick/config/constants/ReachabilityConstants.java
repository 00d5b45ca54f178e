package org.hollypick.config.constants;

/**
 * Machines that only some controllers reach, and routes round a broken link. Each number has its unit and the reason
 * for its value.
 */
public final class ReachabilityConstants {
    /** Milliseconds between two requests to peers about unreachable machines. */
    public static final long PEER_CHECK_INTERVAL_MS = 500;

    /** Machines in one such request at most: each costs the peer a call. */
    public static final int PEER_CHECK_MAX_MACHINES = 48;

    /**
     * Milliseconds for the peer's own probe of a machine: its result should be there before the leader's second attempt
     * is over.
     */
    public static final long PEER_CHECK_PROBE_TIMEOUT_MS = 700;

    /** Milliseconds for the whole request. */
    public static final long PEER_CHECK_TIMEOUT_MS = 1_200;

    /** Milliseconds for which a peer's success in reaching a machine counts. */
    public static final long PEER_CHECK_VALID_MS = 3_000;

    /**
     * Milliseconds for which a machine that peers reach isn't terminated, if the leader stays: its lease expires
     * without a leader's responses.
     */
    public static final long REACHED_BY_PEER_GRACE_MS = 10_000;

    /**
     * Machines that peers reach and this leader doesn't, from which on another controller should lead: two may be
     * chance, lost packets or a slow machine.
     */
    public static final int LOCAL_FAULT_MACHINES_REACHED_BY_PEER = 3;

    /** Milliseconds that an agent waits for the response to its heartbeat, from the protocol. */
    public static final long HEARTBEAT_RESPONSE_TIMEOUT_MS = 4_000;

    /**
     * Consecutive responses that a machine has shown not to have received until it counts as unreachable inbound: it
     * tries another controller after each, and there are three.
     */
    public static final int UNACKNOWLEDGED_RESPONSE_THRESHOLD = 3;

    /**
     * Milliseconds between the heartbeats of a machine that gets no responses at most: it waits for one, then a second,
     * and some slack.
     */
    public static final long MAX_UNANSWERED_HEARTBEAT_GAP_MS = 6_500;

    /**
     * Milliseconds for which a machine that receives no responses, or that has restarted, holds no task until it is
     * terminated: about a lease, after which it would recover by itself.
     */
    public static final long UNREACHABLE_TERMINATION_DELAY_MS = 30_000;

    /**
     * Milliseconds without any response after which a request to the store takes another route: usual responses take
     * ten, now and then one a few hundred.
     */
    public static final long ROUTE_FAILOVER_MS = 500;

    /** Milliseconds until a route that failed is tried again: at most one small request a second each. */
    public static final long ROUTE_RETRY_MS = 1_000;

    /** Requests of peers that a controller forwards at a time: their own limits keep them to some tens a second. */
    public static final int MAX_FORWARDED_REQUESTS = 48;

    /** Milliseconds for a forwarded request at most: as long as a watch. */
    public static final long FORWARDED_REQUEST_TIMEOUT_MS = 10_000;

    /**
     * Milliseconds between a controller's complaints about a leader that it doesn't reach, while it receives heartbeats
     * that the leader may miss.
     */
    public static final long LEADER_COMPLAINT_INTERVAL_MS = 2_500;

    /**
     * Milliseconds for which heartbeats can't be relayed before that: a leader's crash shows in the leader record by
     * then.
     */
    public static final long LEADER_COMPLAINT_AFTER_MS = 2_000;

    /**
     * Milliseconds for which a machine counts as one that sends its heartbeats here: it tries each controller in turn,
     * for some seconds each.
     */
    public static final long LEADER_COMPLAINT_MACHINE_RETENTION_MS = 10_000;

    /** Machines named in a complaint at most: some are enough to show that there are some. */
    public static final int MAX_LEADER_COMPLAINT_MACHINES = 16;

    private ReachabilityConstants() {}
}
