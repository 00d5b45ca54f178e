package org.hollypick.core.estimate;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.hollypick.core.JobSpec;

/**
 * Runs as a deployment would record them, drawn from a seed: arrays of several kinds, whose tasks end in the order of
 * their run times.
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

    /** An array: run times about a median with a tail, the owner's estimate off by a factor. */
    RecordedRuns addArray(String kind, int tasks, double medianS, double spread, double estimateOff) {
        JobSpec task = task(kind, Math.max(1, medianS * estimateOff * Math.exp(random.nextGaussian() * 0.4)));
        List<PredictionEvaluation.Run> some = new ArrayList<>();
        for (int i = 0; i < tasks; i++) {
            double ran = medianS * Math.exp(random.nextGaussian() * spread) * (0.9 + random.nextDouble() * 0.2);
            boolean cut = random.nextInt(20) == 0;
            some.add(new PredictionEvaluation.Run(
                    task, "m-" + random.nextInt(30), cut ? ran * random.nextDouble() : ran, cut));
        }
        some.sort((a, b) -> Double.compare(a.ranS(), b.ranS()));
        runs.addAll(some);
        return this;
    }

    List<PredictionEvaluation.Run> runs() {
        return runs;
    }

    /** Many arrays of a steady kind. */
    static List<PredictionEvaluation.Run> steady(long seed, double estimateOff) {
        RecordedRuns r = new RecordedRuns(seed);
        for (int i = 0; i < 60; i++) {
            r.addArray("steady", 10 + r.random.nextInt(40), 25, 0.45, estimateOff);
        }
        return r.runs;
    }

    /** A kind that gets slower, a quarter in all. */
    static List<PredictionEvaluation.Run> gradualSlowdown(long seed) {
        RecordedRuns r = new RecordedRuns(seed);
        for (int i = 0; i < 60; i++) {
            r.addArray("drift", 20, 30 * (1 + i / 240.0), 0.4, 1);
        }
        return r.runs;
    }

    /** Many kinds that run a few times each. */
    static List<PredictionEvaluation.Run> fewRunsPerKind(long seed) {
        RecordedRuns r = new RecordedRuns(seed);
        for (int i = 0; i < 120; i++) {
            r.addArray("thin-" + i, 3, 10 * Math.exp(r.random.nextGaussian() * 0.5), 0.4, 1);
        }
        return r.runs;
    }

    /** Two humps, in one array or the other; and one that alternates from task to task. */
    static List<PredictionEvaluation.Run> bimodal(long seed) {
        RecordedRuns r = new RecordedRuns(seed);
        for (int i = 0; i < 400; i++) {
            r.addArray("humps", 1, r.random.nextBoolean() ? 10 : 60, 0.2, 1);
            r.addArray("alternates", 1, i % 2 == 0 ? 5 : 40, 0.15, 1);
        }
        return r.runs;
    }

    /** Inputs grow tenfold from one array to the next; the owner's estimate doesn't follow. */
    static List<PredictionEvaluation.Run> tenfoldIncrease(long seed) {
        RecordedRuns r = new RecordedRuns(seed);
        for (int i = 0; i < 20; i++) {
            r.addArray("grows", 10, 12, 0.35, 1);
        }
        for (int i = 0; i < 40; i++) {
            r.addArray("grows", 10, 120, 0.35, 0.1);
        }
        return r.runs;
    }
}
