package org.hollypick.core.autoscaling;

import org.hollypick.config.constants.AutoscalingConstants;

/** Follows the mean of something that arrives, per second, forgetting it over a window. */
final class ArrivalMean {
    private final double windowS;
    private double mean;
    /** How much of the window has been seen; corrects the mean while it is young. */
    private double seen;

    private long at;
    private double observedS;

    ArrivalMean(double windowS) {
        this.windowS = windowS;
    }

    void arrived(double amount, long now) {
        if (at > 0) {
            double s = Math.max(0.001, (now - at) / 1000.0);
            observedS += s;
            double weight = Math.min(1, s / windowS);
            seen += weight * (1 - seen);
            mean += weight * (amount / s - mean);
        }
        at = now;
    }

    /** Nothing arrives any more; one that comes later is a single one, and no crowd's beginning. */
    void forget() {
        mean = 0;
    }

    /** 0 until it was watched for long enough to tell anything. */
    double perSecond() {
        return observedS >= AutoscalingConstants.MEAN_MIN_S ? mean / seen : 0;
    }
}
