package org.hollypick.core.health;

import org.hollypick.config.constants.FailureDetectionConstants;

/**
 * The number of calls to machines that may be in flight, adapted by additive increase and multiplicative decrease: it
 * grows by one with each window of fast responses, and halves when responses are slow, as they are when this controller
 * is overloaded. This bounds the load after a failover whatever the number of machines. Times are milliseconds.
 * Confined to the event loop.
 */
public final class AdaptiveWindow {
    private double size = FailureDetectionConstants.MAX_DIRECT_CALLS;
    private long lastDecreaseAt = -FailureDetectionConstants.CONCURRENCY_DECREASE_INTERVAL_MS;

    /** Records a response that took {@code latencyMillis}, and adapts the window. */
    public void recordResponse(long latencyMillis, long now) {
        if (latencyMillis <= FailureDetectionConstants.SLOW_RESPONSE_MS) {
            size = Math.min(FailureDetectionConstants.MAX_DIRECT_CALLS, size + 1 / size);
        } else if (now - lastDecreaseAt >= FailureDetectionConstants.CONCURRENCY_DECREASE_INTERVAL_MS) {
            lastDecreaseAt = now;
            size = Math.max(FailureDetectionConstants.MIN_DIRECT_CALLS, size / 2);
        }
    }

    /** Records that this controller lacked the capacity to send a call, which counts as a slow response. */
    public void recordUnsentCall(long now) {
        recordResponse(Long.MAX_VALUE, now);
    }

    /** The number of calls that may be in flight now. */
    public int size() {
        return (int) size;
    }
}
