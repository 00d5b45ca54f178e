package org.hollypick.config.constants;

/** Bounds on the difference between the clocks of two processes. */
public final class ClockConstants {
    /**
     * Maximum ratio by which the clocks of two processes drift apart: each may be off by 0.05 %, in opposite
     * directions.
     */
    public static final double CLOCK_DRIFT_RATIO = 0.001;

    /**
     * Milliseconds by which each lease held is shortened, and each wait for a lease to expire prolonged, since timers
     * run in steps.
     */
    public static final long CLOCK_MARGIN_MS = 150;

    private ClockConstants() {}
}
