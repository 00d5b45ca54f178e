package org.hollypick.config.constants;

/**
 * Requests to the key-value store and the shares of its rate limits. Each number has its unit and the reason for its
 * value.
 */
public final class StoreConstants {
    /** Milliseconds for a call to the state service; normal answers take 10 ms, a few hundred at times. */
    public static final long STORE_TIMEOUT_MS = 2_000;

    /** Milliseconds a watch waits; far below the service's limit, so that a dead connection is noticed. */
    public static final long WATCH_WAIT_MS = 8_000;

    /** Milliseconds between two watch requests of one node: bounds the requests a busy stream costs. */
    public static final long WATCH_GAP_MS = 60;

    /** Milliseconds within which the watch has to bring what a read has told of; users wait 2 s for a poll. */
    public static final long WATCH_CATCH_UP_MS = 1_000;

    /** Ratio of the state service's limits that the nodes plan to use together. */
    public static final double STORE_RATE_SHARE = 0.85;

    /** Ratio of the writes that the leader may use; the others share the rest. */
    public static final double LEADER_WRITE_SHARE = 0.4;

    /**
     * Milliseconds of one stretch over which the other controllers' changes are counted: they get unused shares back
     * that soon.
     */
    public static final long WRITE_SHARE_WINDOW_MS = 1_000;

    /** Such stretches over which the mean is taken: a few submissions more or less in one of them are chance. */
    public static final int WRITE_SHARE_WINDOWS = 3;

    /** Requests queued at the state client before new submissions are refused with 503. */
    public static final int STORE_QUEUE_LENGTH = 100;

    /** Milliseconds a queued state request may wait for its turn; users give up after 5 s. */
    public static final long STORE_QUEUE_TIMEOUT_MS = 2_500;

    /** Milliseconds until queued state requests are looked at again: far less than users wait, and few timers. */
    public static final long STORE_QUEUE_POLL_MS = 20;

    /**
     * Share of that time which may be used up by what is queued already when something new is taken on: other requests
     * share the way.
     */
    public static final double ADMITTED_QUEUE_SHARE = 0.8;

    /**
     * Share of the state service's limit on a value that is used, by the bytes of compact JSON: it may count white
     * space too.
     */
    public static final double USABLE_VALUE_SHARE = 0.875;

    /**
     * Seconds' worth of changes in one transaction of ends at most: a larger one would hold up for longer what users
     * wait for.
     */
    public static final double WRITE_BATCH_S = 0.5;

    /** Records of machines that are shortened at once at most: users' writes must not wait behind them. */
    public static final int SHRINKING_WRITES = 3;

    private StoreConstants() {}
}
