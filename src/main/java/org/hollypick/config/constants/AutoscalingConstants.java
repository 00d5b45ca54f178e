package org.hollypick.config.constants;

/** Scale out and scale in. Each number has its unit and the reason for its value. */
public final class AutoscalingConstants {
    /**
     * Milliseconds for which an idle spot instance is kept: scaling out again costs a boot later, and 60 s are charged
     * anyway.
     */
    public static final long IDLE_SPOT_MS = 45_000;

    /**
     * Milliseconds for which an idle on-demand instance is kept: it costs two and a half times as much as a spot
     * instance.
     */
    public static final long IDLE_ON_DEMAND_MS = 15_000;

    /** Seconds over which the mean arriving work is measured: a few jobs' worth. */
    public static final double LOAD_WINDOW_S = 120;

    /**
     * Capacity kept for job arrays, as a multiple of the mean arriving work when that is known well: the load varies.
     */
    public static final double LOAD_HEADROOM = 1.5;

    /** Jobs in the window at which the mean is trusted by half: the sizes of jobs vary by as much as their mean. */
    public static final double LOAD_DOUBT_JOBS = 30;

    /**
     * Arrivals that the mean predicted and that didn't come, after which the mean is dropped: by chance this happens
     * once in e^12 times.
     */
    public static final double MISSED_ARRIVALS = 12;

    /** Seconds of measurement before a mean is used. */
    public static final double MEAN_MIN_S = 5;

    /** Milliseconds at the start of the first term whose arrivals aren't counted into the means. */
    public static final long WARM_UP_MS = 30_000;

    /** Multiple of the cores that job arrays use or wait for beyond which capacity is more than needed. */
    public static final double BUSY_MARGIN = 1.1;

    /** Seconds of image fetching that a job array spends at most to leave a surplus machine unused. */
    public static final double SURPLUS_PENALTY_S = 30;

    /** Scale-out requests for job arrays in one autoscaling cycle at most: the cloud takes a few requests a second. */
    public static final int MAX_SCALE_OUT_REQUESTS = 4;

    /** Seconds within which pending work should be caught up once new machines are up. */
    public static final double CATCH_UP_S = 40;

    /**
     * The same before on-demand instances are started for job arrays that may use spot instances, while these are
     * refused.
     */
    public static final double CATCH_UP_ON_DEMAND_S = 40;

    /**
     * Multiple of the mean load, as far as that is trusted, up to which on-demand instances are started for job arrays
     * while spot instances are refused.
     */
    public static final double ON_DEMAND_LOAD = 1.7;

    /** Weight of the newest finished task in the ratio of run time to estimate: a few jobs of tens of tasks. */
    public static final double RUN_RATIO_WEIGHT = 0.005;

    /** Milliseconds for which a machine type that the cloud refused isn't asked for again. */
    public static final long NO_CAPACITY_MS = 12_000;

    /** Machines in one scale-out request at most, from the cloud's protocol. */
    public static final int MAX_INSTANCES_PER_REQUEST = 50;

    /** Machines in one scale-in request at most, from the cloud's protocol. */
    public static final int MAX_TERMINATIONS_PER_REQUEST = 100;

    /** Cores kept free for future service tasks, per zone, at least. */
    public static final double STANDBY_CORES = 4.0;

    /**
     * Seconds of the mean arriving services for which capacity is kept free: services also end, so less than a boot's
     * worth; work of lower priority may use it.
     */
    public static final double STANDBY_S = 25;

    /** Seconds over which arriving services are measured: short, so that the many at a start are soon forgotten. */
    public static final double SERVICE_WINDOW_S = 60;

    /**
     * Share of the cores of services that is kept free at least: a group of machines may be lost at once, and a boot
     * takes long.
     */
    public static final double STANDBY_SHARE = 0.10;

    /** Multiple of the usual boot time after which a machine that isn't up no longer counts as future capacity. */
    public static final double SLOW_BOOT_MULTIPLE = 1.6;

    /**
     * Excess capacity that a zone must have, as a multiple of the machines that are drained: with less, machines would
     * come and go.
     */
    public static final double MOVE_MARGIN = 2;

    /** Replicas that are moved in one autoscaling cycle at most, so that few are down at a time. */
    public static final int MAX_MOVES = 4;

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
    public static final double DRAINED_NEXT_SHARE = 0.05;

    /** Milliseconds for which a replica runs before it may be moved. */
    public static final long MOVE_AFTER_MS = 40_000;

    private AutoscalingConstants() {}
}
