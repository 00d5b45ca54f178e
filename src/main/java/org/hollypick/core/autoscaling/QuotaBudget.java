package org.hollypick.core.autoscaling;

import java.util.HashMap;
import java.util.Map;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.TeamQuotas;

/**
 * Allocates the teams' quotas to their tasks, in the order of the calls: a task beyond its team's quota can't run,
 * however many machines there are. A team without a limit has an infinite quota. Confined to the event loop.
 */
final class QuotaBudget {
    private final TeamQuotas quotas;
    private final Map<String, RemainingQuota> remainingByTeam = new HashMap<>();

    /** The remaining quota of one team. */
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

        private static double maxTasks(double available, double perTask) {
            return perTask > 0
                    ? Math.floor(Math.max(0, available + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE) / perTask)
                    : Double.POSITIVE_INFINITY;
        }

        void take(JobSpec spec, int tasks) {
            cpus -= tasks * spec.cpus();
            gpus -= tasks * spec.gpus();
        }
    }

    QuotaBudget(TeamQuotas quotas) {
        this.quotas = quotas;
    }

    /** A copy of the remaining quotas; later changes of this budget don't affect the copy. */
    QuotaBudget copy() {
        QuotaBudget copy = new QuotaBudget(quotas);
        remainingByTeam.forEach((team, remaining) -> copy.remainingByTeam.put(team, remaining.copy()));
        return copy;
    }

    /** Takes the quota that running tasks use, even if that exceeds the remaining quota. */
    void takeUnconditionally(JobSpec spec, int tasks) {
        remaining(spec.team()).take(spec, tasks);
    }

    /** Takes quota for as many of the tasks as the remaining quota allows, and returns their number. */
    int takeAvailable(JobSpec spec, int tasks) {
        RemainingQuota remaining = remaining(spec.team());
        int allowed = remaining.maxTasks(spec, tasks);
        remaining.take(spec, allowed);
        return allowed;
    }

    /** Cores left of the team's quota, at least 0; infinity if it has no limit. */
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
