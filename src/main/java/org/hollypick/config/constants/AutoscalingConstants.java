package org.hollypick.config.constants;

/** Scale out and scale in. Each number has its unit and the reason for its value. */
public final class AutoscalingConstants {
    /** Milliseconds an idle machine is kept; a return costs a boot later, and 60 s are charged anyway. */
    public static final long IDLE_SPOT_MS = 45_000;

    /** Milliseconds an idle ordinary machine is kept: it costs two and a half times a spot one. */
    public static final long IDLE_ON_DEMAND_MS = 15_000;

    /** Seconds over which the mean arriving work is followed: a few jobs' worth. */
    public static final double LOAD_WINDOW_S = 120;

    /** Room kept for arrays, as a multiple of the mean arriving work, when that is known well: it swings. */
    public static final double LOAD_HEADROOM = 1.5;

    /** Jobs in the window at which the mean is half relied on: sizes vary by as much as their mean. */
    public static final double LOAD_DOUBT_JOBS = 30;

    /**
     * Arrivals that the mean promised and that didn't come, after which it no longer holds: by chance once in e^12
     * times.
     */
    public static final double MISSED_ARRIVALS = 12;

    /** Seconds of watching before a mean says anything. */
    public static final double MEAN_MIN_S = 5;

    /** Milliseconds at the first term's start whose arrivals aren't counted into the means. */
    public static final long WARM_UP_MS = 30_000;

    /** Multiple of the cores that arrays use or wait for beyond which room is more than needed. */
    public static final double BUSY_MARGIN = 1.1;

    /** Seconds of fetching that it costs an array at most to leave a surplus machine alone. */
    public static final double SURPLUS_PENALTY_S = 30;

    /** Requests for machines of arrays in one plan at most: the cloud takes a few calls a second. */
    public static final int MAX_SCALE_OUT_REQUESTS = 4;

    /** Seconds within which work that waits should be caught up once new machines are up. */
    public static final double CATCH_UP_S = 40;

    /** The same before ordinary machines are rented for arrays that may use spot ones, which are refused. */
    public static final double CATCH_UP_ON_DEMAND_S = 40;

    /**
     * Multiple of the mean load, as far as it is relied on, up to which ordinary machines are rented for arrays when
     * spot ones are refused.
     */
    public static final double ON_DEMAND_LOAD = 1.7;

    /** Weight of the newest finished task in the ratio of run time to estimate: a few jobs of tens of tasks. */
    public static final double RUN_RATIO_WEIGHT = 0.005;

    /** Milliseconds during which a refused kind of machine isn't asked for again. */
    public static final long NO_CAPACITY_MS = 12_000;

    /** Machines in one rental request at most, from the protocol. */
    public static final int MAX_INSTANCES_PER_REQUEST = 50;

    /** Names in one return request at most, from the protocol. */
    public static final int MAX_TERMINATIONS_PER_REQUEST = 100;

    /** Cores kept for service tasks to come, per zone, at least. */
    public static final double STANDBY_CORES = 4.0;

    /**
     * Seconds of the mean arriving services for which room is kept: they also end, so less than a boot's worth; lower
     * work may use it.
     */
    public static final double STANDBY_S = 25;

    /** Seconds over which arriving services are followed: short, so that the many at a start are soon forgotten. */
    public static final double SERVICE_WINDOW_S = 60;

    /**
     * Share of the cores of services for which room is kept at least: a group of machines may be lost at once, and a
     * boot takes long.
     */
    public static final double STANDBY_SHARE = 0.10;

    /** Multiple of the usual boot time after which a machine that isn't up no longer counts as room to come. */
    public static final double SLOW_BOOT_MULTIPLE = 1.6;

    /**
     * Room that a zone must have too much, as a multiple of the machines that are emptied: with less they would come
     * and go.
     */
    public static final double MOVE_MARGIN = 2;

    /** Replicas that move in one plan at most, so that few are away at a time. */
    public static final int MAX_MOVES = 4;

    /**
     * Seconds of fetching that it costs a replica at most to stay off a machine that is emptied next: it decides among
     * very many machines, where shares of services differ by less, and neither against a spread over few nor for
     * stopping lower work.
     */
    public static final double DRAINED_NEXT_PENALTY_S = 0.5;

    /**
     * Share of all services that fits on one machine, up to which replicas stay off those emptied next: among few
     * machines they spread.
     */
    public static final double DRAINED_NEXT_SHARE = 0.05;

    /** Milliseconds a replica runs before it may be moved. */
    public static final long MOVE_AFTER_MS = 40_000;

    private AutoscalingConstants() {}
}
