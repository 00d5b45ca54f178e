package org.hollypick.config.constants;

/** Constants of the Tyrex scheduler, fair share and the choice of a machine. */
public final class SchedulingConstants {
    /**
     * Default share of the machines in Tyrex's first partition. The best results in the Tyrex paper have 20 % and 30 %.
     */
    public static final double FIRST_PARTITION_SHARE = 0.30;

    /**
     * Squared coefficient of variation above which a partition counts as unbalanced (section IV-D of the Tyrex paper).
     */
    public static final double UNBALANCED_SQUARED_CV = 2.0;

    /**
     * Milliseconds without a change in a team's usage after which its job arrays get the part of the quota that is
     * reserved for pending services but too small for them. Half of the time that a job may wait while capacity is
     * free.
     */
    public static final long QUOTA_RESERVATION_MS = 45_000;

    /** Number of idle machines that the first partition keeps when it lends others. */
    public static final int MIN_IDLE_FIRST_PARTITION_MACHINES = 1;

    /**
     * Number of steps in which the gap between two neighbouring sizes is searched for the cutoff: the point at which
     * the parts of the sizes below it have the same relative variation as those above it. A gap can contain two such
     * points.
     */
    public static final int CUTOFF_SEARCH_STEPS = 32;

    /**
     * With several teams, every fourth machine with free capacity is filled in arrival order alone, as in the Tyrex
     * paper. Under strict priority a flood of jobs of one class would starve lower classes for as long as it lasts.
     * Higher priorities lose a quarter of that capacity while older work of lower priority waits.
     */
    public static final int ARRIVAL_ORDER_MACHINE_INTERVAL = 4;

    /**
     * Core-seconds of lower-priority work that may be lost by preemption to save a service one second of image
     * fetching.
     */
    public static final double PREEMPTED_CORE_S_PER_FETCH_S = 20;

    /** Penalty for each other replica of the same service on a machine, in seconds of image fetching. */
    public static final double REPLICA_ANTI_AFFINITY_PENALTY_S = 5;

    /**
     * Penalty for a machine that runs all services, in seconds of image fetching, and in proportion to its share of
     * them otherwise.
     */
    public static final double SERVICE_CONCENTRATION_PENALTY_S = 12;

    /** Tolerance in cores, GPUs or gigabytes for rounding errors in sums of decimal amounts. */
    public static final double RESOURCE_ROUNDING_TOLERANCE = 1e-6;

    private SchedulingConstants() {}
}
