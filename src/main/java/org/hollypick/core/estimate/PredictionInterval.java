package org.hollypick.core.estimate;

/**
 * How long something takes, in seconds: a tenth takes at most {@code p10}, half {@code p50}, nine of ten {@code p90}.
 * {@code runs}: ended runs that it rests on; {@code from}: whose they are.
 */
public record PredictionInterval(double p10, double p50, double p90, int runs, String from) {
    PredictionInterval widened(double times) {
        return new PredictionInterval(p10 / times, p50, p90 * times, runs, from);
    }
}
