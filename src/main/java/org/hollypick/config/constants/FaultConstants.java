package org.hollypick.config.constants;

/** Constants for failing tasks: faulty machines, failing jobs and the backoff of retries. */
public final class FaultConstants {
    /** Number of jobs with failures that count against a machine, from which on the machine counts as faulty. */
    public static final int FAULTY_MACHINE_FAILURES = 2;

    /**
     * Number of machines on which a job's tasks failed since one was last completed from which on the job runs one task
     * at a time. More than two, since two machines may be faulty by chance.
     */
    public static final int FAILING_JOB_MACHINES = 3;

    /** Milliseconds during which a faulty machine gets no new tasks. If all its tasks end before, it is terminated. */
    public static final long QUARANTINE_MS = 90_000;

    /**
     * Milliseconds that are doubled with each failure of a job to get the backoff of its tasks, up to
     * {@link #MAX_TASK_BACKOFF_MS}. The first failure is retried at once.
     */
    public static final long BASE_TASK_BACKOFF_MS = 1_000;

    /** Maximum milliseconds until a failed task is retried. */
    public static final long MAX_TASK_BACKOFF_MS = 30_000;

    /**
     * Maximum number of times {@link #BASE_TASK_BACKOFF_MS} is doubled. {@link #MAX_TASK_BACKOFF_MS} is reached by
     * then.
     */
    public static final int MAX_TASK_BACKOFF_DOUBLINGS = 5;

    /**
     * Milliseconds during which a machine gets no tasks after it refused one for lack of free capacity. The machine may
     * not have noticed yet that another task ended.
     */
    public static final long FULL_MACHINE_BACKOFF_MS = 1_000;

    /**
     * Maximum milliseconds until a task is retried after machines refused it for lack of free capacity. Shorter than
     * after other refusals, since capacity becomes free elsewhere.
     */
    public static final long MAX_CAPACITY_REFUSAL_BACKOFF_MS = 8_000;

    private FaultConstants() {}
}
