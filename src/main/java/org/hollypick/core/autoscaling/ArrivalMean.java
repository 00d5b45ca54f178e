package org.hollypick.core.autoscaling;

import org.hollypick.config.constants.AutoscalingConstants;

/** An exponentially weighted moving average of arrivals per second. */
final class ArrivalMean {
    /** Avoids a division by zero if nothing elapsed between two calls. */
    private static final double MIN_INTERVAL_S = 0.001;

    private final double windowS;
    private double mean;
    /** Sum of the weights of all observations, up to 1; corrects the bias of the mean towards its initial 0. */
    private double observedShare;

    private long updatedAt;
    private double observedS;

    /** @param windowS the time constant, in seconds, after which past arrivals have little weight */
    ArrivalMean(double windowS) {
        this.windowS = windowS;
    }

    /** A mean of 0 with the same observation time as this one, for a source whose first arrival comes now. */
    ArrivalMean copyWithoutArrivals() {
        ArrivalMean copy = new ArrivalMean(windowS);
        copy.observedShare = observedShare;
        copy.updatedAt = updatedAt;
        copy.observedS = observedS;
        return copy;
    }

    /** Adds the amount that has arrived since the last call; the first call only starts the observation. */
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

    /**
     * Sets the mean to 0 and keeps the observation time. If the observation started anew, a single later arrival would
     * be extrapolated to a high rate.
     */
    void reset() {
        mean = 0;
    }

    /** The mean; 0 until it was observed for {@link AutoscalingConstants#MIN_LOAD_OBSERVATION_S} seconds. */
    double perSecond() {
        return observedS >= AutoscalingConstants.MIN_LOAD_OBSERVATION_S ? mean / observedShare : 0;
    }
}
