package org.hollypick.core.estimate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hollypick.core.JobSpec;

/**
 * Evaluates the predictions of {@link Estimates} on recorded runs: predicts each run before it is observed, and
 * compares the prediction with three simple baselines. One instance serves one evaluation; confined to one thread.
 */
public final class PredictionEvaluation {
    /** Lower bound of durations that are divisors. */
    private static final double MIN_SECONDS = 1e-3;

    /**
     * A recorded run.
     *
     * @param task the task's description
     * @param machine the id of the machine
     * @param ranS seconds that the task ran
     * @param cutShort whether the task was stopped, lost or failed after that time instead of completing
     */
    public record Run(JobSpec task, String machine, double ranS, boolean cutShort) {}

    /**
     * The median errors of four predictions, relative to the actual run time.
     *
     * @param estimate error of {@link Estimates}
     * @param ownerEstimate error of the owner's estimate
     * @param runningMean error of the mean of the earlier runs of the kind
     * @param lastRun error of the last run of the kind
     */
    public record MedianErrors(double estimate, double ownerEstimate, double runningMean, double lastRun) {}

    /** The score of the predictions for one group of runs. */
    public static final class Score {
        private int runs;
        private int coveredRuns;
        private final List<Double> widths = new ArrayList<>();
        private final List<Double> estimateErrors = new ArrayList<>();
        private final List<Double> ownerErrors = new ArrayList<>();
        private final List<Double> meanErrors = new ArrayList<>();
        private final List<Double> lastRunErrors = new ArrayList<>();

        /** The number of completed runs. */
        public int runs() {
            return runs;
        }

        /** The share of runs within the predicted interval of the 10 % to 90 % quantiles; NaN without runs. */
        public double coverage() {
            return runs == 0 ? Double.NaN : coveredRuns / (double) runs;
        }

        /** The median ratio of the upper bound of the interval to its lower bound; NaN without runs. */
        public double medianWidth() {
            return median(widths);
        }

        /** The median errors; NaN without runs. */
        public MedianErrors medianErrors() {
            return new MedianErrors(
                    median(estimateErrors), median(ownerErrors), median(meanErrors), median(lastRunErrors));
        }

        private static double median(List<Double> values) {
            if (values.isEmpty()) {
                return Double.NaN;
            }
            values.sort(null);
            return values.get(values.size() / 2);
        }
    }

    /** Statistics of the earlier completed runs of one kind, for the baselines. */
    private static final class EarlierRuns {
        private double totalS;
        private int count;
        private double lastS;

        void add(double ranS) {
            totalS += ranS;
            count++;
            lastS = ranS;
        }
    }

    private final Estimates estimates = new Estimates(true);
    private final Map<String, EarlierRuns> earlierRuns = new HashMap<>();
    private final Map<String, Score> scores = new TreeMap<>();

    /**
     * Evaluates runs, which must be in the order in which they ended. Returns the scores of all runs ({@code all}), by
     * number of runs in the history ({@code n=0}, {@code n=1-4}, {@code n=5-19}, {@code n>=20}) and by job class
     * ({@code kind ...}).
     */
    public Map<String, Score> evaluate(List<Run> runs) {
        for (Run run : runs) {
            JobSpec task = run.task;
            if (!run.cutShort) {
                PredictionInterval interval = estimates.interval(task, 0);
                EarlierRuns earlier =
                        earlierRuns.computeIfAbsent(task.jobClass() + "/" + task.team(), kind -> new EarlierRuns());
                for (String group : List.of("all", historyGroup(interval.runs()), "kind " + task.jobClass())) {
                    addRun(scores.computeIfAbsent(group, name -> new Score()), interval, earlier, run);
                }
                earlier.add(run.ranS);
            }
            estimates.observe(task, run.machine, run.ranS, run.cutShort);
        }
        return scores;
    }

    private static String historyGroup(int runs) {
        if (runs == 0) {
            return "n=0";
        }
        if (runs < 5) {
            return "n=1-4";
        }
        return runs < 20 ? "n=5-19" : "n>=20";
    }

    private static void addRun(Score score, PredictionInterval interval, EarlierRuns earlier, Run run) {
        double ownerEstimateS = run.task.estimateS();
        boolean hasEarlier = earlier.count > 0;
        score.runs++;
        score.coveredRuns += run.ranS >= interval.p10() && run.ranS <= interval.p90() ? 1 : 0;
        score.widths.add(interval.p90() / Math.max(MIN_SECONDS, interval.p10()));
        score.estimateErrors.add(relativeError(interval.p50(), run.ranS));
        score.ownerErrors.add(relativeError(ownerEstimateS, run.ranS));
        score.meanErrors.add(relativeError(hasEarlier ? earlier.totalS / earlier.count : ownerEstimateS, run.ranS));
        score.lastRunErrors.add(relativeError(hasEarlier ? earlier.lastS : ownerEstimateS, run.ranS));
    }

    private static double relativeError(double predictedS, double ranS) {
        return Math.abs(predictedS - ranS) / Math.max(MIN_SECONDS, ranS);
    }
}
