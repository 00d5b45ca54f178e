package org.hollypick.core.health;

import org.hollypick.config.constants.FailureDetectionConstants;

/**
 * How many calls to machines may be under way: one more with each answer that comes quickly, half as many when answers
 * are slow, as they are when this node has more to do than it can (additive increase, multiplicative decrease). So a
 * takeover's load is bounded whatever the number of machines. Pure.
 */
public final class AdaptiveWindow {
    private double window = FailureDetectionConstants.MAX_DIRECT_CALLS;
    private long shrunkAt = -FailureDetectionConstants.ADAPTIVE_WINDOW_MS;

    public void answered(long tookMs, long now) {
        if (tookMs <= FailureDetectionConstants.SLOW_CALL_MS) {
            window = Math.min(FailureDetectionConstants.MAX_DIRECT_CALLS, window + 1 / window);
        } else if (now - shrunkAt >= FailureDetectionConstants.ADAPTIVE_WINDOW_MS) {
            shrunkAt = now;
            window = Math.max(FailureDetectionConstants.MIN_DIRECT_CALLS, window / 2);
        }
    }

    /** There was no room for another one. */
    public void lacked(long now) {
        answered(Long.MAX_VALUE, now);
    }

    public int window() {
        return (int) window;
    }
}
