package org.hollypick.config.constants;

/** Intervals of a leader's reconcile loops. */
public final class ReconcileConstants {
    /** Milliseconds between the leader's regular reconciliations of machines and tasks. */
    public static final long RECONCILE_INTERVAL_MS = 250;

    /**
     * Milliseconds by which the reconcile loop may be late before this process counts as paused. Calls to machines take
     * up to a second.
     */
    public static final long MAX_RECONCILE_DELAY_MS = 400;

    /** Minimum milliseconds between scheduling cycles that events cause, so that several events share a cycle. */
    public static final long SCHEDULING_CYCLE_GAP_MS = 20;

    /** Milliseconds after which all pending tasks are considered again, including those whose backoff has ended. */
    public static final long FULL_SCHEDULING_CYCLE_INTERVAL_MS = 1_000;

    /**
     * Minimum milliseconds between writes to the machine registry, so that machines that boot close together share a
     * write.
     */
    public static final long REGISTRY_WRITE_GAP_MS = 200;

    /** Milliseconds between reads of the cloud's list of machines. */
    public static final long INSTANCE_LIST_INTERVAL_MS = 3_000;

    /** Milliseconds between refreshes of the machine types and their prices. */
    public static final long MACHINE_TYPE_REFRESH_INTERVAL_MS = 60_000;

    /** Milliseconds between autoscaling decisions. */
    public static final long AUTOSCALING_INTERVAL_MS = 1_000;

    /** Milliseconds between writes of the attained service that Tyrex needs. */
    public static final long ATTAINED_SERVICE_WRITE_INTERVAL_MS = 10_000;

    /** Milliseconds between log lines with metrics of the whole cluster. */
    public static final long METRICS_LOG_INTERVAL_MS = 10_000;

    private ReconcileConstants() {}
}
