package org.hollypick.config.constants;

/**
 * Constants of the session with the key-value store, leader election, the leader lease granted by peers, and
 * resignation.
 */
public final class ElectionConstants {
    /**
     * Time to live of a session with the store, in milliseconds. The successor of a crashed leader waits at most this
     * long, so the session bounds the time without a scheduler.
     */
    public static final long SESSION_TTL_MS = 4_000;

    /** Milliseconds between renewals of the session. Three attempts fit into its time to live. */
    public static final long SESSION_RENEWAL_INTERVAL_MS = 1_000;

    /**
     * Minimum milliseconds between two resignations in the cluster, doubled for each recent one. A new leader needs
     * some seconds to receive heartbeats from its machines.
     */
    public static final long RESIGNATION_BACKOFF_MS = 10_000;

    /** Milliseconds for which a resignation counts as recent. */
    public static final long RECENT_RESIGNATION_MS = 300_000;

    /**
     * Maximum number of times {@link #RESIGNATION_BACKOFF_MS} is doubled: the backoff is then about as long as a
     * resignation counts as recent.
     */
    public static final int MAX_RESIGNATION_BACKOFF_DOUBLINGS = 5;

    /**
     * Minimum milliseconds of a term before the leader may resign. Machines send a heartbeat every few seconds, and
     * only the second one shows that the response to the first was received.
     */
    public static final long MIN_TERM_MS = 8_000;

    /**
     * Milliseconds until a failed session renewal or write to the store is retried. Short, so that the end of an outage
     * is noticed soon.
     */
    public static final long STORE_RETRY_MS = 500;

    /**
     * Milliseconds until a starting controller retries to read its member key or to end the session of its earlier
     * incarnation.
     */
    public static final long JOIN_RETRY_MS = 300;

    /**
     * Milliseconds within which a written leader record usually reaches the local replica. The watch takes some tens of
     * milliseconds.
     */
    public static final long LEADER_RECORD_PROPAGATION_MS = 200;

    /**
     * Milliseconds of a leader lease that a peer grants to a leader without access to the store. During that time the
     * peer isn't a candidate itself. A restarted controller waits as long before its candidacy, since its earlier
     * incarnation may have granted a lease.
     */
    public static final long LEASE_GRANT_MS = 4_000;

    /**
     * Milliseconds since the last renewal of the session after which a leader requests lease grants from its peers;
     * less than the session takes to expire.
     */
    public static final long LEASE_GRANT_REQUEST_AFTER_MS = 1_600;

    /** Milliseconds between two rounds of lease grant requests. Several rounds fit into one grant. */
    public static final long LEASE_GRANT_REQUEST_INTERVAL_MS = 700;

    /**
     * Milliseconds for which a controller without access to the store counts as isolated after a peer responded that it
     * has access; each such response extends this time. Meanwhile users are served by the peers.
     */
    public static final long ISOLATION_EXTENSION_MS = 2_000;

    /**
     * Milliseconds by which successive controllers in the candidacy order stagger their claims to a vacant leadership,
     * so that claims rarely collide.
     */
    public static final long CANDIDACY_STAGGER_MS = 150;

    /**
     * Milliseconds after its resignation during which a controller isn't a candidate. Its peers claim the leadership
     * within a second.
     */
    public static final long NO_CANDIDACY_AFTER_RESIGNATION_MS = 6_000;

    /**
     * Number of machines of each zone that a candidate probes before it claims the leadership. Some machines hang at
     * any time, and hung machines that are a tenth of the sample don't decide the election.
     */
    public static final int CANDIDACY_PROBED_MACHINES = 8;

    /**
     * Milliseconds until a candidate's probe times out. If fewer than half of the machines respond, the claim is
     * delayed anyway.
     */
    public static final long CANDIDACY_PROBE_TIMEOUT_MS = 700;

    /**
     * Milliseconds after which a candidate asks its peers about the machines that haven't responded. A machine usually
     * responds within a few milliseconds.
     */
    public static final long CANDIDACY_ASK_PEERS_AFTER_MS = 150;

    /**
     * Additional delay of a candidacy in milliseconds if no machine is reached, decreasing to 0 if half of them are.
     * The other candidates spend up to a second on their probes.
     */
    public static final long CANDIDACY_DELAY_MINORITY_MS = 2_000;

    /**
     * Delay of a candidacy in milliseconds if no machine is reached, in proportion to the unreached share otherwise.
     * Longer than the difference that candidacy order and probing make.
     */
    public static final long CANDIDACY_DELAY_UNREACHED_MS = 1_200;

    /**
     * Delay of a candidacy in milliseconds if all machines are reached through peers only, in proportion to their share
     * otherwise. Shorter than the delay for half of the machines being unreached.
     */
    public static final long CANDIDACY_DELAY_BY_PEER_MS = 300;

    /**
     * Share of the machines from which on a controller counts as reaching nearly all. A better leader directly reaches
     * this share of the machines that the present leader reaches by any route. Less than 1, since one machine of a
     * sample may hang.
     */
    public static final double NEARLY_ALL_REACHED_SHARE = 0.9;

    /**
     * Share of the agent lease after which an isolated leader resigns even during the resignation backoff. Its
     * successor needs some seconds, and tasks whose lease isn't renewed by then are stopped.
     */
    public static final double MAX_ISOLATED_LEASE_SHARE = 1 / 3.0;

    private ElectionConstants() {}
}
