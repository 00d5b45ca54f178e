package org.hollypick.config.constants;

/**
 * Machines that only some controllers reach, and routes round a broken link. Each number has its unit and the reason
 * for its value.
 */
public final class ReachabilityConstants {
    /** Milliseconds between two questions to the other controllers about such machines. */
    public static final long PEER_CHECK_INTERVAL_MS = 500;

    /** Machines in one such question at most: each costs the asked one a call. */
    public static final int PEER_CHECK_MAX_MACHINES = 48;

    /**
     * Milliseconds for the asked controller's own question to a machine: its answer should be there before the leader's
     * second try is over.
     */
    public static final long PEER_CHECK_PROBE_TIMEOUT_MS = 700;

    /** Milliseconds for the whole question. */
    public static final long PEER_CHECK_TIMEOUT_MS = 1_200;

    /** Milliseconds for which it counts that another controller reached a machine. */
    public static final long PEER_CHECK_VALID_MS = 3_000;

    /**
     * Milliseconds for which a machine that others reach isn't returned, if the lead stays: its lease runs out without
     * a leader's answers.
     */
    public static final long REACHED_BY_PEER_PATIENCE_MS = 10_000;

    /**
     * Machines that others reach and this leader doesn't, from which on another should lead: two may be chance, packets
     * lost or a slow machine.
     */
    public static final int REACHED_BY_PEER_AT_FAULT = 3;

    /** Milliseconds that a worker waits for the answer to its report, from the protocol. */
    public static final long HEARTBEAT_RESPONSE_TIMEOUT_MS = 4_000;

    /**
     * Answers in a row that a machine has shown not to have taken until it counts as unreachable inbound: it tries
     * another controller after each, and there are three.
     */
    public static final int UNACKNOWLEDGED_RESPONSES = 3;

    /**
     * Milliseconds between the reports of a machine that gets no answers at most: it waits for one, then a second, and
     * some slack.
     */
    public static final long UNANSWERED_HEARTBEAT_GAP_MS = 6_500;

    /**
     * Milliseconds for which a deaf machine, or one that has begun again, holds nothing until it is returned: about a
     * lease, after which it would be well by itself.
     */
    public static final long UNREACHABLE_RETURN_MS = 30_000;

    /**
     * Milliseconds without any answer after which a call to the state service goes another way: usual ones take ten,
     * now and then one a few hundred.
     */
    public static final long ROUTE_FAILOVER_MS = 500;

    /** Milliseconds until a way that failed is tried again: at most one small call a second each. */
    public static final long ROUTE_RETRY_MS = 1_000;

    /** Calls of other controllers that one passes on at a time: their own limits keep them to some tens a second. */
    public static final int MAX_FORWARDED_REQUESTS = 48;

    /** Milliseconds for a call that is passed on, at most: as long as a watch. */
    public static final long FORWARDED_REQUEST_TIMEOUT_MS = 10_000;

    /**
     * Milliseconds between a controller's words to a leader that it doesn't reach, while machines come to it that the
     * leader may miss.
     */
    public static final long LEADER_COMPLAINT_INTERVAL_MS = 2_500;

    /**
     * Milliseconds for which reports can't be handed on before that: a leader's crash shows in the leader record by
     * then.
     */
    public static final long LEADER_COMPLAINT_AFTER_MS = 2_000;

    /**
     * Milliseconds for which a machine counts as one that comes here: it asks each controller in turn, some seconds
     * each.
     */
    public static final long LEADER_COMPLAINT_MEMORY_MS = 10_000;

    /** Machines named in it at most: some are enough to show that there are some. */
    public static final int LEADER_COMPLAINT_MACHINES = 16;

    private ReachabilityConstants() {}
}
