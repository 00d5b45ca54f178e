package org.hollypick.config.constants;

/**
 * The session with the key-value store, leader election, the leader lease granted by peers, and resignation. Each
 * number has its unit and the reason for its value.
 */
public final class ElectionConstants {
    /** Milliseconds. The successor of a crashed leader waits this long at most; it bounds how long nobody schedules. */
    public static final long SESSION_TTL_MS = 4_000;

    /** Milliseconds between renewals: three tries fit into a state session. */
    public static final long SESSION_RENEWAL_INTERVAL_MS = 1_000;

    /**
     * Milliseconds between two resignations in the group, doubled with each lately: a new leader needs some seconds to
     * hear of its machines.
     */
    public static final long RESIGNATION_PAUSE_MS = 10_000;

    /** Milliseconds after which a resignation no longer counts. */
    public static final long RESIGNATION_MEMORY_MS = 300_000;

    /** Doublings of that pause at most: about as long as resignations are remembered. */
    public static final int RESIGNATION_BACKOFF_DOUBLINGS = 5;

    /**
     * Milliseconds that a term lasts at least before it is given up: machines report every few seconds, twice until
     * they are heard of.
     */
    public static final long MIN_TERM_MS = 8_000;

    /** Milliseconds until a failed renewal is tried again: quick enough to catch the end of an outage. */
    public static final long SESSION_RETRY_MS = 500;

    /** Milliseconds until a controller that starts tries again to read its member key or to end the session of it. */
    public static final long JOIN_RETRY_MS = 300;

    /** Milliseconds until a written leader record has reached the replica, usually: the watch takes some tens. */
    public static final long LEADER_RECORD_SETTLE_MS = 200;

    /**
     * Milliseconds for which a node promises a leader that can't reach the state service not to claim its lead; also
     * how long a restarted node waits before it claims another's lead, since its earlier self may have promised.
     */
    public static final long LEASE_GRANT_MS = 4_000;

    /** Milliseconds since the last renewal after which promises are asked for: before the state session can lapse. */
    public static final long LEASE_GRANT_AFTER_MS = 1_600;

    /** Milliseconds between two rounds of asking: several fit into one promise. */
    public static final long LEASE_GRANT_INTERVAL_MS = 700;

    /**
     * Milliseconds for which a node that can't reach the state service, while another can, leaves users to the others;
     * renewed each round.
     */
    public static final long ISOLATION_MS = 2_000;

    /** Milliseconds that nodes wait, by rank, before claiming a free leadership, so that claims rarely collide. */
    public static final long CANDIDACY_STEP_MS = 150;

    /** Milliseconds for which a controller that gave up its lead leaves it to others: they claim within a second. */
    public static final long NO_CANDIDACY_AFTER_RESIGNATION_MS = 6_000;

    /**
     * Machines of each zone that a controller asks before it claims the lead: some always hang, and a tenth doesn't
     * decide.
     */
    public static final int CANDIDACY_PROBED_MACHINES = 8;

    /** Milliseconds for their answers: with fewer than half of them the claim waits anyway. */
    public static final long CANDIDACY_PROBE_TIMEOUT_MS = 700;

    /**
     * Milliseconds after which the other controllers are asked about those that haven't answered: usual answers take a
     * few.
     */
    public static final long CANDIDACY_ASK_PEERS_AFTER_MS = 150;

    /**
     * Milliseconds for which a controller that reaches no machine leaves a free lead to others, beside the next two:
     * they measure for a second.
     */
    public static final long CANDIDACY_DELAY_MAX_MS = 2_000;

    /** Milliseconds that all machines out of reach make, each its part: more than ranks and measuring differ by. */
    public static final long CANDIDACY_DELAY_UNREACHED_MS = 1_200;

    /**
     * Milliseconds that it makes if all are reached by way of another controller only: less than what reaching half of
     * them makes.
     */
    public static final long CANDIDACY_DELAY_BY_PEER_MS = 300;

    /**
     * Share of what a leader reaches by all ways that another must reach alone to lead better: one machine of a sample
     * may hang.
     */
    public static final double BETTER_LEADER_SHARE = 0.9;

    /**
     * Part of the workers' lease for which a leader hears of nearly no machine until it goes, whatever the pause
     * between resignations: the successor needs some seconds, and what isn't answered then ends.
     */
    public static final double ISOLATED_LEASE_SHARE = 1 / 3.0;

    private ElectionConstants() {}
}
