package org.hollypick.core;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import org.hollypick.config.Settings;
import org.hollypick.core.assignment.Machine;

/**
 * The cores and GPUs of each team's tasks, counting every task that may be on a machine. Until reconciliation is
 * complete, machines of earlier terms may hold tasks that this leader doesn't know: an upper bound of what these take
 * is counted too (docs/safety.md, "quota"). Confined to the event loop.
 */
final class TeamUsage {
    /** For rounding errors in sums of decimal amounts. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private final Object2DoubleOpenHashMap<String> cpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> gpus = new Object2DoubleOpenHashMap<>();
    private final Object2LongOpenHashMap<String> changeCounts = new Object2LongOpenHashMap<>();
    /** What tasks of earlier leaders take, or took, that were found in this term; each attempt counts once. */
    private final Object2DoubleOpenHashMap<String> foundCpus = new Object2DoubleOpenHashMap<>();

    private final Object2DoubleOpenHashMap<String> foundGpus = new Object2DoubleOpenHashMap<>();
    private final LongOpenHashSet foundAttempts = new LongOpenHashSet();
    /** Quota that arrays must leave to services of their team. */
    private final Object2DoubleOpenHashMap<String> reservedCpus = new Object2DoubleOpenHashMap<>();

    private final Object2DoubleOpenHashMap<String> reservedGpus = new Object2DoubleOpenHashMap<>();
    /** Upper bound of what unknown tasks take: the capacity of all machines that aren't accounted for. */
    private double unaccountedCpus;

    private double unaccountedGpus;

    /**
     * Reserves quota for pending tasks of a service, or gives back what was reserved for tasks that started: while
     * reserved, it isn't available to the team's arrays.
     *
     * @param tasks how many; negative to give back, which does nothing for a team without reservations
     */
    void reserve(JobSpec spec, int tasks) {
        if (tasks > 0 || reservedCpus.containsKey(spec.team())) {
            reservedCpus.addTo(spec.team(), tasks * spec.cpus());
            reservedGpus.addTo(spec.team(), tasks * spec.gpus());
        }
    }

    /** Gives back all reserved quota of all teams. */
    void clearReservations() {
        reservedCpus.clear();
        reservedGpus.clear();
    }

    /** How often the team's usage has changed: it differs when tasks of the team started or ended in between. */
    long changeCount(String team) {
        return changeCounts.getLong(team);
    }

    /** Counts {@code tasks} more tasks of that description, or fewer if negative. */
    void add(JobSpec spec, int tasks) {
        changeCounts.addTo(spec.team(), 1);
        cpus.addTo(spec.team(), tasks * spec.cpus());
        gpus.addTo(spec.team(), tasks * spec.gpus());
    }

    /**
     * A task of an earlier leader was found on its machine. To be called for heartbeats sent in this term alone, since
     * an older one doesn't show that the task was still there when the term began.
     */
    void recordFoundTask(JobSpec spec, long attempt) {
        if (foundAttempts.add(attempt)) {
            foundCpus.addTo(spec.team(), spec.cpus());
            foundGpus.addTo(spec.team(), spec.gpus());
        }
    }

    /** No machine holds unknown tasks any more; which attempts were found needn't be remembered. */
    void reconciliationComplete() {
        foundAttempts.clear();
    }

    /** Takes the upper bound of what unknown tasks take from the machines that aren't accounted for. */
    void updateUnaccountedCapacity(Iterable<Machine> machines) {
        unaccountedCpus = 0;
        unaccountedGpus = 0;
        for (Machine machine : machines) {
            if (!machine.accountedFor()) {
                // A type that the cloud no longer names may hold anything.
                unaccountedCpus += machine.type.cpus() > 0 ? machine.type.cpus() : Double.POSITIVE_INFINITY;
                unaccountedGpus += machine.type.cpus() > 0 ? machine.type.gpus() : Double.POSITIVE_INFINITY;
            }
        }
    }

    /** Whether one more task keeps the team's limit, given that all tasks are known. */
    boolean allows(Settings.Team team, JobSpec spec) {
        return allows(team, spec, 0, 0);
    }

    private boolean allows(Settings.Team team, JobSpec spec, double unknownCpus, double unknownGpus) {
        String name = team.name();
        double setAsideCpus = spec.service() ? 0 : Math.max(0, reservedCpus.getDouble(name));
        double setAsideGpus = spec.service() ? 0 : Math.max(0, reservedGpus.getDouble(name));
        return withinLimit(team.cpusMax(), cpus.getDouble(name) + Math.max(0, unknownCpus) + setAsideCpus + spec.cpus())
                && withinLimit(
                        team.gpusMax(), gpus.getDouble(name) + Math.max(0, unknownGpus) + setAsideGpus + spec.gpus());
    }

    /**
     * Whether one more task keeps the team's limit whatever tasks of earlier leaders are still unknown.
     *
     * @param earlierLeadersEnforcedLimits whether earlier leaders kept the same limits: then all that they started, the
     *     found tasks included, takes no more than the limit
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

    /** Whether no team's known tasks take more than its limit. */
    boolean allTeamsWithinLimits(Iterable<Settings.Team> teams) {
        for (Settings.Team team : teams) {
            if (!withinLimit(team.cpusMax(), cpus.getDouble(team.name()))
                    || !withinLimit(team.gpusMax(), gpus.getDouble(team.name()))) {
                return false;
            }
        }
        return true;
    }

    /** A limit of 0 or less is none. */
    private static boolean withinLimit(double limit, double amount) {
        return limit <= 0 || amount <= limit + ROUNDING_TOLERANCE;
    }
}
