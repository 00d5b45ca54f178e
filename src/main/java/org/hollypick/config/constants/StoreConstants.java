package org.hollypick.config.constants;

/** Constants of requests to the key-value store and of the shares of its rate limits. */
public final class StoreConstants {
    /**
     * Timeout in milliseconds of a request to the store. A response normally takes 10 ms, occasionally a few hundred.
     */
    public static final long STORE_TIMEOUT_MS = 2_000;

    /**
     * Milliseconds for which a watch waits for changes. Far below the store's limit, so that a dead connection is
     * noticed.
     */
    public static final long WATCH_WAIT_MS = 8_000;

    /**
     * Minimum milliseconds between two watch requests of one controller. Bounds the number of requests under frequent
     * changes.
     */
    public static final long WATCH_GAP_MS = 60;

    /** Milliseconds until a listing or watch that failed is sent again. */
    public static final long WATCH_RETRY_MS = 300;

    /**
     * Milliseconds within which the watch has to deliver the revision that a read returned. Users wait 2 s for the
     * response to a status query.
     */
    public static final long WATCH_CATCH_UP_MS = 1_000;

    /** Share of the store's rate limits that all controllers together plan to use. */
    public static final double STORE_RATE_SHARE = 0.85;

    /** Share of the planned writes that the leader may use. The other controllers share the rest. */
    public static final double LEADER_WRITE_SHARE = 0.4;

    /**
     * Milliseconds of one window in which the other controllers' writes are counted. The other controllers regain an
     * unused share within that time.
     */
    public static final long WRITE_SHARE_WINDOW_MS = 1_000;

    /**
     * Number of windows over which the mean is taken, since the number of submissions in one window varies by chance.
     */
    public static final int WRITE_SHARE_WINDOWS = 3;

    /**
     * Maximum number of reads, and of commits, queued at the store client. When as many commits are queued, new
     * submissions are refused with status 503.
     */
    public static final int MAX_STORE_QUEUE_LENGTH = 100;

    /** Maximum milliseconds for which a request to the store may be queued. Users give up after 5 s. */
    public static final long STORE_QUEUE_TIMEOUT_MS = 2_500;

    /**
     * Milliseconds until queued requests to the store are considered again. Much shorter than users wait, with few
     * timers.
     */
    public static final long STORE_QUEUE_POLL_MS = 20;

    /**
     * Share of {@link #STORE_QUEUE_TIMEOUT_MS} that the queued requests may take when a new one is admitted. Less than
     * 1, since other requests use the store as well.
     */
    public static final double ADMITTED_QUEUE_SHARE = 0.8;

    /**
     * Share of the store's value limit that is used, measured in compact JSON. Less than 1, since the store may count
     * white space as well.
     */
    public static final double USABLE_VALUE_SHARE = 0.875;

    /**
     * Maximum size of a batch of terminal writes, in seconds of this controller's write rate. A larger batch would
     * delay writes that users wait for.
     */
    public static final double MAX_WRITE_BATCH_S = 0.5;

    /**
     * Maximum number of additional writes to shorten machine records in one transaction, so that users' writes don't
     * wait for them.
     */
    public static final int MAX_RECORD_SHRINKING_WRITES = 3;

    private StoreConstants() {}
}
