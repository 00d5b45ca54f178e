package org.hollypick.core.estimate;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hollypick.core.JobSpec;

/**
 * Random runs drawn from a seed, as a deployment would record them: arrays of several kinds, with the tasks of each
 * array in the order of their run times.
 */
final class RecordedRuns {
    private final Random random;
    private final List<PredictionEvaluation.Run> runs = new ArrayList<>();

    RecordedRuns(long seed) {
        random = new Random(seed);
    }

    static JobSpec task(String kind, double estimateS) {
        return new JobSpec(
                "req-1",
                kind,
                "team",
                false,
                JobSpec.Priority.NORMAL,
                1,
                2,
                0,
                1,
                null,
                null,
                false,
                false,
                true,
                "img",
                1,
                estimateS,
                0,
                0,
                Double.NaN);
    }

    /**
     * Adds the runs of an array with log-normal run times; one run in twenty is cut short.
     *
     * @param spread the standard deviation of the logarithm of the run time
     * @param estimateFactor the median ratio of the owner's estimate to {@code medianS}
     */
    RecordedRuns addArray(String kind, int tasks, double medianS, double spread, double estimateFactor) {
        JobSpec task = task(kind, Math.max(1, medianS * estimateFactor * Math.exp(random.nextGaussian() * 0.4)));
        List<PredictionEvaluation.Run> arrayRuns = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            double ranS = medianS * Math.exp(random.nextGaussian() * spread) * (0.9 + random.nextDouble() * 0.2);
            boolean cutShort = random.nextInt(20) == 0;
            arrayRuns.add(new PredictionEvaluation.Run(
                    task, "m-" + random.nextInt(30), cutShort ? ranS * random.nextDouble() : ranS, cutShort));
        }
        arrayRuns.sort((a, b) -> Double.compare(a.ranS(), b.ranS()));
        runs.addAll(arrayRuns);
        return this;
    }

    List<PredictionEvaluation.Run> runs() {
        return runs;
    }

    /** Many arrays of one kind whose run times keep the same distribution. */
    static List<PredictionEvaluation.Run> steady(long seed, double estimateFactor) {
        RecordedRuns recorded = new RecordedRuns(seed);
        for (int i = 0; i < 60; i++) {
            recorded.addArray("steady", 10 + recorded.random.nextInt(40), 25, 0.45, estimateFactor);
        }
        return recorded.runs;
    }

    /** A kind whose run times grow gradually, by a quarter in all. */
    static List<PredictionEvaluation.Run> gradualSlowdown(long seed) {
        RecordedRuns recorded = new RecordedRuns(seed);
        for (int i = 0; i < 60; i++) {
            recorded.addArray("drift", 20, 30 * (1 + i / 240.0), 0.4, 1);
        }
        return recorded.runs;
    }

    /** Many kinds that run a few times each. */
    static List<PredictionEvaluation.Run> fewRunsPerKind(long seed) {
        RecordedRuns recorded = new RecordedRuns(seed);
        for (int i = 0; i < 120; i++) {
            recorded.addArray("rare-" + i, 3, 10 * Math.exp(recorded.random.nextGaussian() * 0.5), 0.4, 1);
        }
        return recorded.runs;
    }

    /** One kind with two typical run times at random, and one that alternates between two from task to task. */
    static List<PredictionEvaluation.Run> bimodal(long seed) {
        RecordedRuns recorded = new RecordedRuns(seed);
        for (int i = 0; i < 400; i++) {
            recorded.addArray("bimodal", 1, recorded.random.nextBoolean() ? 10 : 60, 0.2, 1);
            recorded.addArray("alternates", 1, i % 2 == 0 ? 5 : 40, 0.15, 1);
        }
        return recorded.runs;
    }

    /** Run times grow tenfold from one array to the next, while the owner's estimate stays the same. */
    static List<PredictionEvaluation.Run> tenfoldIncrease(long seed) {
        RecordedRuns recorded = new RecordedRuns(seed);
        for (int i = 0; i < 20; i++) {
            recorded.addArray("grows", 10, 12, 0.35, 1);
        }
        for (int i = 0; i < 40; i++) {
            recorded.addArray("grows", 10, 120, 0.35, 0.1);
        }
        return recorded.runs;
    }
}
