package org.hollypick.core.fleet;

/** Follows the mean of something that arrives, per second, forgetting it over a window. */
final class Mean {
    private final double windowS;
    private double mean;
    /** How much of the window has been seen; corrects the mean while it is young. */
    private double seen;
    private long at;

    Mean(double windowS) {
        this.windowS = windowS;
    }

    void arrived(double amount, long now) {
        if (at > 0) {
            double s = Math.max(0.001, (now - at) / 1000.0);
            double weight = Math.min(1, s / windowS);
            seen += weight * (1 - seen);
            mean += weight * (amount / s - mean);
        }
        at = now;
    }

    double perSecond() {
        return seen > 0 ? mean / seen : 0;
    }
}
