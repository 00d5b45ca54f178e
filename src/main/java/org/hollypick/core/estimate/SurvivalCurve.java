package org.hollypick.core.estimate;

/**
 * A Kaplan-Meier survival curve of run times: after {@code seconds[i]} the share {@code survival[i]} of all runs is
 * still running. Immutable.
 */
final class SurvivalCurve {
    /** Upper bound of the factor by which the longest recorded run is extrapolated. */
    private static final double MAX_EXTRAPOLATION_FACTOR = 16;

    /** Lower bound of the remaining share, which is a divisor. */
    private static final double MIN_REMAINING_SHARE = 1e-3;

    private final double[] seconds;
    private final double[] survival;

    SurvivalCurve(double[] seconds, double[] survival) {
        this.seconds = seconds;
        this.survival = survival;
    }

    boolean isEmpty() {
        return seconds.length == 0;
    }

    /**
     * The quantile {@code share} of the durations, in seconds, of the runs that take longer than {@code ranS} seconds.
     */
    double quantile(double share, double ranS) {
        double survivalNow = survivalAt(ranS);
        if (survivalNow <= 0 || isEmpty()) {
            return extrapolate(Math.max(ranS, isEmpty() ? 0 : seconds[seconds.length - 1]), share);
        }
        double targetSurvival = survivalNow * (1 - share);
        double before = ranS;
        double survivalBefore = survivalNow;
        for (int i = 0; i < seconds.length; i++) {
            if (seconds[i] <= ranS) {
                continue;
            }
            if (survival[i] <= targetSurvival) {
                double partOfStep = (survivalBefore - targetSurvival) / (survivalBefore - survival[i]);
                return before + (seconds[i] - before) * (i == 0 || before <= 0 ? 1 : partOfStep);
            }
            before = seconds[i];
            survivalBefore = survival[i];
        }
        return extrapolate(Math.max(before, ranS), (survivalBefore - targetSurvival) / survivalBefore);
    }

    /**
     * Extrapolates beyond the longest recorded run: half of the runs that reach a duration reach twice that duration,
     * as in heavy-tailed distributions.
     */
    private static double extrapolate(double from, double share) {
        return from * Math.min(MAX_EXTRAPOLATION_FACTOR, 1 / Math.max(MIN_REMAINING_SHARE, 1 - share));
    }

    private double survivalAt(double ranS) {
        double surviving = 1;
        for (int i = 0; i < seconds.length && seconds[i] <= ranS; i++) {
            surviving = survival[i];
        }
        return surviving;
    }
}
