package org.hollypick.core.assignment;

import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;

/** The resources of one machine that its assignments hold. Confined to the event loop. */
final class ResourceUsage {
    private double cpus;
    private double gpus;
    private double memoryGb;

    /** Adds the resources of one task. */
    void add(JobSpec task) {
        adjust(task, 1);
    }

    /** Removes the resources of one task. */
    void remove(JobSpec task) {
        adjust(task, -1);
    }

    private void adjust(JobSpec task, int sign) {
        cpus += sign * task.cpus();
        gpus += sign * task.gpus();
        memoryGb += sign * task.memoryGb();
    }

    /** Whether a machine of this type has enough free resources for a further task. */
    boolean leavesRoomFor(JobSpec task, MachineType type) {
        return cpus + task.cpus() <= type.cpus() + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE
                && gpus + task.gpus() <= type.gpus() + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE
                && memoryGb + task.memoryGb() <= type.memoryGb() + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE;
    }

    double cpus() {
        return cpus;
    }

    double gpus() {
        return gpus;
    }

    double memoryGb() {
        return memoryGb;
    }
}
