package org.hollypick.config.constants;

/**
 * Failing tasks: faulty machines, failing jobs, and the back-off of retries. Each number has its unit and the reason
 * for its value.
 */
public final class FaultConstants {
    /** Failures on a machine, by different jobs, after which it counts as faulty. */
    public static final int MACHINE_ERRORS = 2;

    /**
     * Machines on which a job failed, without a success since, from which on it runs one task at a time: two may be
     * faulty by chance.
     */
    public static final int JOB_ERRORS = 3;

    /** Milliseconds for which a faulty machine gets no new tasks; if it empties before, it is terminated. */
    public static final long QUARANTINE_MS = 90_000;

    /** Milliseconds that a task waits after a failure, doubled each time its job fails, up to the maximum. */
    public static final long TASK_BACKOFF_MS = 1_000;

    /** Milliseconds that a task waits after a failure at most. */
    public static final long TASK_BACKOFF_MAX_MS = 30_000;

    private FaultConstants() {}
}
