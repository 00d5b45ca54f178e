package org.hollypick.core.estimate;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.hollypick.core.JobSpec;

/**
 * Predicts the run times of tasks from observed runs. Runs are grouped by kind: job class, team and size, with wider
 * groups for kinds that have few runs. Memory is bounded, whatever the number of kinds and machines. All durations are
 * seconds. Confined to the event loop.
 */
public final class Estimates {
    /** Kinds that are known at most; the one that ran least recently is dropped first. */
    static final int MAX_KINDS = 2_000;

    /** Machines whose slow runs are counted at most; the one that ran least recently is dropped first. */
    private static final int MAX_MACHINES = 4_000;

    /** Completed runs from which on a group is used instead of a wider one. */
    private static final int SUFFICIENT_RUNS = 5;

    /** Completed runs from which on a group's interval isn't widened any more. */
    private static final int CONFIDENT_RUNS = 20;

    /** Slow runs in a row from which on a machine's runs are ignored. */
    private static final int CONSECUTIVE_SLOW_RUNS = 3;

    /** Multiple of the upper end of the interval from which on a run counts as slow. */
    private static final double SLOW_RATIO = 2;

    /** The narrowest groups of a task, which consist of runs of its own kind. */
    private static final int OWN_KIND_GROUPS = 2;

    /** Factor by which the interval is widened if it comes from tasks of another kind. */
    private static final double BORROWED_WIDENING = 1.5;

    /** An owner's estimate above this is ignored. */
    private static final double MAX_ESTIMATE_S = 1e7;

    private final OwnerEstimateCorrection ownerEstimateCorrection = new OwnerEstimateCorrection();
    private final boolean learnsDistributions;
    /** Runs by group, in the order of their last use. */
    private final Map<String, RunHistory> historyByGroup = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RunHistory> eldest) {
            return size() > MAX_KINDS;
        }
    };
    /** The number of a machine's last runs in a row that were slow, by machine id. */
    private final Map<String, Integer> slowRunsByMachine = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_MACHINES;
        }
    };

    /** Kinds whose runs changed since they were last taken for storing. */
    private final Set<String> updatedKinds = new LinkedHashSet<>();

    /**
     * Starts without any observed run.
     *
     * @param learnsDistributions whether prediction intervals are learned, besides the mean for scaling out
     */
    public Estimates(boolean learnsDistributions) {
        this.learnsDistributions = learnsDistributions;
    }

    /** The groups that a task belongs to, the narrowest first. */
    private static List<String> groups(JobSpec spec) {
        String kind = spec.jobClass() + "/" + spec.team();
        return List.of(
                kind + "/" + Math.round(Math.log(Math.max(0.1, spec.cpus())) / Math.log(2)),
                kind,
                "/" + spec.team(),
                "");
    }

    /** The owner's estimate, or 0 if it isn't a plausible duration. */
    private static double estimateS(JobSpec spec) {
        return spec.estimateS() > 0 && spec.estimateS() <= MAX_ESTIMATE_S ? spec.estimateS() : 0;
    }

    /** The mean run time that scaling out reckons with: the owner's estimate, corrected by the class's runs. */
    public double meanRunTimeS(JobSpec spec) {
        return ownerEstimateCorrection.expectedS(spec);
    }

    /**
     * Records a run. Runs of services and of implausible length are ignored, and so are those of a machine that is slow
     * while most others aren't.
     *
     * @param ranS seconds that the task ran
     * @param cutShort whether the task was stopped, failed or lost after that time, instead of completing
     */
    public void observe(JobSpec spec, String machine, double ranS, boolean cutShort) {
        if (!(ranS >= 0) || spec.service()) {
            return; // the clock jumped, or the task has no end of its own
        }
        if (!cutShort) {
            ownerEstimateCorrection.taskCompleted(spec, ranS);
        }
        if (!learnsDistributions) {
            return;
        }
        List<String> groups = groups(spec);
        if (!cutShort) {
            PredictionInterval expected = interval(spec, groups, 0);
            boolean isSlow = expected.runs() >= SUFFICIENT_RUNS && ranS > SLOW_RATIO * expected.p90();
            int slowRuns = isSlow ? slowRunsByMachine.getOrDefault(machine, 0) + 1 : 0;
            slowRunsByMachine.put(machine, slowRuns);
            if (slowRuns >= CONSECUTIVE_SLOW_RUNS && areMostOthersNormal(machine)) {
                return;
            }
        }
        for (String group : groups) {
            historyByGroup.computeIfAbsent(group, k -> new RunHistory()).add(ranS, estimateS(spec), cutShort);
        }
        updatedKinds.addAll(groups.subList(0, OWN_KIND_GROUPS));
    }

    /** Whether most machines aren't slow: if all are, the kind has changed and no machine is to blame. */
    private boolean areMostOthersNormal(String machine) {
        int normalMachines = 0;
        for (Map.Entry<String, Integer> slowRuns : slowRunsByMachine.entrySet()) {
            normalMachines += slowRuns.getValue() == 0 && !slowRuns.getKey().equals(machine) ? 1 : 0;
        }
        return normalMachines * 2 > slowRunsByMachine.size();
    }

    /** Predicts how many seconds such a task takes in all, given that it has run for {@code ranS} seconds already. */
    public PredictionInterval interval(JobSpec spec, double ranS) {
        return interval(spec, groups(spec), ranS);
    }

    private PredictionInterval interval(JobSpec spec, List<String> groups, double ranS) {
        RunHistory best = null;
        String from = "";
        for (String group : groups) {
            RunHistory history = historyByGroup.get(group);
            if (history != null
                    && history.completedRuns() > 0
                    && (best == null || best.completedRuns() < SUFFICIENT_RUNS)) {
                best = history;
                from = group.isEmpty() ? "all" : group;
            }
        }
        double elapsedS = Math.max(0, ranS);
        if (best == null) {
            double guess = Math.max(Math.max(1, estimateS(spec)), elapsedS);
            return new PredictionInterval(guess / 4, guess, guess * 8, 0, "no history: the owner's estimate");
        }
        SurvivalCurve curve = best.survivalCurve(estimateS(spec));
        PredictionInterval interval = new PredictionInterval(
                curve.quantile(0.1, elapsedS),
                curve.quantile(0.5, elapsedS),
                curve.quantile(0.9, elapsedS),
                best.completedRuns(),
                from);
        boolean isOwnKind = groups.indexOf(from) >= 0 && groups.indexOf(from) < OWN_KIND_GROUPS;
        double widening = best.completedRuns() >= CONFIDENT_RUNS ? 1 : 1 + 2.0 / (1 + best.completedRuns());
        PredictionInterval widened = interval.widened(widening * (isOwnKind ? 1 : BORROWED_WIDENING));
        return new PredictionInterval(
                Math.max(widened.p10(), elapsedS),
                widened.p50(),
                widened.p90(),
                widened.runs(),
                isOwnKind ? from : "borrowed from " + from);
    }

    /** A source of random run times for one kind of task; the same seed gives the same draws. */
    Sampler sampler(JobSpec spec) {
        return new Sampler(spec);
    }

    /** Draws random run times of a kind of task. */
    final class Sampler {
        private static final int QUANTILES = 33;

        /** Run times of a task that hasn't started, at evenly spaced quantiles. */
        private final double[] quantiles = new double[QUANTILES];

        private final JobSpec spec;
        private final PredictionInterval interval;

        Sampler(JobSpec spec) {
            this.spec = spec;
            this.interval = Estimates.this.interval(spec, 0);
            for (int i = 0; i < quantiles.length; i++) {
                quantiles[i] = quantile(interval, (i + 0.5) / quantiles.length);
            }
        }

        /** The prediction for a task that hasn't started. */
        PredictionInterval interval() {
            return interval;
        }

        /** Draws the seconds that a task takes in all, given that it has run for {@code ranS} seconds already. */
        double draw(UniformRandomProvider random, double ranS) {
            if (ranS <= 0) {
                return quantiles[random.nextInt(quantiles.length)];
            }
            return Math.max(ranS, quantile(Estimates.this.interval(spec, ranS), random.nextDouble()));
        }

        /**
         * Interpolates the logarithms of the three known quantiles linearly, and extrapolates beyond the outer ones.
         */
        private static double quantile(PredictionInterval interval, double share) {
            double low = Math.log(Math.max(1e-3, interval.p10()));
            double middle = Math.log(Math.max(1e-3, interval.p50()));
            double high = Math.log(Math.max(1e-3, interval.p90()));
            return Math.exp(
                    share < 0.5
                            ? low + (share - 0.1) / 0.4 * (middle - low)
                            : middle + (share - 0.5) / 0.4 * (high - middle));
        }
    }

    // ---- records ----

    /**
     * The observed runs of one kind, as they are stored.
     *
     * @param observedRuns all runs ever observed, those included that were dropped
     * @param runs the newest runs, oldest first, each as {@link RunHistory} encodes it
     */
    public record Snapshot(String kind, long observedRuns, short[][] runs) {}

    /** Returns the kinds whose runs changed since the last call, in the order in which they first did. */
    public List<String> takeUpdatedKinds() {
        List<String> taken = new ArrayList<>(updatedKinds);
        updatedKinds.clear();
        return taken;
    }

    /**
     * The newest runs of a kind, for storing.
     *
     * @return null if the kind was dropped
     */
    public Snapshot snapshot(String kind, int maxRuns) {
        RunHistory history = historyByGroup.get(kind);
        return history == null ? null : new Snapshot(kind, history.observedRuns(), history.newest(maxRuns));
    }

    /** Adds the stored runs of an earlier leader, to the kind and to the wider groups that contain it. */
    public void restore(Snapshot snapshot) {
        historyByGroup
                .computeIfAbsent(snapshot.kind(), k -> new RunHistory())
                .restore(snapshot.runs(), snapshot.observedRuns());
        int slash = snapshot.kind().indexOf('/');
        // The wider groups are restored from class and team only: each run stands in these once.
        if (slash > 0 && snapshot.kind().indexOf('/', slash + 1) < 0) {
            for (String wider : List.of(snapshot.kind().substring(slash), "")) {
                historyByGroup
                        .computeIfAbsent(wider, k -> new RunHistory())
                        .restore(snapshot.runs(), snapshot.observedRuns());
            }
        }
    }

    /** The number of kinds with observed runs. */
    public int kindCount() {
        return historyByGroup.size();
    }
}
