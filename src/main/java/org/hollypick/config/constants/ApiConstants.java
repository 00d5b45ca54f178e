package org.hollypick.config.constants;

/** Constants of the API for users: status queries. */
public final class ApiConstants {
    /**
     * Milliseconds for which a controller collects users' status queries before it sends all of them to the leader in
     * one request.
     */
    public static final long STATUS_QUERY_BATCH_DELAY_MS = 40;

    /**
     * Milliseconds after an unanswered status query during which the leader isn't queried again; the store is read
     * instead.
     */
    public static final long UNRESPONSIVE_LEADER_BACKOFF_MS = 3_000;

    private ApiConstants() {}
}
