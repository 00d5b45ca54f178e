package org.hollypick.config.constants;

/** Constants of scale-out and scale-in. */
public final class AutoscalingConstants {
    /**
     * Default of the milliseconds for which an idle spot instance is kept. A new instance takes its boot time to start,
     * and at least 60 s of each instance are charged.
     */
    public static final long IDLE_SPOT_TIMEOUT_MS = 45_000;

    /**
     * Milliseconds for which an idle on-demand instance is kept. Shorter than for spot instances, since an on-demand
     * instance costs two and a half times as much.
     */
    public static final long IDLE_ON_DEMAND_TIMEOUT_MS = 15_000;

    /** Seconds over which the mean load of arriving job arrays is measured. A few jobs arrive in that time. */
    public static final double ARRAY_ARRIVAL_WINDOW_S = 120;

    /**
     * Capacity reserved for job arrays, as a multiple of their mean load at full confidence. More than 1, since the
     * load varies.
     */
    public static final double ARRAY_CAPACITY_HEADROOM_RATIO = 1.5;

    /**
     * Number of jobs in the window at which the confidence in the mean load is one half. Job sizes vary by as much as
     * their mean.
     */
    public static final double HALF_CONFIDENCE_JOBS = 30;

    /**
     * Number of expected job arrays that may fail to arrive before the mean load is reset. At a constant load that many
     * are missing by chance with a probability of e^-12.
     */
    public static final double MAX_MISSED_ARRIVALS = 12;

    /** Seconds for which a mean must have been measured before it is used. */
    public static final double MIN_LOAD_OBSERVATION_S = 5;

    /**
     * Milliseconds at the start of the first leader's term during which arrivals aren't counted: the first burst of
     * submissions doesn't predict the later load.
     */
    public static final long FIRST_TERM_WARM_UP_MS = 30_000;

    /** Needed capacity, as a multiple of the cores that job arrays use or wait for. Cores above it are surplus. */
    public static final double SURPLUS_THRESHOLD_RATIO = 1.1;

    /**
     * Penalty for placing a task of a job array on a surplus machine, in seconds of image fetching: a task is placed on
     * another machine if its image fetch takes up to this much longer there.
     */
    public static final double SURPLUS_MACHINE_PENALTY_S = 30;

    /**
     * Maximum number of scale-out requests for job arrays in one autoscaling cycle. The cloud accepts only a few
     * requests a second.
     */
    public static final int MAX_ARRAY_SCALE_OUT_REQUESTS_PER_CYCLE = 4;

    /** Seconds after the boot of new machines within which the pending work of job arrays should be completed. */
    public static final double BACKLOG_COMPLETION_TARGET_S = 40;

    /**
     * Seconds after the boot of new machines within which pending work of job arrays should be completed if on-demand
     * instances are started for it because the cloud refuses spot instances.
     */
    public static final double ON_DEMAND_BACKLOG_COMPLETION_TARGET_S = 40;

    /**
     * Maximum capacity up to which on-demand instances are started for job arrays while the cloud refuses spot
     * instances, as a multiple of the mean load at full confidence.
     */
    public static final double MAX_ON_DEMAND_LOAD_RATIO = 1.7;

    /**
     * Weight of the latest completed task in the moving averages of run times and of estimates. The averages cover a
     * few jobs of tens of tasks each.
     */
    public static final double RUN_TIME_SMOOTHING_FACTOR = 0.005;

    /**
     * Milliseconds for which no instances are requested from a capacity pool after the cloud refused a request for lack
     * of capacity there.
     */
    public static final long REFUSED_POOL_BACKOFF_MS = 12_000;

    /** Maximum number of instances in one scale-out request; a limit of the cloud's protocol. */
    public static final int MAX_INSTANCES_PER_REQUEST = 50;

    /** Maximum number of instances in one scale-in request; a limit of the cloud's protocol. */
    public static final int MAX_TERMINATIONS_PER_REQUEST = 100;

    /** Default of the minimum number of cores kept free in each zone for future service tasks. */
    public static final double MIN_STANDBY_CORES_PER_ZONE = 4.0;

    /**
     * Seconds of the mean arriving services for which capacity is kept free. Shorter than a boot, since other services
     * end meanwhile. Work of lower priority may use that capacity.
     */
    public static final double STANDBY_ARRIVALS_S = 25;

    /**
     * Seconds over which the mean of arriving services is measured. Short, so that the many services submitted at a
     * start soon drop out of the mean.
     */
    public static final double SERVICE_ARRIVAL_WINDOW_S = 60;

    /**
     * Minimum capacity kept free for services, as a share of the cores that services use. A group of machines may fail
     * at once, and a boot takes long.
     */
    public static final double STANDBY_SERVICE_SHARE = 0.10;

    /**
     * Multiple of the usual boot time after which a machine that has sent no heartbeat no longer counts as future
     * capacity.
     */
    public static final double SLOW_BOOT_RATIO = 1.6;

    /**
     * Excess capacity that a zone must have, as a multiple of the capacity of the machines that are evicted. At a lower
     * ratio, machines would be terminated and started again in turn.
     */
    public static final double EXCESS_TO_EVICTED_CAPACITY_RATIO = 2;

    /** Maximum number of replicas that are moved in one autoscaling cycle, so that few are down at a time. */
    public static final int MAX_MOVES_PER_CYCLE = 4;

    /**
     * Penalty for placing a replica on a machine that is evicted next, in seconds of image fetching. The penalty
     * decides only in clusters of very many machines, where the shares of services differ by less. It is too small to
     * outweigh spreading services over few machines or to cause a preemption.
     */
    public static final double EVICTED_NEXT_PENALTY_S = 0.5;

    /**
     * Maximum size of a machine that is marked as evicted next, as a share of the cores of all services. In a cluster
     * of few machines, services have to be spread over all of them.
     */
    public static final double MAX_EVICTED_NEXT_MACHINE_SHARE = 0.05;

    /** Minimum milliseconds for which a replica must have run before it may be moved. */
    public static final long MIN_RUN_TIME_BEFORE_MOVE_MS = 40_000;

    private AutoscalingConstants() {}
}
