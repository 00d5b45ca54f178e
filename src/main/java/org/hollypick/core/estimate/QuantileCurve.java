package org.hollypick.core.estimate;

/**
 * A survival curve by Kaplan and Meier: after {@code at[i]} seconds the share {@code alive[i]} of all runs is still
 * under way.
 */
final class QuantileCurve {
    private final double[] at;
    private final double[] alive;

    QuantileCurve(double[] at, double[] alive) {
        this.at = at;
        this.alive = alive;
    }

    boolean isEmpty() {
        return at.length == 0;
    }

    /** The time that the share {@code q} of the runs take at most, of those that take longer than {@code ranS}. */
    double quantile(double q, double ranS) {
        double now = aliveAt(ranS);
        if (now <= 0 || isEmpty()) {
            return beyond(Math.max(ranS, isEmpty() ? 0 : at[at.length - 1]), q);
        }
        double wanted = now * (1 - q);
        double before = ranS;
        double aliveBefore = now;
        for (int i = 0; i < at.length; i++) {
            if (at[i] <= ranS) {
                continue;
            }
            if (alive[i] <= wanted) {
                double share = (aliveBefore - wanted) / (aliveBefore - alive[i]);
                return before + (at[i] - before) * (i == 0 || before <= 0 ? 1 : share);
            }
            before = at[i];
            aliveBefore = alive[i];
        }
        return beyond(Math.max(before, ranS), (aliveBefore - wanted) / aliveBefore);
    }

    /**
     * A run that outlasts all that are known takes as long again with even odds: heavy tails look like that, and
     * nothing else is known.
     */
    private static double beyond(double from, double q) {
        return from * Math.min(16, 1 / Math.max(1e-3, 1 - q));
    }

    private double aliveAt(double ranS) {
        double share = 1;
        for (int i = 0; i < at.length && at[i] <= ranS; i++) {
            share = alive[i];
        }
        return share;
    }
}
