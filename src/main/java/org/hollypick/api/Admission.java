package org.hollypick.api;

import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.hollypick.config.Settings;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;

/**
 * Rejects jobs that can never run in this cluster: their team is unknown, a task fits no machine type that the job
 * allows, or the tasks exceed the team's limit. Confined to the event loop.
 */
public final class Admission {
    private final Settings settings;
    private final Supplier<Map<String, MachineType>> machineTypes;

    /**
     * Creates the check of submissions.
     *
     * @param machineTypes the machine types that the cloud offers, by name; null until they are known
     */
    public Admission(Settings settings, Supplier<Map<String, MachineType>> machineTypes) {
        this.settings = settings;
        this.machineTypes = machineTypes;
    }

    /** Whether the machine types are known; {@link #rejectionReason} needs them. */
    boolean isReady() {
        return machineTypes.get() != null;
    }

    /** The reason, as reported to the user, why the job can never run; empty if it can. Requires {@link #isReady}. */
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
        return (team.cpusMax() > 0 && simultaneousTasks * spec.cpus() > team.cpusMax())
                || (team.gpusMax() > 0 && simultaneousTasks * spec.gpus() > team.gpusMax());
    }
}
