package org.hollypick.core.health;

import org.hollypick.config.constants.FailureDetectionConstants;

/**
 * Whether this controller is well enough for missing answers to count against machines: what it couldn't send, or was
 * too busy to read, proves nothing about a machine or the network. Times are milliseconds. Confined to the event loop.
 */
public final class LocalHealth {
    private long lastDegradedAt;
    private long windowStartedAt;
    /** Answers in the present window, and the slow ones among them. */
    private int answeredCalls;

    private int slowCalls;

    /** Counts as disturbed at first: its health isn't known before it has been watched for a while. */
    public LocalHealth(long now) {
        lastDegradedAt = now;
        windowStartedAt = now;
    }

    /** The event loop was held up, or this controller didn't hold the leader lease. */
    public void markDegraded(long now) {
        lastDegradedAt = now;
    }

    /**
     * A call wasn't sent for want of capacity here. Counts as a slow answer, since one now and then is what finds the
     * limit.
     */
    public void recordUnsentCall(long now) {
        recordResponse(Long.MAX_VALUE, now);
    }

    /**
     * A machine answered a call after {@code latencyMillis}; many slow answers mean that this controller is overloaded.
     */
    public void recordResponse(long latencyMillis, long now) {
        if (now - windowStartedAt >= FailureDetectionConstants.SLOW_WINDOW_MS) {
            windowStartedAt = now;
            answeredCalls = 0;
            slowCalls = 0;
        }
        answeredCalls++;
        slowCalls += latencyMillis > FailureDetectionConstants.SLOW_CALL_MS ? 1 : 0;
        if (slowCalls >= FailureDetectionConstants.SLOW_CALLS
                && slowCalls > answeredCalls * FailureDetectionConstants.SLOW_SHARE) {
            lastDegradedAt = now;
        }
    }

    /** Whether nothing disturbed this controller for as long as two calls to a machine take to be sent and answered. */
    public boolean isHealthy(long now) {
        return now - lastDegradedAt >= FailureDetectionConstants.FAILOVER_GRACE_MS;
    }
}
