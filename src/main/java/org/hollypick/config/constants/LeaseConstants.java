package org.hollypick.config.constants;

/**
 * Leases of workers, and their renewal by a controller in a network partition. Each number has its unit and the reason
 * for its value.
 */
public final class LeaseConstants {
    /**
     * Milliseconds between two questions of a controller to the leader whether it may keep leases: one small call a
     * second.
     */
    public static final long RENEWAL_GRANT_INTERVAL_MS = 1_000;

    /**
     * Milliseconds without an answer of the leader after which a controller counts as cut off from it: two questions
     * and more.
     */
    public static final long LEADER_LOST_MS = 2_500;

    /**
     * Milliseconds of a cancelled task's time that are left when a kept lease ends: to find and end what an order still
     * under way started.
     */
    public static final long RENEWAL_GRANT_MARGIN_MS = 3_000;

    /** Milliseconds below which keeping isn't worth anything: workers report every few seconds. */
    public static final long RENEWAL_GRANT_MIN_MS = 3_000;

    /** Answers of a leader that it remembers the times of, by controller: more are never under way. */
    public static final int REMEMBERED_GRANTS = 8;

    /** Milliseconds added to a worker's lease before it counts as over: its own clock's steps. */
    public static final long LEASE_MARGIN_MS = 500;

    private LeaseConstants() {}
}
