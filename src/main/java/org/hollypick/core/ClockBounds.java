package org.hollypick.core;

import org.hollypick.config.constants.ClockConstants;

/**
 * Bounds on how long a duration that another process's clock measures takes on this process's clock. The clocks run
 * apart by at most {@link ClockConstants#CLOCK_DRIFT_RATIO}, and a timer may be off by
 * {@link ClockConstants#CLOCK_MARGIN_MS}. All durations are in milliseconds. Stateless; usable from any thread.
 */
public final class ClockBounds {
    private ClockBounds() {}

    /** The lower bound: a lease granted for this long by another process is valid here for at least the result. */
    public static long atLeast(long durationMs) {
        return (long) (durationMs * (1 - ClockConstants.CLOCK_DRIFT_RATIO)) - ClockConstants.CLOCK_MARGIN_MS;
    }

    /** The upper bound: a lease granted to another process for this long has expired there after the result. */
    public static long atMost(long durationMs) {
        return atMost((double) durationMs);
    }

    /** As {@link #atMost(long)}, for a duration that isn't a whole number of milliseconds. */
    public static long atMost(double durationMs) {
        return (long) (durationMs * (1 + ClockConstants.CLOCK_DRIFT_RATIO)) + ClockConstants.CLOCK_MARGIN_MS;
    }
}
