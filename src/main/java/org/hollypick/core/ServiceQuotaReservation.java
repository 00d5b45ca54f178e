package org.hollypick.core;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.placement.MachineSelector;

/**
 * Reserves quota for services whose team is at its limit though a machine has room for them. Without that, arrays would
 * take all quota that comes free on machines where services may not go, for as long as any array is pending. Confined
 * to the event loop.
 */
final class ServiceQuotaReservation {
    private final TeamQuotas quotas;
    private long reservedAt = -ReconcileConstants.FULL_SCHEDULING_CYCLE_MS;
    private final Map<String, UsageObservation> usageByTeam = new HashMap<>();

    /** How often a team's usage had changed when that was last seen to differ, and when that was. */
    private record UsageObservation(long changeCount, long observedAt) {}

    ServiceQuotaReservation(TeamQuotas quotas) {
        this.quotas = quotas;
    }

    /**
     * Makes the reservations anew, at most once in {@link ReconcileConstants#FULL_SCHEDULING_CYCLE_MS}. Whether a
     * machine has room is asked once for each team, by its first service.
     *
     * @param jobs jobs with pending tasks, in scheduling order
     * @param machines the machines that take tasks now
     * @param allServiceCpus cores of all services on all machines
     */
    void renew(List<Job> jobs, List<Machine> machines, double allServiceCpus, long now) {
        if (now - reservedAt < ReconcileConstants.FULL_SCHEDULING_CYCLE_MS) {
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
     * Whether the team's usage changed within the last {@link SchedulingConstants#RESERVATION_MS}. If not, hardly any
     * quota will come free for its services soon, and what is left is too little for them: a reservation would keep
     * arrays that fit into it waiting beside free machines.
     */
    private boolean usageChangedRecently(String team, long now) {
        long changeCount = quotas.usage().changeCount(team);
        UsageObservation observation = usageByTeam.get(team);
        if (observation == null || observation.changeCount != changeCount) {
            observation = new UsageObservation(changeCount, now);
            usageByTeam.put(team, observation);
        }
        return now - observation.observedAt < SchedulingConstants.RESERVATION_MS;
    }
}
