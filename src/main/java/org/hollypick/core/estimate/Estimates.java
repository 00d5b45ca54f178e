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
 * Predicts the run times of tasks from observed runs. Runs are grouped by kind, which is the job class and team, with a
 * narrower group by size and wider groups for kinds that have few runs. Memory is bounded regardless of the number of
 * kinds and machines. All durations are in seconds. Confined to the event loop.
 */
public final class Estimates {
    /** Maximum number of groups with a run history; the least recently used one is dropped first. */
    static final int MAX_KINDS = 2_000;

    /** Maximum number of machines whose slow runs are counted; the least recently used one is dropped first. */
    private static final int MAX_MACHINES = 4_000;

    /** Number of completed runs from which a group is used instead of a wider one. */
    private static final int SUFFICIENT_RUNS = 5;

    /** Number of completed runs from which a group's interval isn't widened for lack of runs. */
    private static final int CONFIDENT_RUNS = 20;

    /** Number of consecutive slow runs from which a machine's runs are ignored. */
    private static final int CONSECUTIVE_SLOW_RUNS = 3;

    /** Multiple of the interval's upper bound above which a run counts as slow. */
    private static final double SLOW_RATIO = 2;

    /** Number of a task's groups, counted from the narrowest, that contain only runs of its own kind. */
    private static final int OWN_KIND_GROUPS = 2;

    /** Factor by which the interval is widened if it is based on tasks of other kinds. */
    private static final double BORROWED_WIDENING = 1.5;

    /** Owners' estimates above this are ignored. */
    private static final double MAX_ESTIMATE_S = 1e7;

    /** Ratio of the owner's estimate to the lower bound of the interval when there are no runs. */
    private static final double NO_HISTORY_P10_DIVISOR = 4;

    /** Ratio of the upper bound of the interval to the owner's estimate when there are no runs. */
    private static final double NO_HISTORY_P90_FACTOR = 8;

    private final OwnerEstimateCorrection ownerEstimateCorrection = new OwnerEstimateCorrection();
    private final boolean learnsDistributions;
    /** Run histories by group, least recently used first. */
    private final Map<String, RunHistory> historyByGroup = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, RunHistory> eldest) {
            return size() > MAX_KINDS;
        }
    };
    /** The number of consecutive slow runs up to the latest run, by machine id; least recently used first. */
    private final Map<String, Integer> slowRunsByMachine = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MAX_MACHINES;
        }
    };

    /** The groups whose runs changed since {@link #takeUpdatedKinds} was last called. */
    private final Set<String> updatedKinds = new LinkedHashSet<>();

    /**
     * Creates an instance without observed runs.
     *
     * @param learnsDistributions whether prediction intervals are learned, in addition to the mean for scale-out
     */
    public Estimates(boolean learnsDistributions) {
        this.learnsDistributions = learnsDistributions;
    }

    /** The groups to which a task belongs, narrowest first: by kind and size, by kind, by team, and all tasks. */
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

    /** The mean run time on which scale-out is based: the owner's estimate, corrected by the runs of the job class. */
    public double meanRunTimeS(JobSpec spec) {
        return ownerEstimateCorrection.expectedS(spec);
    }

    /**
     * Records a run. Runs of services and negative or undefined durations are ignored. The intervals also ignore
     * completed runs on a machine that is slow while most others aren't.
     *
     * @param ranS seconds that the task ran
     * @param cutShort whether the task was stopped, failed or lost after that time instead of completing
     */
    public void observe(JobSpec spec, String machine, double ranS, boolean cutShort) {
        if (!(ranS >= 0) || spec.service()) {
            return; // the clock jumped, or the task is a service and never completes
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

    /**
     * Whether most machines aren't slow. If most are, the tasks' run times have changed and the machine isn't at fault.
     */
    private boolean areMostOthersNormal(String machine) {
        int normalMachines = 0;
        for (Map.Entry<String, Integer> slowRuns : slowRunsByMachine.entrySet()) {
            normalMachines += slowRuns.getValue() == 0 && !slowRuns.getKey().equals(machine) ? 1 : 0;
        }
        return normalMachines * 2 > slowRunsByMachine.size();
    }

    /** Predicts the total run time of a task that has been running for {@code ranS} seconds. */
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
            return new PredictionInterval(
                    guess / NO_HISTORY_P10_DIVISOR,
                    guess,
                    guess * NO_HISTORY_P90_FACTOR,
                    0,
                    "no history: the owner's estimate");
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

    /** Returns a sampler of random run times of tasks with that description. */
    Sampler sampler(JobSpec spec) {
        return new Sampler(spec);
    }

    /** Draws random run times of tasks with one description; equally seeded generators give the same draws. */
    final class Sampler {
        private static final int QUANTILES = 33;

        /** Evenly spaced quantiles of the run time of a task that hasn't started. */
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

        /** Draws the total run time in seconds of a task that has been running for {@code ranS} seconds. */
        double draw(UniformRandomProvider random, double ranS) {
            if (ranS <= 0) {
                return quantiles[random.nextInt(quantiles.length)];
            }
            return Math.max(ranS, quantile(Estimates.this.interval(spec, ranS), random.nextDouble()));
        }

        /** Interpolates linearly between the logarithms of the three known quantiles, and extrapolates beyond them. */
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

    // ---- storage ----

    /**
     * The observed runs of one group, as they are stored.
     *
     * @param kind the group's name, one of those that {@link #takeUpdatedKinds} returns
     * @param observedRuns the number of runs ever observed, including dropped ones
     * @param runs the newest runs, oldest first, each as {@link RunHistory} encodes it
     */
    public record Snapshot(String kind, long observedRuns, short[][] runs) {}

    /**
     * Returns the kinds, with and without size, whose runs changed since the last call, in the order of their first
     * change.
     */
    public List<String> takeUpdatedKinds() {
        List<String> taken = new ArrayList<>(updatedKinds);
        updatedKinds.clear();
        return taken;
    }

    /**
     * The newest runs of a kind, to be stored.
     *
     * @return null if the kind was dropped
     */
    public Snapshot snapshot(String kind, int maxRuns) {
        RunHistory history = historyByGroup.get(kind);
        return history == null ? null : new Snapshot(kind, history.observedRuns(), history.newest(maxRuns));
    }

    /** Adds the stored runs of an earlier leader to the kind and to the wider groups that contain it. */
    public void restore(Snapshot snapshot) {
        historyByGroup
                .computeIfAbsent(snapshot.kind(), k -> new RunHistory())
                .restore(snapshot.runs(), snapshot.observedRuns());
        int slash = snapshot.kind().indexOf('/');
        // Only the group of class and team is added to the wider groups: adding its groups by size too would count each
        // run twice.
        if (slash > 0 && snapshot.kind().indexOf('/', slash + 1) < 0) {
            for (String wider : List.of(snapshot.kind().substring(slash), "")) {
                historyByGroup
                        .computeIfAbsent(wider, k -> new RunHistory())
                        .restore(snapshot.runs(), snapshot.observedRuns());
            }
        }
    }

    /** The number of groups with observed runs. */
    public int kindCount() {
        return historyByGroup.size();
    }
}
