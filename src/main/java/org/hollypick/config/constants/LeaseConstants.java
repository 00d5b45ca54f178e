package org.hollypick.config.constants;

/**
 * Leases of agents, and their renewal by a controller in a network partition. Each number has its unit and the reason
 * for its value.
 */
public final class LeaseConstants {
    /**
     * Milliseconds between a controller's requests to the leader for permission to renew agent leases in a partition:
     * one small request a second.
     */
    public static final long RENEWAL_GRANT_INTERVAL_MS = 1_000;

    /**
     * Milliseconds without a response of the leader after which a controller counts as partitioned from it: two
     * requests and more.
     */
    public static final long LEADER_UNREACHABLE_AFTER_MS = 2_500;

    /**
     * Milliseconds of a cancelled task's time that are left when a lease renewed in a partition expires: to find and
     * end what a command still in flight started.
     */
    public static final long RENEWAL_GRANT_MARGIN_MS = 3_000;

    /** Milliseconds below which renewal in a partition isn't worthwhile: agents send a heartbeat every few seconds. */
    public static final long MIN_RENEWAL_GRANT_MS = 3_000;

    /** Grants whose times the leader remembers, by controller: more are never in flight. */
    public static final int MAX_TRACKED_GRANTS_PER_CONTROLLER = 8;

    /** Milliseconds added to an agent's lease before it counts as expired: steps of its own clock. */
    public static final long AGENT_LEASE_MARGIN_MS = 500;

    private LeaseConstants() {}
}
