package org.hollypick.core.tyrex;

import java.util.Arrays;
import java.util.OptionalDouble;
import org.hollypick.config.constants.SchedulingConstants;

/**
 * Computes the balanced cutoff of section IV-D of the Tyrex paper: the job size that splits the work of all jobs into
 * two parts with the same relative variation. "Squared variation" means the squared coefficient of variation, which is
 * the variance divided by the squared mean. Stateless.
 */
public final class Cutoff {
    /** Bisection steps after which the interval around the cutoff is as narrow as a double allows. */
    private static final int BISECTION_STEPS = 60;

    /** Distance kept from the ends of a gap, as a share of a search step; the variations aren't smooth at the ends. */
    private static final double OPEN_END_SHARE = 1e-6;

    private Cutoff() {}

    /** The squared variation of the sizes: 0 if they are all equal, NaN if their mean is 0. */
    public static double squaredVariation(double[] sizes) {
        double sum = 0;
        double sumOfSquares = 0;
        for (double size : sizes) {
            sum += size;
            sumOfSquares += size * size;
        }
        return squaredVariation(sum, sumOfSquares, sizes.length);
    }

    private static double squaredVariation(double sum, double sumOfSquares, int count) {
        double mean = sum / count;
        return Math.max(0, sumOfSquares / count - mean * mean) / (mean * mean);
    }

    /**
     * The lowest cutoff at which min(size, cutoff) over all sizes and (size - cutoff) over the sizes above the cutoff
     * have the same squared variation, if there is one. Between two neighbouring sizes both variations are smooth
     * functions of the cutoff, so each gap is searched for a sign change of their difference.
     */
    public static OptionalDouble findBalanced(double[] sizes) {
        double[] sorted = sizes.clone();
        Arrays.sort(sorted);
        int count = sorted.length;
        double sum = 0;
        double sumOfSquares = 0;
        for (double size : sorted) {
            sum += size;
            sumOfSquares += size * size;
        }
        double sumBelow = 0;
        double squaresBelow = 0;
        for (int i = 0; i < count - 1; i++) {
            sumBelow += sorted[i];
            squaresBelow += sorted[i] * sorted[i];
            double low = sorted[i];
            double high = sorted[i + 1];
            if (high <= low) {
                continue;
            }
            int countAbove = count - i - 1;
            double meanAbove = (sum - sumBelow) / countAbove;
            // Subtracting the cutoff doesn't change the variance. If all sizes above are equal, the variance is
            // exactly 0, which the difference of the sums would miss by a rounding error.
            double varianceAbove = sorted[count - 1] == high
                    ? 0
                    : Math.max(0, (sumOfSquares - squaresBelow) / countAbove - meanAbove * meanAbove);
            Gap gap = new Gap(count, countAbove, sumBelow, squaresBelow, meanAbove, varianceAbove);
            OptionalDouble cutoff = gap.findCutoff(low, high);
            if (cutoff.isPresent()) {
                return cutoff;
            }
        }
        return OptionalDouble.empty();
    }

    /**
     * A gap between two neighbouring sizes, with the values from which both variations are computed for any cutoff in
     * it.
     *
     * @param count the number of all sizes
     * @param countAbove the number of sizes above the gap
     * @param sumBelow the sum of the sizes below the gap
     * @param squaresBelow the sum of the squares of the sizes below the gap
     * @param meanAbove the mean of the sizes above the gap
     * @param varianceAbove the variance of the sizes above the gap
     */
    private record Gap(
            int count, int countAbove, double sumBelow, double squaresBelow, double meanAbove, double varianceAbove) {
        /** The squared variation of the parts below the cutoff minus that of the parts above it. */
        double difference(double cutoff) {
            double variationBelow = squaredVariation(
                    sumBelow + countAbove * cutoff, squaresBelow + countAbove * cutoff * cutoff, count);
            double variationAbove = varianceAbove / ((meanAbove - cutoff) * (meanAbove - cutoff));
            return variationBelow - variationAbove;
        }

        /** The first sign change inside the gap, if any. A gap can contain two, so it is searched in steps. */
        OptionalDouble findCutoff(double low, double high) {
            double step = (high - low) / SchedulingConstants.CUTOFF_SEARCH_STEPS;
            double left = low + step * OPEN_END_SHARE;
            double differenceAtLeft = difference(left);
            for (int i = 1; i <= SchedulingConstants.CUTOFF_SEARCH_STEPS; i++) {
                double right =
                        i == SchedulingConstants.CUTOFF_SEARCH_STEPS ? high - step * OPEN_END_SHARE : low + i * step;
                double differenceAtRight = difference(right);
                if (differenceAtLeft < 0 != differenceAtRight < 0) {
                    return OptionalDouble.of(bisect(left, right, differenceAtLeft < 0));
                }
                left = right;
                differenceAtLeft = differenceAtRight;
            }
            return OptionalDouble.empty();
        }

        private double bisect(double left, double right, boolean negativeAtLeft) {
            double low = left;
            double high = right;
            for (int i = 0; i < BISECTION_STEPS; i++) {
                double middle = (low + high) / 2;
                if (difference(middle) < 0 == negativeAtLeft) {
                    low = middle;
                } else {
                    high = middle;
                }
            }
            return (low + high) / 2;
        }
    }
}
