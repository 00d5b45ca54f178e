package org.hollypick.config.constants;

/** Constants for machines that only some controllers reach, and for routes around a broken link. */
public final class ReachabilityConstants {
    /** Milliseconds between two requests to peers about unreachable machines. */
    public static final long PEER_CHECK_INTERVAL_MS = 500;

    /** Maximum number of machines in one request to peers. Each machine costs the peer a call. */
    public static final int PEER_CHECK_MAX_MACHINES = 48;

    /**
     * Timeout in milliseconds of a peer's probe of a machine. The peer should respond before the leader's second
     * attempt ends.
     */
    public static final long PEER_CHECK_PROBE_TIMEOUT_MS = 700;

    /** Timeout in milliseconds of a request to peers about unreachable machines, including the peer's probes. */
    public static final long PEER_CHECK_TIMEOUT_MS = 1_200;

    /**
     * Milliseconds for which a peer's report on which machines it reaches, or its complaint about the leader, is valid.
     */
    public static final long PEER_CHECK_VALID_MS = 3_000;

    /**
     * Milliseconds during which a machine that only peers reach isn't terminated if the leader doesn't resign. Without
     * the leader's responses the machine's lease expires.
     */
    public static final long REACHED_BY_PEER_GRACE_MS = 10_000;

    /**
     * Number of machines reached only by peers from which on the fault is assumed to lie with the leader, and another
     * controller should lead. Up to two may be chance: lost packets or a slow machine.
     */
    public static final int LOCAL_FAULT_MACHINES_REACHED_BY_PEER = 3;

    /** Milliseconds that an agent waits for the response to its heartbeat, as the protocol specifies. */
    public static final long HEARTBEAT_RESPONSE_TIMEOUT_MS = 4_000;

    /**
     * Number of consecutive responses that a machine has evidently not received after which it counts as unreachable
     * inbound. After each of them the machine sends its heartbeat to the next of the three controllers.
     */
    public static final int UNACKNOWLEDGED_RESPONSE_THRESHOLD = 3;

    /**
     * Maximum milliseconds between two heartbeats of a machine that receives no responses: its response timeout, one
     * more second and some slack.
     */
    public static final long MAX_UNANSWERED_HEARTBEAT_GAP_MS = 6_500;

    /**
     * Milliseconds for which a machine that receives no responses, or has restarted, must be without tasks before it is
     * terminated. About as long as a lease, after which the machine would recover by itself.
     */
    public static final long UNREACHABLE_TERMINATION_DELAY_MS = 30_000;

    /**
     * Milliseconds without a response after which a request to the store is sent by another route. A response usually
     * takes 10 ms, occasionally a few hundred.
     */
    public static final long ROUTE_FAILOVER_MS = 500;

    /** Milliseconds until a failed route is tried again: at most one small request a second for each route. */
    public static final long ROUTE_RETRY_MS = 1_000;

    /**
     * Maximum number of peers' requests that a controller forwards at the same time. The peers' own rate limits keep
     * them to some tens a second.
     */
    public static final int MAX_FORWARDED_REQUESTS = 48;

    /** Maximum timeout in milliseconds of a forwarded request, long enough for a watch. */
    public static final long FORWARDED_REQUEST_TIMEOUT_MS = 10_000;

    /**
     * Minimum milliseconds between two complaints of a controller that can't reach the leader while it receives
     * heartbeats that the leader may not receive.
     */
    public static final long LEADER_COMPLAINT_INTERVAL_MS = 2_500;

    /**
     * Milliseconds for which relaying heartbeats must fail before a controller writes a complaint. If the leader
     * crashed, the leader record shows it by then.
     */
    public static final long LEADER_COMPLAINT_AFTER_MS = 2_000;

    /**
     * Milliseconds for which a machine whose heartbeat couldn't be relayed is named in complaints. A machine tries each
     * controller in turn, for some seconds each.
     */
    public static final long LEADER_COMPLAINT_MACHINE_RETENTION_MS = 10_000;

    /** Maximum number of machines that a complaint names. A few are enough as evidence. */
    public static final int MAX_LEADER_COMPLAINT_MACHINES = 16;

    private ReachabilityConstants() {}
}
