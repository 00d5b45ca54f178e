package org.hollypick.core.autoscaling;

import org.hollypick.config.constants.AutoscalingConstants;

/** An exponentially weighted mean of arrivals per second. */
final class ArrivalMean {
    private static final double MIN_INTERVAL_S = 0.001;

    private final double windowS;
    private double mean;
    /** The share of the window that has been observed; corrects the mean while it is young. */
    private double observedShare;

    private long updatedAt;
    private double observedS;

    /** {@code windowS}: seconds over which past arrivals are forgotten. */
    ArrivalMean(double windowS) {
        this.windowS = windowS;
    }

    /** A mean over the same time as this one, of something that hasn't arrived so far. */
    ArrivalMean copyWithoutArrivals() {
        ArrivalMean copy = new ArrivalMean(windowS);
        copy.observedShare = observedShare;
        copy.updatedAt = updatedAt;
        copy.observedS = observedS;
        return copy;
    }

    /** So much has arrived since the last call. */
    void recordArrivals(double amount, long now) {
        if (updatedAt > 0) {
            double intervalS = Math.max(MIN_INTERVAL_S, (now - updatedAt) / 1000.0);
            observedS += intervalS;
            double weight = Math.min(1, intervalS / windowS);
            observedShare += weight * (1 - observedShare);
            mean += weight * (amount / intervalS - mean);
        }
        updatedAt = now;
    }

    /** Sets the mean to 0; the time that has been observed stays, so that a single later arrival counts as one. */
    void reset() {
        mean = 0;
    }

    /** The mean; 0 until enough time was observed. */
    double perSecond() {
        return observedS >= AutoscalingConstants.MEAN_MIN_S ? mean / observedShare : 0;
    }
}
