package org.hollypick.core.health;

import org.hollypick.config.constants.FailureDetectionConstants;

/**
 * How many calls to machines may be in flight: one more with each answer that comes quickly, half as many when answers
 * are slow, as they are when this controller is overloaded (additive increase, multiplicative decrease). So the load
 * after a failover is bounded whatever the number of machines. Times are milliseconds. Confined to the event loop.
 */
public final class AdaptiveWindow {
    private double size = FailureDetectionConstants.MAX_DIRECT_CALLS;
    private long shrunkAt = -FailureDetectionConstants.ADAPTIVE_WINDOW_MS;

    /** A call was answered after {@code latencyMillis}. */
    public void recordResponse(long latencyMillis, long now) {
        if (latencyMillis <= FailureDetectionConstants.SLOW_CALL_MS) {
            size = Math.min(FailureDetectionConstants.MAX_DIRECT_CALLS, size + 1 / size);
        } else if (now - shrunkAt >= FailureDetectionConstants.ADAPTIVE_WINDOW_MS) {
            shrunkAt = now;
            size = Math.max(FailureDetectionConstants.MIN_DIRECT_CALLS, size / 2);
        }
    }

    /** A call wasn't sent for want of capacity here, which counts as a slow answer. */
    public void recordUnsentCall(long now) {
        recordResponse(Long.MAX_VALUE, now);
    }

    /** How many calls may be in flight now. */
    public int size() {
        return (int) size;
    }
}
