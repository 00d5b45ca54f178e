package org.hollypick.core.estimate;

import java.util.HashMap;
import java.util.Map;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.JobSpec;

/**
 * By class of jobs: how the mean run time of finished tasks compares with the mean of their owners' estimates; what
 * rentals reckon with.
 */
final class MeanRatio {
    private final Map<String, Ratio> ratios = new HashMap<>();

    /** The owner's estimate, corrected by how those of its class have been wrong so far. */
    double expectedS(JobSpec spec) {
        Ratio seen = ratios.get(spec.jobClass());
        return estimateS(spec) * (seen == null ? 1 : seen.ran / seen.estimated);
    }

    void finished(JobSpec spec, double ranS) {
        ratios.computeIfAbsent(spec.jobClass(), k -> new Ratio()).add(ranS, estimateS(spec));
    }

    private static double estimateS(JobSpec spec) {
        return Math.max(1, spec.estimateS());
    }

    /**
     * Run times and estimates, each followed by itself: a mean of their ratios would count the tasks estimated too low
     * for too much.
     */
    private static final class Ratio {
        private double ran;
        private double estimated;

        void add(double ranS, double estimatedS) {
            ran += AutoscalingConstants.RUN_RATIO_WEIGHT * (ranS - ran);
            estimated += AutoscalingConstants.RUN_RATIO_WEIGHT * (estimatedS - estimated);
        }
    }
}
