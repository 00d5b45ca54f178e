package org.hollypick.core.estimate;

import java.util.HashMap;
import java.util.Map;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.JobSpec;

/**
 * Corrects owners' estimates of run times by the ratio of the mean run time of completed tasks to the mean of their
 * estimates, by job class. Scale-out decisions use the corrected estimate. Confined to the event loop.
 */
final class OwnerEstimateCorrection {
    private final Map<String, Ratio> ratios = new HashMap<>();

    /** The owner's estimate in seconds, corrected by the ratio of the task's class. */
    double expectedS(JobSpec spec) {
        Ratio ratio = ratios.get(spec.jobClass());
        return estimateS(spec) * (ratio == null ? 1 : ratio.meanRanS / ratio.meanEstimateS);
    }

    /** Records a completed task. */
    void taskCompleted(JobSpec spec, double ranS) {
        ratios.computeIfAbsent(spec.jobClass(), jobClass -> new Ratio()).add(ranS, estimateS(spec));
    }

    private static double estimateS(JobSpec spec) {
        return Math.max(1, spec.estimateS());
    }

    /**
     * Separate exponential moving averages of run times and of estimates. A mean of the tasks' ratios would give too
     * much weight to tasks that were estimated too low.
     */
    private static final class Ratio {
        private double meanRanS;
        private double meanEstimateS;

        void add(double ranS, double estimateS) {
            meanRanS += AutoscalingConstants.RUN_TIME_SMOOTHING_FACTOR * (ranS - meanRanS);
            meanEstimateS += AutoscalingConstants.RUN_TIME_SMOOTHING_FACTOR * (estimateS - meanEstimateS);
        }
    }
}
