package org.hollypick.config.constants;

/** Jobs from the submission to the terminal record. Each number has its unit and the reason for its value. */
public final class JobConstants {
    /**
     * Bits of an attempt number that count attempts within one fencing token; the others are the token, so attempts
     * never repeat.
     */
    public static final int ATTEMPT_COUNTER_BITS = 20;

    /** Attempt numbers left when a new fencing token is due: more than start while the leader takes one. */
    public static final int ATTEMPT_NUMBER_RESERVE = 10_000;

    /**
     * Milliseconds for which a cancellation waits for a launch that is still in flight before a new fencing token ends
     * that, if the machine's lease was renewed in these: by then most machines have sent a heartbeat or are terminated.
     */
    public static final long CANCELLATION_FENCING_DELAY_MS = 15_000;

    /**
     * Milliseconds that a user waits for a cancellation before being asked to retry: less than the 2 s for which
     * another controller waits for this response.
     */
    public static final long CANCELLATION_RESPONSE_TIMEOUT_MS = 1_800;

    /**
     * Milliseconds until a cancellation that isn't known to be durable is written again though no user waits: longer
     * than a write may take.
     */
    public static final long CANCELLATION_REWRITE_MS = 3_000;

    /** Terminal writes in flight at most: one whose response is lost blocks its place for two seconds. */
    public static final int MAX_TERMINAL_WRITES_IN_FLIGHT = 4;

    /**
     * The same while requests to the store are queued: with half a second's worth each, half of what may be queued, so
     * that new jobs have the other half.
     */
    public static final int MAX_TERMINAL_WRITES_WHILE_QUEUED = 2;

    /**
     * Attempts to write a submitted job's record: the leader record may have changed since this controller's replica
     * was updated.
     */
    public static final int MAX_SUBMISSION_WRITE_ATTEMPTS = 2;

    /** Tasks of one job at most, from the protocol. */
    public static final int MAX_TASKS_PER_JOB = 100_000;

    /**
     * Tasks in one part of a completion record at most: 4 KiB of bits is 5.5 KiB in base64. Smaller values hold smaller
     * parts.
     */
    public static final int MAX_COMPLETION_PART_TASKS = 32_768;

    /** Bytes around the bits of one part of a completion record: its name, quotes, colon, comma, base64's padding. */
    public static final int COMPLETION_PART_OVERHEAD_BYTES = 56;

    /** Milliseconds between writes of completion records: they hold up only the acknowledgement of completed tasks. */
    public static final long COMPLETION_WRITE_GAP_MS = 500;

    private JobConstants() {}
}
