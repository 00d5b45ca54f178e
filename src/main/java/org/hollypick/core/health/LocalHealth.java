package org.hollypick.core.health;

import org.hollypick.config.constants.FailureDetectionConstants;

/**
 * Whether this leader's own state may explain that it hears nothing. What it didn't get to ask, and what it was too
 * busy to read, proves nothing about a machine or a path (docs/many-machines.md). Pure.
 */
public final class LocalHealth {
    private long at;
    /** Answers in the present stretch of time, and those of them that took long. */
    private long stretch;

    private int answered;
    private int slow;

    /** It isn't known to be well before it has been watched for a while. */
    public LocalHealth(long now) {
        at = now;
        stretch = now;
    }

    /** The loop stood still, or the right to act was away. */
    public void seen(long now) {
        at = now;
    }

    /**
     * A call wasn't sent for want of something here: as if its answer had been slow, since one now and then is what
     * finds the limit.
     */
    public void lacked(long now) {
        answered(Long.MAX_VALUE, now);
    }

    /** A machine answered a call after that long. */
    public void answered(long tookMs, long now) {
        if (now - stretch >= FailureDetectionConstants.SLOW_WINDOW_MS) {
            stretch = now;
            answered = 0;
            slow = 0;
        }
        answered++;
        slow += tookMs > FailureDetectionConstants.SLOW_CALL_MS ? 1 : 0;
        if (slow >= FailureDetectionConstants.SLOW_CALLS && slow > answered * FailureDetectionConstants.SLOW_SHARE) {
            at = now;
        }
    }

    /** Nothing was wrong here for long enough that two questions to a machine would have been asked and answered. */
    public boolean sound(long now) {
        return now - at >= FailureDetectionConstants.FAILOVER_GRACE_MS;
    }
}
