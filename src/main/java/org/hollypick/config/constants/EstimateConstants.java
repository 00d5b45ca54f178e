package org.hollypick.config.constants;

/** Constants of the run-time statistics that completion estimates are based on. */
public final class EstimateConstants {
    /**
     * Number of records that hold run-time statistics. Together they have space for some hundred task classes, even if
     * the store's value limit is at its minimum.
     */
    public static final int STATISTICS_RECORDS = 8;

    /** Number of runs of each task class that a record holds. */
    public static final int RECORDED_RUNS_PER_TASK_CLASS = 32;

    /** Milliseconds between two writes of statistics records: three writes a minute. */
    public static final long STATISTICS_WRITE_INTERVAL_MS = 20_000;

    /** Version of the format of the statistics records. Records of a newer version are neither read nor overwritten. */
    public static final int STATISTICS_FORMAT_VERSION = 1;

    private EstimateConstants() {}
}
