package org.hollypick.core;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.assignment.Machine;

/**
 * Tracks the cores and GPUs that each team uses, counting every task that may be on a machine. Until reconciliation is
 * complete, machines of earlier terms may hold tasks that are unknown to this leader: an upper bound of their usage is
 * counted too (docs/safety.md, "quota"). Confined to the event loop.
 */
final class TeamUsage {
    private final Object2DoubleOpenHashMap<String> cpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> gpus = new Object2DoubleOpenHashMap<>();
    private final Object2LongOpenHashMap<String> changeCounts = new Object2LongOpenHashMap<>();
    /** Usage of all tasks of earlier leaders that were found in this term, ended or not; each attempt counts once. */
    private final Object2DoubleOpenHashMap<String> foundCpus = new Object2DoubleOpenHashMap<>();

    private final Object2DoubleOpenHashMap<String> foundGpus = new Object2DoubleOpenHashMap<>();
    private final LongOpenHashSet foundAttempts = new LongOpenHashSet();
    /** Quota that is reserved for services and not available to arrays of the same team. */
    private final Object2DoubleOpenHashMap<String> reservedCpus = new Object2DoubleOpenHashMap<>();

    private final Object2DoubleOpenHashMap<String> reservedGpus = new Object2DoubleOpenHashMap<>();
    /** Upper bound of the usage of unknown tasks: the capacity of all machines that aren't accounted for. */
    private double unaccountedCpus;

    private double unaccountedGpus;

    /**
     * Reserves quota for pending tasks of a service, or releases the quota reserved for tasks that have started.
     * Reserved quota isn't available to the team's arrays.
     *
     * @param tasks the number of tasks; negative to release, which does nothing for a team without reservations
     */
    void reserve(JobSpec spec, int tasks) {
        if (tasks > 0 || reservedCpus.containsKey(spec.team())) {
            reservedCpus.addTo(spec.team(), tasks * spec.cpus());
            reservedGpus.addTo(spec.team(), tasks * spec.gpus());
        }
    }

    /** Releases the reserved quota of all teams. */
    void clearReservations() {
        reservedCpus.clear();
        reservedGpus.clear();
    }

    /** Returns how often the team's usage has changed: two values differ if its tasks started or ended in between. */
    long changeCount(String team) {
        return changeCounts.getLong(team);
    }

    /** Adds the usage of {@code tasks} tasks with this specification; a negative number subtracts it. */
    void add(JobSpec spec, int tasks) {
        changeCounts.addTo(spec.team(), 1);
        cpus.addTo(spec.team(), tasks * spec.cpus());
        gpus.addTo(spec.team(), tasks * spec.gpus());
    }

    /**
     * Records a task of an earlier leader that was found on its machine. To be called only for heartbeats sent in this
     * term: an older heartbeat doesn't show that the task was still there when the term began.
     */
    void recordFoundTask(JobSpec spec, long attempt) {
        if (foundAttempts.add(attempt)) {
            foundCpus.addTo(spec.team(), spec.cpus());
            foundGpus.addTo(spec.team(), spec.gpus());
        }
    }

    /** Discards which attempts were found. To be called when no machine can hold unknown tasks any more. */
    void reconciliationComplete() {
        foundAttempts.clear();
    }

    /** Recomputes the upper bound of the usage of unknown tasks from the machines that aren't accounted for. */
    void updateUnaccountedCapacity(Iterable<Machine> machines) {
        unaccountedCpus = 0;
        unaccountedGpus = 0;
        for (Machine machine : machines) {
            if (!machine.accountedFor()) {
                // The capacity of a type that the cloud no longer offers is unknown, so it has no upper bound.
                unaccountedCpus += machine.type.cpus() > 0 ? machine.type.cpus() : Double.POSITIVE_INFINITY;
                unaccountedGpus += machine.type.cpus() > 0 ? machine.type.gpus() : Double.POSITIVE_INFINITY;
            }
        }
    }

    /** Whether the team stays within its limit with one more task, given that all its tasks are known. */
    boolean allows(Settings.Team team, JobSpec spec) {
        return allows(team, spec, 0, 0);
    }

    private boolean allows(Settings.Team team, JobSpec spec, double unknownCpus, double unknownGpus) {
        String name = team.name();
        double serviceReservedCpus = spec.service() ? 0 : Math.max(0, reservedCpus.getDouble(name));
        double serviceReservedGpus = spec.service() ? 0 : Math.max(0, reservedGpus.getDouble(name));
        return withinLimit(
                        team.cpusMax(),
                        cpus.getDouble(name) + Math.max(0, unknownCpus) + serviceReservedCpus + spec.cpus())
                && withinLimit(
                        team.gpusMax(),
                        gpus.getDouble(name) + Math.max(0, unknownGpus) + serviceReservedGpus + spec.gpus());
    }

    /**
     * Whether the team stays within its limit with one more task, whatever tasks of earlier leaders are still unknown.
     *
     * @param earlierLeadersEnforcedLimits whether all earlier leaders enforced the same limits: then all tasks that
     *     they started, the found ones included, use no more than the limit
     */
    boolean allowsBeforeReconciliation(Settings.Team team, JobSpec spec, boolean earlierLeadersEnforcedLimits) {
        String name = team.name();
        double unknownCpus = Math.min(
                unaccountedCpus,
                earlierLeadersEnforcedLimits ? team.cpusMax() - foundCpus.getDouble(name) : Double.POSITIVE_INFINITY);
        double unknownGpus = Math.min(
                unaccountedGpus,
                earlierLeadersEnforcedLimits ? team.gpusMax() - foundGpus.getDouble(name) : Double.POSITIVE_INFINITY);
        return allows(team, spec, unknownCpus, unknownGpus);
    }

    /** Whether the known tasks of every team are within its limit. */
    boolean allTeamsWithinLimits(Iterable<Settings.Team> teams) {
        for (Settings.Team team : teams) {
            if (!withinLimit(team.cpusMax(), cpus.getDouble(team.name()))
                    || !withinLimit(team.gpusMax(), gpus.getDouble(team.name()))) {
                return false;
            }
        }
        return true;
    }

    /** Whether an amount is within the limit; 0 or less means that there is no limit. */
    private static boolean withinLimit(double limit, double amount) {
        return limit <= 0 || amount <= limit + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE;
    }
}
