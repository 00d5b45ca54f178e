package org.hollypick.config.constants;

/** Status queries of users. Each number has its unit and the reason for its value. */
public final class ApiConstants {
    /**
     * Milliseconds for which a controller gathers users' status queries before it asks the leader about all of them at
     * once.
     */
    public static final long STATUS_QUERY_BATCH_DELAY_MS = 40;

    /** Milliseconds for which a leader that left a status query unanswered isn't asked: the store is read instead. */
    public static final long UNRESPONSIVE_LEADER_BACKOFF_MS = 3_000;

    private ApiConstants() {}
}
