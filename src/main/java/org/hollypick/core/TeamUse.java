package org.hollypick.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import org.hollypick.config.Settings;

/** What each team's tasks take, counting every one that may be anywhere. */
final class TeamUse {
    private static final double SLACK = 1e-6; // sums of decimal amounts

    private final Object2DoubleOpenHashMap<String> cpus = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> gpus = new Object2DoubleOpenHashMap<>();

    void add(JobSpec spec, int tasks) {
        cpus.addTo(spec.team(), tasks * spec.cpus());
        gpus.addTo(spec.team(), tasks * spec.gpus());
    }

    boolean allows(Settings.Team team, JobSpec spec) {
        return (team.cpusMax() <= 0 || cpus.getDouble(team.name()) + spec.cpus() <= team.cpusMax() + SLACK)
                && (team.gpusMax() <= 0 || gpus.getDouble(team.name()) + spec.gpus() <= team.gpusMax() + SLACK);
    }
}
