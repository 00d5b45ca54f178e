package org.hollypick.core.tyrex;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.OptionalDouble;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Compares the balanced cutoff with a slow reference model that follows the paper's definition literally. */
class CutoffTest {
    /**
     * The squared variation of min(size, cutoff) over all sizes minus that of (size - cutoff) over the sizes above the
     * cutoff; NaN if undefined.
     */
    private static double referenceDifference(double[] sizes, double cutoff) {
        double[] below =
                Arrays.stream(sizes).map(size -> Math.min(size, cutoff)).toArray();
        double[] above = Arrays.stream(sizes)
                .filter(size -> size > cutoff)
                .map(size -> size - cutoff)
                .toArray();
        return referenceSquaredVariation(below) - referenceSquaredVariation(above);
    }

    private static double referenceSquaredVariation(double[] sizes) {
        double mean = Arrays.stream(sizes).average().orElse(Double.NaN);
        double variance = Arrays.stream(sizes)
                .map(size -> (size - mean) * (size - mean))
                .average()
                .orElse(Double.NaN);
        return variance / (mean * mean);
    }

    private static double[] randomSizes(Random random) {
        double[] sizes = new double[2 + random.nextInt(40)];
        for (int i = 0; i < sizes.length; i++) {
            double size = switch (random.nextInt(4)) {
                case 0 -> 0;
                case 1 -> 1 + random.nextInt(5); // ties
                default -> 10 / Math.pow(1 - random.nextDouble(), 1.2); // heavy tail
            };
            sizes[i] = size;
        }
        return sizes;
    }

    @Test
    void cutoffMatchesTheReferenceModel() {
        Random random = new Random(42);
        int found = 0;
        int none = 0;
        for (int sample = 0; sample < 400; sample++) {
            double[] sizes = randomSizes(random);
            OptionalDouble cutoff = Cutoff.findBalanced(sizes);
            double max = Arrays.stream(sizes).max().orElse(0);
            boolean signChanged = false;
            double previousDifference = Double.NaN;
            double firstSignChange = 0;
            for (int step = 1; step < 4_000 && !signChanged; step++) {
                double candidate = max * step / 4_000;
                double difference = referenceDifference(sizes, candidate);
                // A sign change counts only inside a gap between two neighbouring sizes, where the variations are
                // smooth.
                double low = max * (step - 1) / 4_000;
                boolean sameGap = Arrays.stream(sizes).noneMatch(size -> size > low - 1e-9 && size <= candidate + 1e-9);
                signChanged = sameGap
                        && !Double.isNaN(previousDifference)
                        && !Double.isNaN(difference)
                        && previousDifference < 0 != difference < 0;
                firstSignChange = candidate;
                previousDifference = difference;
            }
            if (signChanged) {
                assertTrue(cutoff.isPresent(), "sample " + sample);
                assertTrue(cutoff.getAsDouble() <= firstSignChange + 1e-9, "sample " + sample);
            }
            if (cutoff.isPresent()) {
                found++;
                assertEquals(0, referenceDifference(sizes, cutoff.getAsDouble()), 1e-3, "sample " + sample);
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
