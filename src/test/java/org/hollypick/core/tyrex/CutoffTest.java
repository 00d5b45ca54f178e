package org.hollypick.core.tyrex;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The balanced cutoff against a slow plain model that follows the paper's definition word by word. */
class CutoffTest {
    /** Squared variation of min(x, p) less that of x - p over the x above p; NaN if undefined. */
    private static double plainDifference(double[] x, double p) {
        double[] left = Arrays.stream(x).map(v -> Math.min(v, p)).toArray();
        double[] right = Arrays.stream(x).filter(v -> v > p).map(v -> v - p).toArray();
        return plainCv2(left) - plainCv2(right);
    }

    private static double plainCv2(double[] x) {
        double mean = Arrays.stream(x).average().orElse(Double.NaN);
        double variance =
                Arrays.stream(x).map(v -> (v - mean) * (v - mean)).average().orElse(Double.NaN);
        return variance / (mean * mean);
    }

    private static double[] sample(Random random) {
        double[] x = new double[2 + random.nextInt(40)];
        for (int i = 0; i < x.length; i++) {
            double v = switch (random.nextInt(4)) {
                case 0 -> 0;
                case 1 -> 1 + random.nextInt(5); // ties
                default -> 10 / Math.pow(1 - random.nextDouble(), 1.2); // heavy tail
            };
            x[i] = v;
        }
        return x;
    }

    @Test
    void cutoffMatchesTheReferenceModel() {
        Random random = new Random(42);
        int found = 0;
        int none = 0;
        for (int n = 0; n < 400; n++) {
            double[] x = sample(random);
            OptionalDouble cutoff = Cutoff.findBalanced(x);
            double max = Arrays.stream(x).max().orElse(0);
            boolean changes = false;
            double before = Double.NaN;
            double first = 0;
            for (int k = 1; k < 4_000 && !changes; k++) {
                double p = max * k / 4_000;
                double d = plainDifference(x, p);
                // only a smooth crossing counts: both sides of it between the same two sizes
                double low = max * (k - 1) / 4_000;
                boolean sameGap = Arrays.stream(x).noneMatch(v -> v > low - 1e-9 && v <= p + 1e-9);
                changes = sameGap && !Double.isNaN(before) && !Double.isNaN(d) && before < 0 != d < 0;
                first = p;
                before = d;
            }
            if (changes) {
                assertTrue(cutoff.isPresent(), "sample " + n);
                assertTrue(cutoff.getAsDouble() <= first + 1e-9, "sample " + n);
            }
            if (cutoff.isPresent()) {
                found++;
                assertEquals(0, plainDifference(x, cutoff.getAsDouble()), 1e-3, "sample " + n);
            } else {
                none++;
            }
        }
        assertTrue(found > 50 && none > 50, found + " with and " + none + " without a cutoff");
    }

    @Test
    void fewerThanTwoDistinctSizesHaveNoCutoff() {
        assertFalse(Cutoff.findBalanced(new double[] {5, 5, 5}).isPresent());
        assertFalse(Cutoff.findBalanced(new double[] {7}).isPresent());
        assertFalse(Cutoff.findBalanced(new double[0]).isPresent());
    }
}
