package org.hollypick.config.constants;

/** Tyrex, fair share and the choice of a machine. Each number has its unit and the reason for its value. */
public final class SchedulingConstants {
    /** Share of the machines in Tyrex's first partition; 20 % and 30 % are the paper's best. */
    public static final double FIRST_PARTITION_SHARE = 0.30;

    /** Squared coefficient of variation above which a partition counts as unbalanced (section IV D of the paper). */
    public static final double UNBALANCED_SQUARED_CV = 2.0;

    /**
     * Milliseconds without a change of a team's usage after which job arrays get what its pending services can't use of
     * its quota: half of what a job may wait beside free capacity.
     */
    public static final long QUOTA_RESERVATION_MS = 45_000;

    /** Machines the first partition keeps free before it lends. */
    public static final int MIN_IDLE_FIRST_PARTITION_MACHINES = 1;

    /**
     * Steps in which the space between two neighbouring sizes is searched for the cutoff: it can hold two sign changes.
     */
    public static final int CUTOFF_SEARCH_STEPS = 32;

    /**
     * With several teams every fourth machine with free capacity is filled by arrival order alone, as in the paper:
     * strict priority would let a flood of one class starve a lower one for as long as it lasts. It costs higher
     * priorities a quarter of that capacity while older work of lower priority waits.
     */
    public static final int ARRIVAL_ORDER_MACHINE_INTERVAL = 4;

    /** Core-seconds of work of lower priority that may be lost to spare a service one second of fetching its image. */
    public static final double PREEMPTED_CORE_S_PER_FETCH_S = 20;

    /** Seconds of fetching that are worth keeping two replicas of one service apart. */
    public static final double REPLICA_ANTI_AFFINITY_PENALTY_S = 5;

    /**
     * Seconds of fetching that are worth not placing all services on one machine, in proportion to its share of them.
     */
    public static final double SERVICE_CONCENTRATION_PENALTY_S = 12;

    private SchedulingConstants() {}
}
