package org.hollypick.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.placement.MachineSelector;

/**
 * Reserves quota for services whose team is at its limit although a machine has capacity for them. Without reservations
 * arrays would use all quota that becomes free on machines where services may not run, for as long as any array is
 * pending. Confined to the event loop.
 */
final class ServiceQuotaReservation {
    private final TeamQuotas quotas;
    private long reservedAt = -ReconcileConstants.FULL_SCHEDULING_CYCLE_INTERVAL_MS;
    private final Map<String, UsageObservation> usageByTeam = new HashMap<>();

    /** A team's usage change count, and when it was first observed, in milliseconds. */
    private record UsageObservation(long changeCount, long observedAt) {}

    ServiceQuotaReservation(TeamQuotas quotas) {
        this.quotas = quotas;
    }

    /**
     * Recomputes the reservations, at most once in {@link ReconcileConstants#FULL_SCHEDULING_CYCLE_INTERVAL_MS}.
     * Whether any machine has capacity is determined once for each team, with its first service that is over the limit.
     *
     * @param jobs jobs with pending tasks, in scheduling order
     * @param machines the machines that take tasks now
     * @param allServiceCpus cores of all services on all machines
     */
    void renew(List<Job> jobs, List<Machine> machines, double allServiceCpus, long now) {
        if (now - reservedAt < ReconcileConstants.FULL_SCHEDULING_CYCLE_INTERVAL_MS) {
            return;
        }
        reservedAt = now;
        quotas.usage().clearReservations();
        Map<String, Boolean> machineFoundByTeam = new HashMap<>();
        for (Job job : jobs) {
            JobSpec spec = job.spec;
            if (spec.service()
                    && !quotas.withinLimit(spec)
                    && usageChangedRecently(spec.team(), now)
                    && machineFoundByTeam.computeIfAbsent(
                            spec.team(),
                            team -> MachineSelector.chooseForService(job, machines, allServiceCpus, now) != null)) {
                quotas.usage().reserve(spec, job.pendingTasks.cardinality());
            }
        }
    }

    /**
     * Whether the team's usage changed within the last {@link SchedulingConstants#QUOTA_RESERVATION_MS}. If not, its
     * services are unlikely to get more quota soon, and the quota that is left is too small for them: a reservation
     * would only keep arrays that fit into it pending while machines are free.
     */
    private boolean usageChangedRecently(String team, long now) {
        long changeCount = quotas.usage().changeCount(team);
        UsageObservation observation = usageByTeam.get(team);
        if (observation == null || observation.changeCount != changeCount) {
            observation = new UsageObservation(changeCount, now);
            usageByTeam.put(team, observation);
        }
        return now - observation.observedAt < SchedulingConstants.QUOTA_RESERVATION_MS;
    }
}
