package org.hollypick.config.constants;

/**
 * Bounds on how far the clocks of different processes run apart. Each number has its unit and the reason for its value.
 */
public final class ClockConstants {
    /** Ratio. Two steady clocks may differ by 0.05 % each way; both ends may be off, so twice that. */
    public static final double CLOCK_DRIFT_RATIO = 0.001;

    /** Milliseconds taken off every lease that is held and added to every wait for one to expire, for timer steps. */
    public static final long CLOCK_MARGIN_MS = 150;

    private ClockConstants() {}
}
