package org.hollypick.core.tyrex;

import java.util.Arrays;
import java.util.OptionalDouble;
import org.hollypick.config.constants.SchedulingConstants;

/** The balanced cutoff of the paper's section IV-D. */
public final class Cutoff {
    private Cutoff() {}

    /** Squared coefficient of variation: variance over squared mean; 0 for no variation, NaN without a mean. */
    public static double cv2(double sum, double squares, int n) {
        double mean = sum / n;
        return Math.max(0, squares / n - mean * mean) / (mean * mean);
    }

    public static double cv2(double[] sizes) {
        double sum = 0;
        double squares = 0;
        for (double s : sizes) {
            sum += s;
            squares += s * s;
        }
        return cv2(sum, squares, sizes.length);
    }

    /**
     * The p at which min(size, p) and (size - p over sizes above p) have the same squared variation, if any. Between
     * two neighbouring sizes both are smooth in p, so each gap is searched for a change of their difference's sign.
     */
    public static OptionalDouble balanced(double[] sizes) {
        double[] x = sizes.clone();
        Arrays.sort(x);
        int n = x.length;
        double sum = 0;
        double squares = 0;
        for (double v : x) {
            sum += v;
            squares += v * v;
        }
        double below = 0;
        double belowSquares = 0;
        for (int i = 0; i < n - 1; i++) {
            below += x[i];
            belowSquares += x[i] * x[i];
            double low = x[i];
            double high = x[i + 1];
            if (high <= low) {
                continue;
            }
            int above = n - i - 1;
            double meanAbove = (sum - below) / above;
            // Shifting by p leaves the variance as it is. Equal sizes have none; the subtraction would leave noise
            // there.
            double varianceAbove =
                    x[n - 1] == high ? 0 : Math.max(0, (squares - belowSquares) / above - meanAbove * meanAbove);
            Gap gap = new Gap(n, above, below, belowSquares, meanAbove, varianceAbove);
            OptionalDouble root = gap.root(low, high);
            if (root.isPresent()) {
                return root;
            }
        }
        return OptionalDouble.empty();
    }

    /** The sums needed to evaluate both variations for any p inside one gap. */
    private record Gap(int size, int above, double below, double belowSquares, double meanAbove, double varianceAbove) {
        double difference(double p) {
            double left = cv2(below + above * p, belowSquares + above * p * p, size);
            double right = varianceAbove / ((meanAbove - p) * (meanAbove - p));
            return left - right;
        }

        /** The first sign change between the open ends; a gap can hold two, so it is looked through in steps. */
        OptionalDouble root(double low, double high) {
            double step = (high - low) / SchedulingConstants.CUTOFF_SEARCH_STEPS;
            double a = low + step * 1e-6;
            double fa = difference(a);
            for (int k = 1; k <= SchedulingConstants.CUTOFF_SEARCH_STEPS; k++) {
                double b = k == SchedulingConstants.CUTOFF_SEARCH_STEPS ? high - step * 1e-6 : low + k * step;
                double fb = difference(b);
                if (fa < 0 != fb < 0) {
                    return OptionalDouble.of(bisect(a, b, fa < 0));
                }
                a = b;
                fa = fb;
            }
            return OptionalDouble.empty();
        }

        private double bisect(double a, double b, boolean negativeAtA) {
            double low = a;
            double high = b;
            for (int k = 0; k < 60; k++) {
                double mid = (low + high) / 2;
                if (difference(mid) < 0 == negativeAtA) {
                    low = mid;
                } else {
                    high = mid;
                }
            }
            return (low + high) / 2;
        }
    }
}
