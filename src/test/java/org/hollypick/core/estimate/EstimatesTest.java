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

/** What runs teach: bands that hold what they say, hard cases by name, and nothing odd whatever goes in. */
class EstimatesTest {
    private static Map<String, PredictionEvaluation.Score> evaluateAndPrint(
            List<PredictionEvaluation.Run> runs, String name) {
        Map<String, PredictionEvaluation.Score> scores = new PredictionEvaluation().evaluate(runs);
        scores.forEach((of, s) -> System.out.printf(
                Locale.ROOT,
                "| %s | %s | %d | %.2f | %.1f | %.2f | %.2f | %.2f | %.2f |%n",
                name,
                of,
                s.runs(),
                s.coverage(),
                s.medianWidth(),
                s.medianErrors().estimate(),
                s.medianErrors().ownerEstimate(),
                s.medianErrors().runningMean(),
                s.medianErrors().lastRun()));
        return scores;
    }

    private static void assertCoverage(PredictionEvaluation.Score s, String name) {
        assertTrue(s.coverage() >= 0.72 && s.coverage() <= 0.90, name + ": inside the band " + s.coverage());
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
                evaluateAndPrint(RecordedRuns.bimodal(5), "two humps, alternating")
                        .get("n>=20"),
                "humps");
    }

    @Test
    void predictionsBeatBiasedOwnerEstimates() {
        for (double off : new double[] {0.4, 2.5}) {
            PredictionEvaluation.MedianErrors errors = new PredictionEvaluation()
                    .evaluate(RecordedRuns.steady(7, off))
                    .get("n>=20")
                    .medianErrors();
            assertTrue(
                    errors.estimate() < errors.ownerEstimate() * 2 / 3,
                    "a third below the owner's estimate: " + errors.estimate() + " of " + errors.ownerEstimate());
        }
    }

    /** After a tenfold jump the old runs would say for a long time, and confidently, what no longer holds. */
    @Test
    void intervalsAdaptWithinTwentyRunsOfATenfoldIncrease() {
        for (int seed = 1; seed <= 20; seed++) {
            Estimates e = new Estimates(true);
            List<PredictionEvaluation.Run> runs = RecordedRuns.tenfoldIncrease(seed);
            int missed = 0;
            int after = 0;
            for (PredictionEvaluation.Run run : runs) {
                PredictionInterval interval = e.interval(run.task(), 0);
                if (run.ranS() > 60 && !run.cutShort() && after < 60) {
                    after++;
                    missed += after > 20 && (run.ranS() > interval.p90() || run.ranS() < interval.p10()) ? 1 : 0;
                }
                e.observe(run.task(), run.machine(), run.ranS(), run.cutShort());
            }
            assertTrue(missed <= 20, "seed " + seed + ": outside of the band " + missed + " of 40");
        }
        evaluateAndPrint(RecordedRuns.tenfoldIncrease(1), "tenfold");
    }

    @Test
    void predictionForAnUnknownKindNamesItsSource() {
        Estimates e = new Estimates(true);
        PredictionInterval none = e.interval(RecordedRuns.task("new", 30), 0);
        assertEquals("no history: the owner's estimate", none.source());
        assertTrue(none.runs() == 0 && none.p90() / none.p10() > 20);
        for (int i = 0; i < 30; i++) {
            e.observe(RecordedRuns.task("old", 10), "m-" + i, 20 + i % 3, false);
        }
        PredictionInterval borrowed = e.interval(RecordedRuns.task("new", 30), 0);
        assertTrue(borrowed.source().startsWith("borrowed from"), borrowed.source());
        assertTrue(borrowed.p50() > 40, "the team's tasks take twice their estimate: " + borrowed);
    }

    /** What was cut short isn't short: a stopped task says that its kind takes longer than that. */
    @Test
    void runsCutShortDoNotLowerThePrediction() {
        Estimates e = new Estimates(true);
        JobSpec t = RecordedRuns.task("k", 30);
        for (int i = 0; i < 60; i++) {
            e.observe(t, "m-" + i, i % 2 == 0 ? 30 + i % 5 : 3, i % 2 != 0);
        }
        assertTrue(e.interval(t, 0).p50() > 28, e.interval(t, 0).toString());
    }

    /** A task past its median isn't about to end, and one past all that is known isn't either. */
    @Test
    void predictionGrowsWithElapsedTime() {
        Estimates e = new Estimates(true);
        JobSpec t = RecordedRuns.task("k", 10);
        Random r = new Random(1);
        for (int i = 0; i < 64; i++) {
            e.observe(t, "m-" + i, 10 * Math.exp(r.nextGaussian() * 0.6), false);
        }
        assertTrue(e.interval(t, 15).p50() > 17, e.interval(t, 15).toString());
        assertTrue(e.interval(t, 1_000).p50() >= 1_900, e.interval(t, 1_000).toString());
    }

    @Test
    void runsOnAPersistentlySlowMachineAreIgnored() {
        Estimates e = new Estimates(true);
        JobSpec t = RecordedRuns.task("k", 10);
        Random r = new Random(2);
        for (int i = 0; i < 200; i++) {
            boolean sick = i > 40 && i % 4 == 0;
            e.observe(t, sick ? "sick" : "m-" + i % 20, (sick ? 100 : 10) * Math.exp(r.nextGaussian() * 0.1), false);
        }
        assertTrue(e.interval(t, 0).p90() < 40, e.interval(t, 0).toString());
    }

    @Property(tries = 300, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void invalidInputsGiveOrderedFiniteIntervals(@ForAll long seed) {
        Random r = new Random(seed);
        Estimates e = new Estimates(true);
        double[] odd = {0, 1e9, Double.NaN, -5, Double.POSITIVE_INFINITY, 1e-12, 30, 31, 29};
        for (int i = 0; i < 200; i++) {
            JobSpec t = RecordedRuns.task("k" + r.nextInt(4), odd[r.nextInt(odd.length)]);
            e.observe(t, "m" + r.nextInt(3), odd[r.nextInt(odd.length)], r.nextInt(4) == 0);
            double ran = odd[r.nextInt(odd.length)];
            PredictionInterval b = e.interval(t, Double.isNaN(ran) || Double.isInfinite(ran) ? 0 : ran);
            assertTrue(
                    b.p10() >= 0 && b.p10() <= b.p50() && b.p50() <= b.p90() && Double.isFinite(b.p90()),
                    () -> "seed " + seed + " " + b);
        }
    }

    @Test
    void memoryIsBoundedWhateverTheNumberOfKinds() {
        Estimates e = new Estimates(true);
        for (int i = 0; i < 10_000; i++) {
            e.observe(RecordedRuns.task("kind-" + i, 10), "m-" + i, 10, false);
        }
        assertTrue(e.kindCount() <= 2_000, "kinds " + e.kindCount());
        assertEquals(1, e.interval(RecordedRuns.task("kind-9999", 10), 0).runs() > 0 ? 1 : 0);
    }

    /**
     * A successor starts from the records: what it says differs only by how they are rounded, and by what they leave
     * out.
     */
    @Test
    void restoredSnapshotsGiveNearlyTheSamePrediction() {
        Estimates before = new Estimates(true);
        for (PredictionEvaluation.Run run : RecordedRuns.steady(9, 1)) {
            before.observe(run.task(), run.machine(), run.ranS(), run.cutShort());
        }
        Estimates after = new Estimates(true);
        for (String kind : before.takeUpdatedKinds()) {
            after.restore(before.snapshot(kind, 32));
        }
        PredictionInterval a = before.interval(RecordedRuns.task("steady", 25), 0);
        PredictionInterval b = after.interval(RecordedRuns.task("steady", 25), 0);
        assertTrue(Math.abs(Math.log(a.p50() / b.p50())) < 0.35, a + " and " + b);
        assertTrue(Math.abs(Math.log(a.p90() / b.p90())) < 0.5, a + " and " + b);
    }
}
