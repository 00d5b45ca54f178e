package org.hollypick.config.constants;

/** Jobs from the submission to the terminal record. Each number has its unit and the reason for its value. */
public final class JobConstants {
    /** Bits of an attempt number that count within one token; the rest is the token, so attempts never repeat. */
    public static final int ATTEMPT_BITS = 20;

    /** Attempt numbers left when a new token is due: more than start while the leader takes one. */
    public static final int ATTEMPT_RESERVE = 10_000;

    /**
     * Milliseconds for which a cancellation waits for a launch still under way before a new token ends that, if the
     * machine's lease was renewed in these: most are heard of, or their machine is gone, by then.
     */
    public static final long FENCING_DELAY_MS = 15_000;

    /**
     * Milliseconds that a user waits for a cancellation before being told to ask again: less than the 2 s for which
     * another controller waits for this answer.
     */
    public static final long CANCELLATION_RESPONSE_TIMEOUT_MS = 1_800;

    /**
     * Milliseconds until a cancellation that isn't known to be durable is written again though no user waits: longer
     * than a write may take.
     */
    public static final long CANCELLATION_REWRITE_MS = 3_000;

    /**
     * Transactions under way at once that end finished jobs: one whose answer is lost blocks its place for two seconds.
     */
    public static final int TERMINAL_WRITES_IN_FLIGHT = 4;

    /**
     * The same while requests wait for their turn: with half a second's worth each, half of what may wait there, so
     * that new jobs have the other half.
     */
    public static final int TERMINAL_WRITES_WHILE_QUEUED = 2;

    /**
     * Times that a submission's record is tried: the leader record may have changed since this node last heard of it.
     */
    public static final int SUBMISSION_WRITE_ATTEMPTS = 2;

    /** Tasks of one job at most, from the protocol. */
    public static final int MAX_TASKS_PER_JOB = 100_000;

    /**
     * Tasks in one part of a progress record at most: 4 KiB of bits is 5.5 KiB in base64. Smaller values hold smaller
     * parts.
     */
    public static final int COMPLETION_CHUNK_TASKS = 32_768;

    /** Bytes around the bits of one part of a progress record: its name, quotes, colon, comma, base64's filling. */
    public static final int COMPLETION_PART_OVERHEAD_BYTES = 56;

    /** Milliseconds between writes of progress: it holds up only the clearing of what is done. */
    public static final long COMPLETION_WRITE_GAP_MS = 500;

    private JobConstants() {}
}
