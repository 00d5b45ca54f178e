package org.hollypick.core.tyrex;

import java.util.Arrays;
import java.util.OptionalDouble;

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
     * The p at which min(size, p) and (size - p over sizes above p) have the same squared variation, if any.
     * Between two neighbouring sizes both are smooth in p, so each gap in which their difference changes sign is bisected.
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
            Gap gap = new Gap(n, n - i - 1, below, belowSquares, sum - below, squares - belowSquares);
            // at the gap's open ends: just above low, just below high
            double step = (high - low) * 1e-9;
            double a = low + step;
            double b = high - step;
            double fa = gap.difference(a);
            double fb = gap.difference(b);
            if (fa == 0) {
                return OptionalDouble.of(a);
            }
            if (!(fa < 0 != fb < 0) || Double.isNaN(fa) || Double.isNaN(fb)) {
                continue;
            }
            for (int k = 0; k < 60; k++) {
                double mid = (a + b) / 2;
                double fm = gap.difference(mid);
                if (fm < 0 == fa < 0) {
                    a = mid;
                } else {
                    b = mid;
                }
            }
            return OptionalDouble.of((a + b) / 2);
        }
        return OptionalDouble.empty();
    }

    /** The sums needed to evaluate both variations for any p inside one gap. */
    private record Gap(int n, int above, double below, double belowSquares, double sumAbove, double squaresAbove) {
        double difference(double p) {
            double left = cv2(below + above * p, belowSquares + above * p * p, n);
            double right = cv2(sumAbove - above * p, squaresAbove - 2 * p * sumAbove + above * p * p, above);
            return left - right;
        }
    }
}
