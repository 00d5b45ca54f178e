package org.hollypick.config.constants;

/** Constants of agent leases and their renewal by a controller in a network partition. */
public final class LeaseConstants {
    /**
     * Milliseconds between a controller's requests to the leader for permission to renew agent leases in a partition:
     * one small request a second.
     */
    public static final long RENEWAL_GRANT_INTERVAL_MS = 1_000;

    /**
     * Milliseconds without a response from the leader after which a controller counts as partitioned from it. Longer
     * than two requests take.
     */
    public static final long LEADER_UNREACHABLE_AFTER_MS = 2_500;

    /**
     * Milliseconds of a cancelled task's time limit that must remain when a lease renewed in a partition expires. This
     * time is needed to find and stop a task that a command in flight started.
     */
    public static final long RENEWAL_GRANT_MARGIN_MS = 3_000;

    /**
     * Minimum milliseconds of a grant to renew leases in a partition. Shorter grants are useless, since agents send a
     * heartbeat only every few seconds.
     */
    public static final long MIN_RENEWAL_GRANT_MS = 3_000;

    /** Maximum number of grants to one controller whose times the leader stores. More are never in flight. */
    public static final int MAX_TRACKED_GRANTS_PER_CONTROLLER = 8;

    /** Milliseconds added to an agent's lease before it counts as expired, since the agent's clock runs in steps. */
    public static final long AGENT_LEASE_MARGIN_MS = 500;

    private LeaseConstants() {}
}
