package org.hollypick.core;

import it.unimi.dsi.fastutil.longs.LongOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import org.hollypick.config.Settings;
import org.hollypick.core.assignment.Machine;

/**
 * What each team's tasks take, counting every one that may be anywhere. Until every machine of earlier terms has been
 * heard, tasks may be there that nobody here knows of: then what they take at most is counted too (docs/safety.md,
 * "quota").
 */
final class TeamUsage {
    private static final double SLACK = 1e-6; // sums of decimal amounts

    private final Object2DoubleOpenHashMap<String> cpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> gpus = new Object2DoubleOpenHashMap<>();
    /** How often each team's use has changed. */
    private final Object2LongOpenHashMap<String> changes = new Object2LongOpenHashMap<>();
    /** What tasks of earlier leaders take, or took, that were there in this term; each attempt once. */
    private final Object2DoubleOpenHashMap<String> foundCpus = new Object2DoubleOpenHashMap<>();

    private final Object2DoubleOpenHashMap<String> foundGpus = new Object2DoubleOpenHashMap<>();
    private final LongOpenHashSet foundAttempts = new LongOpenHashSet();
    private final Object2DoubleOpenHashMap<String> owedCpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> owedGpus = new Object2DoubleOpenHashMap<>();
    /** The room of machines that may hold more than is known. */
    private double unheardCpus;

    private double unheardGpus;

    /**
     * Services of the team wait for nothing but its limit, with room for them: what comes free of it is theirs,
     * wherever it does.
     */
    void owe(JobSpec spec, int tasks) {
        if (tasks > 0 || owedCpus.containsKey(spec.team())) {
            owedCpus.addTo(spec.team(), tasks * spec.cpus());
            owedGpus.addTo(spec.team(), tasks * spec.gpus());
        }
    }

    void owesNothing() {
        owedCpus.clear();
        owedGpus.clear();
    }

    long changes(String team) {
        return changes.getLong(team);
    }

    void add(JobSpec spec, int tasks) {
        changes.addTo(spec.team(), 1);
        cpus.addTo(spec.team(), tasks * spec.cpus());
        gpus.addTo(spec.team(), tasks * spec.gpus());
    }

    /**
     * That task is there since before this term began: a report made in it says so, for an older one may be of any
     * time.
     */
    void found(JobSpec spec, long attempt) {
        if (foundAttempts.add(attempt)) {
            foundCpus.addTo(spec.team(), spec.cpus());
            foundGpus.addTo(spec.team(), spec.gpus());
        }
    }

    /** Everything is known: what was found needn't be remembered. */
    void reconciliationComplete() {
        foundAttempts.clear();
    }

    void unheard(Iterable<Machine> machines) {
        unheardCpus = 0;
        unheardGpus = 0;
        for (Machine machine : machines) {
            if (!machine.accountedFor()) {
                // A type that the cloud no longer names may hold anything.
                unheardCpus += machine.type.cpus() > 0 ? machine.type.cpus() : Double.POSITIVE_INFINITY;
                unheardGpus += machine.type.cpus() > 0 ? machine.type.gpus() : Double.POSITIVE_INFINITY;
            }
        }
    }

    boolean allows(Settings.Team team, JobSpec spec) {
        return allows(team, spec, 0, 0);
    }

    private boolean allows(Settings.Team team, JobSpec spec, double hiddenCpus, double hiddenGpus) {
        String name = team.name();
        double kept = spec.service() ? 0 : Math.max(0, owedCpus.getDouble(name));
        double keptGpus = spec.service() ? 0 : Math.max(0, owedGpus.getDouble(name));
        return fits(team.cpusMax(), cpus.getDouble(name) + Math.max(0, hiddenCpus) + kept + spec.cpus())
                && fits(team.gpusMax(), gpus.getDouble(name) + Math.max(0, hiddenGpus) + keptGpus + spec.gpus());
    }

    /**
     * {@code olderKept}: earlier leaders kept the same limits, so that all that they started took no more, what was
     * found of it included.
     */
    boolean allowsUnheard(Settings.Team team, JobSpec spec, boolean olderKept) {
        String name = team.name();
        double hiddenCpus = Math.min(
                unheardCpus, olderKept ? team.cpusMax() - foundCpus.getDouble(name) : Double.POSITIVE_INFINITY);
        double hiddenGpus = Math.min(
                unheardGpus, olderKept ? team.gpusMax() - foundGpus.getDouble(name) : Double.POSITIVE_INFINITY);
        return allows(team, spec, hiddenCpus, hiddenGpus);
    }

    /** No team takes more than its limit. */
    boolean within(Iterable<Settings.Team> teams) {
        for (Settings.Team t : teams) {
            if (!fits(t.cpusMax(), cpus.getDouble(t.name())) || !fits(t.gpusMax(), gpus.getDouble(t.name()))) {
                return false;
            }
        }
        return true;
    }

    private static boolean fits(double limit, double use) {
        return limit <= 0 || use <= limit + SLACK;
    }
}
