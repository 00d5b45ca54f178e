package org.hollypick.api;

import java.util.Map;
import org.hollypick.config.Settings;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;

/** What can never run, whatever happens. */
final class Admission {
    private Admission() {}

    /** The reason, or null. A service needs all of its tasks at once, an array or a node one. */
    static String neverRuns(JobSpec spec, Settings settings, Map<String, MachineType> types) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null && !spec.team().isEmpty()) {
            return "unknown team";
        }
        boolean fits = false;
        for (MachineType t : types.values()) {
            fits |= t.fits(spec);
        }
        if (!fits) {
            return "a task fits no allowed machine type";
        }
        int at = spec.service() ? spec.tasks() : 1;
        if (team != null
                && ((team.cpusMax() > 0 && at * spec.cpus() > team.cpusMax())
                        || (team.gpusMax() > 0 && at * spec.gpus() > team.gpusMax()))) {
            return "more than the team's limit";
        }
        return null;
    }
}
