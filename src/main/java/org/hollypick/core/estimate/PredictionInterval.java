package org.hollypick.core.estimate;

/**
 * A predicted duration in seconds, as three quantiles.
 *
 * @param p10 seconds that a tenth of the cases take at most
 * @param p50 the median
 * @param p90 seconds that nine tenths of the cases take at most
 * @param runs completed runs that the prediction is based on
 * @param source the group of these runs, or that there are none, in words
 */
public record PredictionInterval(double p10, double p50, double p90, int runs, String source) {
    /** The same median with an interval that is wider by {@code factor} on both sides. */
    PredictionInterval widened(double factor) {
        return new PredictionInterval(p10 / factor, p50, p90 * factor, runs, source);
    }
}
