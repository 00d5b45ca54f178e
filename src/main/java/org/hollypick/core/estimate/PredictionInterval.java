package org.hollypick.core.estimate;

/**
 * A predicted duration in seconds, as three quantiles.
 *
 * @param p10 the 10 % quantile
 * @param p50 the median
 * @param p90 the 90 % quantile
 * @param runs the number of completed runs on which the prediction is based
 * @param source text for users that names the group of these runs, or says that there are none
 */
public record PredictionInterval(double p10, double p50, double p90, int runs, String source) {
    /** The same median, with the lower bound divided and the upper bound multiplied by {@code factor}. */
    PredictionInterval widened(double factor) {
        return new PredictionInterval(p10 / factor, p50, p90 * factor, runs, source);
    }
}
