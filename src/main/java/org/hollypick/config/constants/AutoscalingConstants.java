package org.hollypick.config.constants;

/** Scale out and scale in. Each number has its unit and the reason for its value. */
public final class AutoscalingConstants {
    /**
     * Milliseconds for which an idle spot instance is kept: scaling out again costs a boot later, and 60 s are charged
     * anyway.
     */
    public static final long IDLE_SPOT_TIMEOUT_MS = 45_000;

    /**
     * Milliseconds for which an idle on-demand instance is kept: it costs two and a half times as much as a spot
     * instance.
     */
    public static final long IDLE_ON_DEMAND_TIMEOUT_MS = 15_000;

    /** Seconds over which the mean arriving work is measured: a few jobs' worth. */
    public static final double ARRAY_ARRIVAL_WINDOW_S = 120;

    /**
     * Capacity kept for job arrays, as a multiple of the mean arriving work when that is known well: the load varies.
     */
    public static final double ARRAY_CAPACITY_HEADROOM_RATIO = 1.5;

    /** Jobs in the window at which the mean is trusted by half: the sizes of jobs vary by as much as their mean. */
    public static final double HALF_CONFIDENCE_JOBS = 30;

    /**
     * Arrivals that the mean predicted and that didn't come, after which the mean is dropped: by chance this happens
     * once in e^12 times.
     */
    public static final double MAX_MISSED_ARRIVALS = 12;

    /** Seconds of measurement before a mean is used. */
    public static final double MIN_LOAD_OBSERVATION_S = 5;

    /** Milliseconds at the start of the first term whose arrivals aren't counted into the means. */
    public static final long FIRST_TERM_WARM_UP_MS = 30_000;

    /** Multiple of the cores that job arrays use or wait for beyond which capacity is more than needed. */
    public static final double SURPLUS_THRESHOLD_RATIO = 1.1;

    /** Seconds of image fetching that a job array spends at most to leave a surplus machine unused. */
    public static final double SURPLUS_MACHINE_PENALTY_S = 30;

    /** Scale-out requests for job arrays in one autoscaling cycle at most: the cloud takes a few requests a second. */
    public static final int MAX_ARRAY_SCALE_OUT_REQUESTS_PER_CYCLE = 4;

    /** Seconds within which pending work should be caught up once new machines are up. */
    public static final double BACKLOG_COMPLETION_TARGET_S = 40;

    /**
     * The same before on-demand instances are started for job arrays that may use spot instances, while these are
     * refused.
     */
    public static final double ON_DEMAND_BACKLOG_COMPLETION_TARGET_S = 40;

    /**
     * Multiple of the mean load, as far as that is trusted, up to which on-demand instances are started for job arrays
     * while spot instances are refused.
     */
    public static final double MAX_ON_DEMAND_LOAD_RATIO = 1.7;

    /** Weight of the newest finished task in the ratio of run time to estimate: a few jobs of tens of tasks. */
    public static final double RUN_TIME_SMOOTHING_FACTOR = 0.005;

    /** Milliseconds for which a machine type that the cloud refused isn't asked for again. */
    public static final long REFUSED_POOL_BACKOFF_MS = 12_000;

    /** Machines in one scale-out request at most, from the cloud's protocol. */
    public static final int MAX_INSTANCES_PER_REQUEST = 50;

    /** Machines in one scale-in request at most, from the cloud's protocol. */
    public static final int MAX_TERMINATIONS_PER_REQUEST = 100;

    /** Cores kept free for future service tasks, per zone, at least. */
    public static final double MIN_STANDBY_CORES_PER_ZONE = 4.0;

    /**
     * Seconds of the mean arriving services for which capacity is kept free: services also end, so less than a boot's
     * worth; work of lower priority may use it.
     */
    public static final double STANDBY_ARRIVALS_S = 25;

    /** Seconds over which arriving services are measured: short, so that the many at a start are soon forgotten. */
    public static final double SERVICE_ARRIVAL_WINDOW_S = 60;

    /**
     * Share of the cores of services that is kept free at least: a group of machines may be lost at once, and a boot
     * takes long.
     */
    public static final double STANDBY_SERVICE_SHARE = 0.10;

    /** Multiple of the usual boot time after which a machine that isn't up no longer counts as future capacity. */
    public static final double SLOW_BOOT_RATIO = 1.6;

    /**
     * Excess capacity that a zone must have, as a multiple of the machines that are drained: with less, machines would
     * come and go.
     */
    public static final double EXCESS_TO_DRAINED_CAPACITY_RATIO = 2;

    /** Replicas that are moved in one autoscaling cycle at most, so that few are down at a time. */
    public static final int MAX_MOVES_PER_CYCLE = 4;

    /**
     * Seconds of image fetching that a replica spends at most to stay off a machine that is drained next. It decides
     * among very many machines, where shares of services differ by less, but neither against a spread over few machines
     * nor for a preemption.
     */
    public static final double DRAINED_NEXT_PENALTY_S = 0.5;

    /**
     * Share of all services that fits on one machine, up to which replicas stay off the machines drained next: among
     * few machines they spread.
     */
    public static final double MAX_DRAINED_NEXT_MACHINE_SHARE = 0.05;

    /** Milliseconds for which a replica runs before it may be moved. */
    public static final long MIN_RUN_TIME_BEFORE_MOVE_MS = 40_000;

    private AutoscalingConstants() {}
}
