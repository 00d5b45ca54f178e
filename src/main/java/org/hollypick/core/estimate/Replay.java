package org.hollypick.core.estimate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hollypick.core.JobSpec;

/**
 * Plays recorded runs in the order of their ends, each estimated before its outcome is told, beside three plain ways of
 * guessing.
 */
public final class Replay {
    /** One recorded run; {@code cutShort}: it was stopped, lost or failed after that time. */
    public record Run(JobSpec task, String machine, double ranS, boolean cutShort) {}

    /** What became of the estimates of one class of history, or one kind. */
    public static final class Score {
        private int runs;
        private int inside;
        private final List<Double> width = new ArrayList<>();
        private final List<Double> own = new ArrayList<>();
        private final List<Double> owners = new ArrayList<>();
        private final List<Double> mean = new ArrayList<>();
        private final List<Double> last = new ArrayList<>();

        public int runs() {
            return runs;
        }

        /** Share of runs within the band from 10 to 90 %. */
        public double inside() {
            return runs == 0 ? Double.NaN : inside / (double) runs;
        }

        /** Median of how many times the upper end of the band is the lower one. */
        public double width() {
            return median(width);
        }

        /**
         * Median of how far off, as a share of the outcome: this, the owner's estimate, a running mean, the last run.
         */
        public double[] errors() {
            return new double[] {median(own), median(owners), median(mean), median(last)};
        }

        private static double median(List<Double> list) {
            if (list.isEmpty()) {
                return Double.NaN;
            }
            list.sort(null);
            return list.get(list.size() / 2);
        }
    }

    private final Estimates estimates = new Estimates(true);
    private final Map<String, double[]> plain = new HashMap<>();
    private final Map<String, Score> scores = new TreeMap<>();

    /** By class of history ({@code n=0}, {@code n=1-4}, {@code n=5-19}, {@code n>=20}), by kind and overall. */
    public Map<String, Score> play(List<Run> runs) {
        for (Run run : runs) {
            JobSpec task = run.task;
            if (!run.cutShort) {
                PredictionInterval interval = estimates.interval(task, 0);
                for (String of : List.of("all", weight(interval.runs()), "kind " + task.jobClass())) {
                    score(scores.computeIfAbsent(of, k -> new Score()), interval, run);
                }
                double[] seen = plain.computeIfAbsent(task.jobClass() + "/" + task.team(), k -> new double[3]);
                seen[0] += run.ranS;
                seen[1]++;
                seen[2] = run.ranS;
            }
            estimates.observe(task, run.machine, run.ranS, run.cutShort);
        }
        return scores;
    }

    private static String weight(int n) {
        return n == 0 ? "n=0" : n < 5 ? "n=1-4" : n < 20 ? "n=5-19" : "n>=20";
    }

    private void score(Score s, PredictionInterval interval, Run run) {
        s.runs++;
        s.inside += run.ranS >= interval.p10() && run.ranS <= interval.p90() ? 1 : 0;
        s.width.add(interval.p90() / Math.max(1e-3, interval.p10()));
        double[] seen = plain.get(run.task.jobClass() + "/" + run.task.team());
        s.own.add(off(interval.p50(), run.ranS));
        s.owners.add(off(run.task.estimateS(), run.ranS));
        s.mean.add(off(seen == null ? run.task.estimateS() : seen[0] / seen[1], run.ranS));
        s.last.add(off(seen == null ? run.task.estimateS() : seen[2], run.ranS));
    }

    private static double off(double guess, double ran) {
        return Math.abs(guess - ran) / Math.max(1e-3, ran);
    }
}
