package org.hollypick.config.constants;

/**
 * Requests to the key-value store and the shares of its rate limits. Each number has its unit and the reason for its
 * value.
 */
public final class StoreConstants {
    /** Milliseconds for a request to the store; normal responses take 10 ms, a few hundred at times. */
    public static final long STORE_TIMEOUT_MS = 2_000;

    /** Milliseconds that a watch waits; far below the store's limit, so that a dead connection is noticed. */
    public static final long WATCH_WAIT_MS = 8_000;

    /** Milliseconds between two watch requests of one controller: bounds the requests that a busy stream costs. */
    public static final long WATCH_GAP_MS = 60;

    /** Milliseconds until a listing or watch that failed is sent again. */
    public static final long WATCH_RETRY_MS = 300;

    /**
     * Milliseconds within which the watch has to deliver what a read has shown; users wait 2 s for the response to a
     * status query.
     */
    public static final long WATCH_CATCH_UP_MS = 1_000;

    /** Share of the store's rate limits that the controllers plan to use together. */
    public static final double STORE_RATE_SHARE = 0.85;

    /** Share of the writes that the leader may use; the other controllers share the rest. */
    public static final double LEADER_WRITE_SHARE = 0.4;

    /**
     * Milliseconds of one window over which the other controllers' writes are counted: they get unused shares back that
     * soon.
     */
    public static final long WRITE_SHARE_WINDOW_MS = 1_000;

    /** Windows over which the mean is taken: a few submissions more or less in one of them are chance. */
    public static final int WRITE_SHARE_WINDOWS = 3;

    /** Requests queued at the store client before new submissions are refused with 503. */
    public static final int MAX_STORE_QUEUE_LENGTH = 100;

    /** Milliseconds that a queued request to the store may wait for its turn; users give up after 5 s. */
    public static final long STORE_QUEUE_TIMEOUT_MS = 2_500;

    /**
     * Milliseconds until queued requests to the store are considered again: far less than users wait, and few timers.
     */
    public static final long STORE_QUEUE_POLL_MS = 20;

    /**
     * Share of that time which queued requests may use up when a new one is admitted: other requests use the store too.
     */
    public static final double ADMITTED_QUEUE_SHARE = 0.8;

    /**
     * Share of the store's limit on a value that is used, by the bytes of compact JSON: it may count white space too.
     */
    public static final double USABLE_VALUE_SHARE = 0.875;

    /**
     * Seconds' worth of writes in one batch of terminal writes at most: a larger one would delay what users wait for.
     */
    public static final double MAX_WRITE_BATCH_S = 0.5;

    /** Machine records that are shortened at once at most: users' writes must not wait behind them. */
    public static final int MAX_RECORD_SHRINKING_WRITES = 3;

    private StoreConstants() {}
}
