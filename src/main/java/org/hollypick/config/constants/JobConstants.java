package org.hollypick.config.constants;

/** Constants of jobs, from the submission to the terminal record. */
public final class JobConstants {
    /**
     * Number of low bits of an attempt number that count the attempts under one fencing token. The high bits hold the
     * token, so attempt numbers never repeat.
     */
    public static final int ATTEMPT_COUNTER_BITS = 20;

    /**
     * Number of remaining attempt numbers below which the leader takes a new fencing token. More than the attempts that
     * start until the leader has the token.
     */
    public static final int ATTEMPT_NUMBER_RESERVE = 10_000;

    /**
     * Milliseconds for which a cancellation waits for a launch in flight before the leader takes a new fencing token to
     * end that launch, if the machine's lease was renewed in that time. By then most machines have sent a heartbeat or
     * have been terminated.
     */
    public static final long CANCELLATION_FENCING_DELAY_MS = 15_000;

    /**
     * Milliseconds after which the user of a cancellation that isn't durable yet is asked to retry. Less than the 2 s
     * for which another controller waits for this response.
     */
    public static final long CANCELLATION_RESPONSE_TIMEOUT_MS = 1_800;

    /**
     * Milliseconds until a cancellation that isn't known to be durable is written again although no user waits for it.
     * Longer than a write may take.
     */
    public static final long CANCELLATION_REWRITE_MS = 3_000;

    /**
     * Maximum number of terminal writes in flight. A write whose response was lost takes up one of them for two
     * seconds.
     */
    public static final int MAX_TERMINAL_WRITES_IN_FLIGHT = 4;

    /**
     * Maximum number of terminal writes in flight while requests to the store are queued. Each holds the writes of up
     * to half a second, so together they take half of the queue, and new jobs have the other half.
     */
    public static final int MAX_TERMINAL_WRITES_WHILE_QUEUED = 2;

    /**
     * Maximum number of attempts to write the record of a submitted job. The leader record may have changed since the
     * local replica was updated.
     */
    public static final int MAX_SUBMISSION_WRITE_ATTEMPTS = 2;

    /** Maximum number of tasks of one job; a limit of the protocol. */
    public static final int MAX_TASKS_PER_JOB = 100_000;

    /**
     * Maximum number of tasks in one part of a completion record: their 4 KiB of bits take 5.5 KiB in base64. If the
     * store's value limit is lower, the parts are smaller.
     */
    public static final int MAX_COMPLETION_PART_TASKS = 32_768;

    /**
     * Bytes of one part of a completion record besides its bits: the name, quotes, colon, comma and the padding of
     * base64.
     */
    public static final int COMPLETION_PART_OVERHEAD_BYTES = 56;

    /**
     * Minimum milliseconds between writes of completion records. A write that has to wait only delays the
     * acknowledgement of completed tasks.
     */
    public static final long COMPLETION_WRITE_GAP_MS = 500;

    private JobConstants() {}
}
