package org.hollypick.config.constants;

/**
 * Failing tasks: faulty machines, failing jobs, and the back-off of retries. Each number has its unit and the reason
 * for its value.
 */
public final class FaultConstants {
    /** Failures on a machine, by different jobs, after which it counts as faulty. */
    public static final int FAULTY_MACHINE_FAILURES = 2;

    /**
     * Machines on which a job failed, without a success since, from which on it runs one task at a time: two may be
     * faulty by chance.
     */
    public static final int FAILING_JOB_MACHINES = 3;

    /** Milliseconds for which a faulty machine gets no new tasks; if it empties before, it is terminated. */
    public static final long QUARANTINE_MS = 90_000;

    /** Milliseconds that a task waits after a failure, doubled each time its job fails, up to the maximum. */
    public static final long BASE_TASK_BACKOFF_MS = 1_000;

    /** Milliseconds that a task waits after a failure at most. */
    public static final long MAX_TASK_BACKOFF_MS = 30_000;

    /** Doublings of a task's wait at most: its maximum is reached by then. */
    public static final int MAX_TASK_BACKOFF_DOUBLINGS = 5;

    /**
     * Milliseconds for which a machine gets no tasks after it refused one for want of room: it may not know of an end.
     */
    public static final long FULL_MACHINE_BACKOFF_MS = 1_000;

    /**
     * Milliseconds that a task waits at most after machines refused it for want of room: shorter than after other
     * refusals, since room comes free elsewhere.
     */
    public static final long MAX_CAPACITY_REFUSAL_BACKOFF_MS = 8_000;

    private FaultConstants() {}
}
