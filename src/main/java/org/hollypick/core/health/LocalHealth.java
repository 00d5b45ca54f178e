package org.hollypick.core.health;

import org.hollypick.config.constants.FailureDetectionConstants;

/**
 * Whether this controller is healthy enough for missing responses to count against machines. A request that it couldn't
 * send, or a response that it was too busy to read, proves nothing about a machine or the network. Times are
 * milliseconds. Confined to the event loop.
 */
public final class LocalHealth {
    private long lastDegradedAt;
    private long windowStartedAt;
    /** Responses in the current window, and the slow ones among them. */
    private int responses;

    private int slowResponses;

    /** Starts as degraded: the controller's health is unknown until it has been observed for a while. */
    public LocalHealth(long now) {
        lastDegradedAt = now;
        windowStartedAt = now;
    }

    /** Records that the event loop was delayed, or that this controller doesn't hold the leader lease. */
    public void markDegraded(long now) {
        lastDegradedAt = now;
    }

    /**
     * Records that this controller lacked the capacity to send a call. Counts only as a slow response: the adaptive
     * window probes for the limit, so some unsent calls are expected.
     */
    public void recordUnsentCall(long now) {
        recordResponse(Long.MAX_VALUE, now);
    }

    /**
     * Records that a machine responded to a call after {@code latencyMillis}. Many slow responses mean that this
     * controller is overloaded.
     */
    public void recordResponse(long latencyMillis, long now) {
        if (now - windowStartedAt >= FailureDetectionConstants.SLOW_RESPONSE_WINDOW_MS) {
            windowStartedAt = now;
            responses = 0;
            slowResponses = 0;
        }
        responses++;
        slowResponses += latencyMillis > FailureDetectionConstants.SLOW_RESPONSE_MS ? 1 : 0;
        if (slowResponses >= FailureDetectionConstants.MIN_SLOW_RESPONSES
                && slowResponses > responses * FailureDetectionConstants.MIN_SLOW_RESPONSE_SHARE) {
            lastDegradedAt = now;
        }
    }

    /** Whether this controller hasn't been degraded for as long as two calls to a machine and their responses take. */
    public boolean isHealthy(long now) {
        return now - lastDegradedAt >= FailureDetectionConstants.FAILOVER_GRACE_MS;
    }
}
