package org.hollypick.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.hollypick.core.JobSpec;
import org.hollypick.core.TeamQuotas;

/**
 * Deals out the teams' quotas to their tasks, in the order in which these are passed: what a quota doesn't allow can't
 * run, whatever machines there are. A team without a limit is allowed everything. Confined to the event loop.
 */
final class QuotaBudget {
    /** For rounding errors in sums of decimal amounts. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final TeamQuotas quotas;
    private final Map<String, RemainingQuota> remainingByTeam = new HashMap<>();

    /** What is left of one team's quota. */
    private static final class RemainingQuota {
        private double cpus;
        private double gpus;

        RemainingQuota copy() {
            RemainingQuota copy = new RemainingQuota();
            copy.cpus = cpus;
            copy.gpus = gpus;
            return copy;
        }

        int maxTasks(JobSpec spec, int tasks) {
            double byCpus = maxTasks(cpus, spec.cpus());
            double byGpus = maxTasks(gpus, spec.gpus());
            return (int) Math.min(tasks, Math.min(byCpus, byGpus));
        }

        private static double maxTasks(double available, double each) {
            return each > 0 ? Math.floor(Math.max(0, available + ROUNDING_TOLERANCE) / each) : Double.POSITIVE_INFINITY;
        }

        void take(JobSpec spec, int tasks) {
            cpus -= tasks * spec.cpus();
            gpus -= tasks * spec.gpus();
        }
    }

    QuotaBudget(TeamQuotas quotas) {
        this.quotas = quotas;
    }

    /** What is left now; later takings don't change it. */
    QuotaBudget copy() {
        QuotaBudget copy = new QuotaBudget(quotas);
        remainingByTeam.forEach((team, remaining) -> copy.remainingByTeam.put(team, remaining.copy()));
        return copy;
    }

    /** Takes what these tasks need, whether or not it is left: they run already. */
    void takeUnconditionally(JobSpec spec, int tasks) {
        remaining(spec.team()).take(spec, tasks);
    }

    /** Takes what is left for these tasks, and returns how many of them it is enough for. */
    int takeAvailable(JobSpec spec, int tasks) {
        RemainingQuota remaining = remaining(spec.team());
        int fitting = remaining.maxTasks(spec, tasks);
        remaining.take(spec, fitting);
        return fitting;
    }

    /** Cores left of the team's quota; infinity if it has no limit. */
    double remainingCpus(String team) {
        return Math.max(0, remaining(team).cpus);
    }

    /** Cores left of the quotas of all teams; infinity if one of them has no limit. */
    double remainingCpus() {
        if (quotas.teams().isEmpty()) {
            return Double.POSITIVE_INFINITY;
        }
        return quotas.teams().stream().mapToDouble(this::remainingCpus).sum();
    }

    private RemainingQuota remaining(String team) {
        return remainingByTeam.computeIfAbsent(team, name -> {
            RemainingQuota full = new RemainingQuota();
            full.cpus = quotas.maxCpus(name);
            full.gpus = quotas.maxGpus(name);
            return full;
        });
    }
}
