package org.hollypick.core.estimate;

/**
 * A Kaplan-Meier survival curve of run times: after {@code seconds[i]} the share {@code survival[i]} of all runs is
 * still running. Immutable.
 */
final class SurvivalCurve {
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
     * The seconds that the share {@code share} of the runs take at most, of those that take longer than {@code ranS}.
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
     * Extrapolates beyond the longest known run: with even odds a run takes as long again, as heavy-tailed
     * distributions do.
     */
    private static double extrapolate(double from, double share) {
        return from * Math.min(16, 1 / Math.max(1e-3, 1 - share));
    }

    private double survivalAt(double ranS) {
        double surviving = 1;
        for (int i = 0; i < seconds.length && seconds[i] <= ranS; i++) {
            surviving = survival[i];
        }
        return surviving;
    }
}
