package org.hollypick.api;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.hollypick.config.Settings;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;

/** Refuses jobs that could never run, whatever happens in the cluster. Confined to the event loop. */
public final class Admission {
    private final Settings settings;
    private final Supplier<Map<String, MachineType>> machineTypes;

    /** {@code machineTypes}: the machine types that the cloud offers; null until they are known. */
    public Admission(Settings settings, Supplier<Map<String, MachineType>> machineTypes) {
        this.settings = settings;
        this.machineTypes = machineTypes;
    }

    /** Whether the machine types are known; before that no job can be judged. */
    boolean isReady() {
        return machineTypes.get() != null;
    }

    /** Why the job could never run, for its user; empty if it could. To be called only while {@link #isReady}. */
    Optional<String> rejectionReason(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null && !spec.team().isEmpty()) {
            return Optional.of("unknown team");
        }
        if (machineTypes.get().values().stream().noneMatch(type -> type.fits(spec))) {
            return Optional.of("a task fits no allowed machine type");
        }
        if (team != null && exceedsLimit(spec, team)) {
            return Optional.of("more than the team's limit");
        }
        return Optional.empty();
    }

    private static boolean exceedsLimit(JobSpec spec, Settings.Team team) {
        // A service runs all of its tasks at once; a job array can run them one after the other.
        int simultaneousTasks = spec.service() ? spec.tasks() : 1;
        return (team.maxCpus() > 0 && simultaneousTasks * spec.cpus() > team.maxCpus())
                || (team.maxGpus() > 0 && simultaneousTasks * spec.gpus() > team.maxGpus());
    }
}
