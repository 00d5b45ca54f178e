package org.hollypick.config.constants;

/** Run-time statistics behind completion estimates. Each number has its unit and the reason for its value. */
public final class EstimateConstants {
    /** Records of run-time statistics: with the smallest values some hundred classes fit. */
    public static final int STATISTICS_RECORDS = 8;

    /** Runs of a class of tasks that a record holds. */
    public static final int RECORDED_RUNS_PER_TASK_CLASS = 32;

    /** Milliseconds between two such records: three changes a minute. */
    public static final long STATISTICS_WRITE_INTERVAL_MS = 20_000;

    /** The format of those records; newer ones are left alone. */
    public static final int STATISTICS_FORMAT_VERSION = 1;

    private EstimateConstants() {}
}
