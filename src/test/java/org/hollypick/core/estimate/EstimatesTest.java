package org.hollypick.core.estimate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hollypick.core.JobSpec;
import org.junit.jupiter.api.Test;

/**
 * Coverage of the predicted intervals, their adaptation to changed run times, and robustness against invalid inputs.
 */
class EstimatesTest {
    private static Map<String, PredictionEvaluation.Score> evaluateAndPrint(
            List<PredictionEvaluation.Run> runs, String name) {
        Map<String, PredictionEvaluation.Score> scores = new PredictionEvaluation().evaluate(runs);
        scores.forEach((group, score) -> System.out.printf(
                Locale.ROOT,
                "| %s | %s | %d | %.2f | %.1f | %.2f | %.2f | %.2f | %.2f |%n",
                name,
                group,
                score.runs(),
                score.coverage(),
                score.medianWidth(),
                score.medianErrors().estimate(),
                score.medianErrors().ownerEstimate(),
                score.medianErrors().runningMean(),
                score.medianErrors().lastRun()));
        return scores;
    }

    private static void assertCoverage(PredictionEvaluation.Score score, String name) {
        assertTrue(
                score.coverage() >= 0.72 && score.coverage() <= 0.90,
                name + ": coverage of the 10-90 % interval " + score.coverage());
    }

    @Test
    void intervalsCoverAboutEightyPercentOfRuns() {
        assertCoverage(evaluateAndPrint(RecordedRuns.steady(1, 1), "steady").get("n>=20"), "steady");
        assertCoverage(
                evaluateAndPrint(RecordedRuns.steady(2, 2.5), "estimates too high")
                        .get("n>=20"),
                "too high");
        assertCoverage(
                evaluateAndPrint(RecordedRuns.steady(3, 0.4), "estimates too low")
                        .get("n>=20"),
                "too low");
        assertCoverage(
                evaluateAndPrint(RecordedRuns.gradualSlowdown(4), "drift").get("n>=20"), "drift");
        assertCoverage(
                evaluateAndPrint(RecordedRuns.bimodal(5), "bimodal and alternating")
                        .get("n>=20"),
                "bimodal");
    }

    @Test
    void predictionsBeatBiasedOwnerEstimates() {
        for (double estimateFactor : new double[] {0.4, 2.5}) {
            PredictionEvaluation.MedianErrors errors = new PredictionEvaluation()
                    .evaluate(RecordedRuns.steady(7, estimateFactor))
                    .get("n>=20")
                    .medianErrors();
            assertTrue(
                    errors.estimate() < errors.ownerEstimate() * 2 / 3,
                    "error not a third below that of the owner's estimate: " + errors.estimate() + " of "
                            + errors.ownerEstimate());
        }
    }

    /** Without change detection, outdated runs would dominate the predictions long after a tenfold increase. */
    @Test
    void intervalsAdaptWithinTwentyRunsOfATenfoldIncrease() {
        for (int seed = 1; seed <= 20; seed++) {
            Estimates estimates = new Estimates(true);
            List<PredictionEvaluation.Run> runs = RecordedRuns.tenfoldIncrease(seed);
            int missed = 0;
            int runsAfterIncrease = 0;
            for (PredictionEvaluation.Run run : runs) {
                PredictionInterval interval = estimates.interval(run.task(), 0);
                if (run.ranS() > 60 && !run.cutShort() && runsAfterIncrease < 60) {
                    runsAfterIncrease++;
                    missed += runsAfterIncrease > 20 && (run.ranS() > interval.p90() || run.ranS() < interval.p10())
                            ? 1
                            : 0;
                }
                estimates.observe(run.task(), run.machine(), run.ranS(), run.cutShort());
            }
            assertTrue(missed <= 20, "seed " + seed + ": runs outside the interval " + missed + " of 40");
        }
        evaluateAndPrint(RecordedRuns.tenfoldIncrease(1), "tenfold");
    }

    @Test
    void predictionForAnUnknownKindNamesItsSource() {
        Estimates estimates = new Estimates(true);
        PredictionInterval unknown = estimates.interval(RecordedRuns.task("new", 30), 0);
        assertEquals("no history: the owner's estimate", unknown.source());
        assertTrue(unknown.runs() == 0 && unknown.p90() / unknown.p10() > 20);
        for (int i = 0; i < 30; i++) {
            estimates.observe(RecordedRuns.task("old", 10), "m-" + i, 20 + i % 3, false);
        }
        PredictionInterval borrowed = estimates.interval(RecordedRuns.task("new", 30), 0);
        assertTrue(borrowed.source().startsWith("borrowed from"), borrowed.source());
        assertTrue(borrowed.p50() > 40, "the team's tasks take twice the owner's estimate: " + borrowed);
    }

    /** A run that was cut short only shows that the task takes longer than that. */
    @Test
    void runsCutShortDoNotLowerThePrediction() {
        Estimates estimates = new Estimates(true);
        JobSpec task = RecordedRuns.task("k", 30);
        for (int i = 0; i < 60; i++) {
            estimates.observe(task, "m-" + i, i % 2 == 0 ? 30 + i % 5 : 3, i % 2 != 0);
        }
        assertTrue(
                estimates.interval(task, 0).p50() > 28,
                estimates.interval(task, 0).toString());
    }

    /** The prediction accounts for the elapsed time, past the median and past the longest recorded run. */
    @Test
    void predictionGrowsWithElapsedTime() {
        Estimates estimates = new Estimates(true);
        JobSpec task = RecordedRuns.task("k", 10);
        Random random = new Random(1);
        for (int i = 0; i < 64; i++) {
            estimates.observe(task, "m-" + i, 10 * Math.exp(random.nextGaussian() * 0.6), false);
        }
        assertTrue(
                estimates.interval(task, 15).p50() > 17,
                estimates.interval(task, 15).toString());
        assertTrue(
                estimates.interval(task, 1_000).p50() >= 1_900,
                estimates.interval(task, 1_000).toString());
    }

    @Test
    void runsOnAPersistentlySlowMachineAreIgnored() {
        Estimates estimates = new Estimates(true);
        JobSpec task = RecordedRuns.task("k", 10);
        Random random = new Random(2);
        for (int i = 0; i < 200; i++) {
            boolean isSlow = i > 40 && i % 4 == 0;
            estimates.observe(
                    task,
                    isSlow ? "slow" : "m-" + i % 20,
                    (isSlow ? 100 : 10) * Math.exp(random.nextGaussian() * 0.1),
                    false);
        }
        assertTrue(
                estimates.interval(task, 0).p90() < 40,
                estimates.interval(task, 0).toString());
    }

    @Property(tries = 300, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void invalidInputsGiveOrderedFiniteIntervals(@ForAll long seed) {
        Random random = new Random(seed);
        Estimates estimates = new Estimates(true);
        double[] values = {0, 1e9, Double.NaN, -5, Double.POSITIVE_INFINITY, 1e-12, 30, 31, 29};
        for (int i = 0; i < 200; i++) {
            JobSpec task = RecordedRuns.task("k" + random.nextInt(4), values[random.nextInt(values.length)]);
            estimates.observe(
                    task, "m" + random.nextInt(3), values[random.nextInt(values.length)], random.nextInt(4) == 0);
            double ranS = values[random.nextInt(values.length)];
            PredictionInterval interval =
                    estimates.interval(task, Double.isNaN(ranS) || Double.isInfinite(ranS) ? 0 : ranS);
            assertTrue(
                    interval.p10() >= 0
                            && interval.p10() <= interval.p50()
                            && interval.p50() <= interval.p90()
                            && Double.isFinite(interval.p90()),
                    () -> "seed " + seed + " " + interval);
        }
    }

    @Test
    void memoryIsBoundedWhateverTheNumberOfKinds() {
        Estimates estimates = new Estimates(true);
        for (int i = 0; i < 10_000; i++) {
            estimates.observe(RecordedRuns.task("kind-" + i, 10), "m-" + i, 10, false);
        }
        assertTrue(estimates.kindCount() <= 2_000, "kinds " + estimates.kindCount());
        assertEquals(
                1, estimates.interval(RecordedRuns.task("kind-9999", 10), 0).runs() > 0 ? 1 : 0);
    }

    /**
     * A new leader restores the stored snapshots. Its predictions differ only because of rounding and because a
     * snapshot holds fewer runs.
     */
    @Test
    void restoredSnapshotsGiveNearlyTheSamePrediction() {
        Estimates original = new Estimates(true);
        for (PredictionEvaluation.Run run : RecordedRuns.steady(9, 1)) {
            original.observe(run.task(), run.machine(), run.ranS(), run.cutShort());
        }
        Estimates restored = new Estimates(true);
        for (String kind : original.takeUpdatedKinds()) {
            restored.restore(original.snapshot(kind, 32));
        }
        PredictionInterval expected = original.interval(RecordedRuns.task("steady", 25), 0);
        PredictionInterval actual = restored.interval(RecordedRuns.task("steady", 25), 0);
        assertTrue(Math.abs(Math.log(expected.p50() / actual.p50())) < 0.35, expected + " and " + actual);
        assertTrue(Math.abs(Math.log(expected.p90() / actual.p90())) < 0.5, expected + " and " + actual);
    }
}
