package org.hollypick.config.constants;

/**
 * The session with the key-value store, leader election, the leader lease granted by peers, and resignation. Each
 * number has its unit and the reason for its value.
 */
public final class ElectionConstants {
    /**
     * Milliseconds of a session with the store. The successor of a crashed leader waits this long at most, so it bounds
     * how long nobody schedules.
     */
    public static final long SESSION_TTL_MS = 4_000;

    /** Milliseconds between renewals of the session: three attempts fit into its TTL. */
    public static final long SESSION_RENEWAL_INTERVAL_MS = 1_000;

    /**
     * Milliseconds between two resignations in the group, doubled with each recent one: a new leader needs some seconds
     * to receive heartbeats from its machines.
     */
    public static final long RESIGNATION_BACKOFF_MS = 10_000;

    /** Milliseconds after which a resignation no longer counts as recent. */
    public static final long RECENT_RESIGNATION_MS = 300_000;

    /** Doublings of that pause at most: about as long as resignations are remembered. */
    public static final int MAX_RESIGNATION_BACKOFF_DOUBLINGS = 5;

    /**
     * Milliseconds that a term lasts at least before the leader resigns: machines send a heartbeat every few seconds,
     * and the second one confirms them.
     */
    public static final long MIN_TERM_MS = 8_000;

    /** Milliseconds until a failed renewal is retried: short enough to notice the end of an outage. */
    public static final long STORE_RETRY_MS = 500;

    /** Milliseconds until a controller that starts tries again to read its member key or to end the session of it. */
    public static final long JOIN_RETRY_MS = 300;

    /** Milliseconds until a written leader record has reached the replica, usually: the watch takes some tens. */
    public static final long LEADER_RECORD_PROPAGATION_MS = 200;

    /**
     * Milliseconds for which a peer grants a leader lease to a leader that can't reach the store, and isn't a candidate
     * itself; also how long a restarted controller waits before it is a candidate, since its earlier incarnation may
     * have granted a lease.
     */
    public static final long LEASE_GRANT_MS = 4_000;

    /**
     * Milliseconds since the last renewal of the session after which lease grants are requested from peers: before the
     * session can expire.
     */
    public static final long LEASE_GRANT_REQUEST_AFTER_MS = 1_600;

    /** Milliseconds between two rounds of these requests: several fit into one grant. */
    public static final long LEASE_GRANT_REQUEST_INTERVAL_MS = 700;

    /**
     * Milliseconds for which a controller that can't reach the store, while a peer can, leaves users to its peers;
     * extended in each round.
     */
    public static final long ISOLATION_EXTENSION_MS = 2_000;

    /**
     * Milliseconds that controllers wait, by candidacy order, before they claim a vacant leadership, so that claims
     * rarely collide.
     */
    public static final long CANDIDACY_STAGGER_MS = 150;

    /**
     * Milliseconds for which a controller that resigned isn't a candidate: its peers claim the leadership within a
     * second.
     */
    public static final long NO_CANDIDACY_AFTER_RESIGNATION_MS = 6_000;

    /**
     * Machines of each zone that a candidate probes before it claims the leadership: some always hang, and a tenth
     * doesn't decide.
     */
    public static final int CANDIDACY_PROBED_MACHINES = 8;

    /** Milliseconds for their responses: with fewer than half of them the claim is delayed anyway. */
    public static final long CANDIDACY_PROBE_TIMEOUT_MS = 700;

    /** Milliseconds after which peers are asked about machines that haven't responded: usual responses take a few. */
    public static final long CANDIDACY_ASK_PEERS_AFTER_MS = 150;

    /**
     * Milliseconds for which a controller that reaches no machine leaves a vacant leadership to others, in addition to
     * the next two: they probe for a second.
     */
    public static final long CANDIDACY_DELAY_MINORITY_MS = 2_000;

    /**
     * Milliseconds of delay if all machines are unreachable, in proportion if some are: more than candidacy order and
     * probing differ by.
     */
    public static final long CANDIDACY_DELAY_UNREACHED_MS = 1_200;

    /**
     * Milliseconds of delay if all machines are reached through a peer only: less than for half of them unreachable.
     */
    public static final long CANDIDACY_DELAY_BY_PEER_MS = 300;

    /**
     * Share of the machines that a leader reaches by any route which another controller must reach directly to be the
     * better leader: one machine of a sample may hang.
     */
    public static final double NEARLY_ALL_REACHED_SHARE = 0.9;

    /**
     * Share of the agents' lease for which a leader receives nearly no heartbeat until it resigns, whatever the pause
     * between resignations: its successor needs some seconds, and tasks whose heartbeat isn't answered by then end.
     */
    public static final double MAX_ISOLATED_LEASE_SHARE = 1 / 3.0;

    private ElectionConstants() {}
}
