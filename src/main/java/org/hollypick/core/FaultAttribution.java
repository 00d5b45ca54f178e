package org.hollypick.core;

import org.hollypick.config.constants.FaultConstants;
import org.hollypick.core.assignment.Machine;

/** Whose fault a task's failure is, the machine's or the job's, and how long either is left alone. */
final class FaultAttribution {
    private final Scheduler scheduler;

    FaultAttribution(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** A task ended without being done. */
    void ended(Machine machine, Job job, int index, String why, long now) {
        switch (why) {
            case "error" -> {
                job.recordFailure();
                charge(machine, job, now);
                back(job, index, now);
            }
            case "unknown" -> back(job, index, now);
            case "full", "busy" -> machine.noRoomUntil = now + 1_000;
            default -> {}
        }
    }

    /** A task was done there: what was started since the last failure shows that the machine is well. */
    static void cleared(Machine machine, Job job, long startedAt) {
        if (startedAt > machine.failedAt()) {
            machine.failedJobs.clear();
        }
        job.recordSuccess();
    }

    /** Whether the machine's quarantine ends now. */
    static boolean pardon(Machine machine, long now) {
        boolean ends = machine.quarantineOver(now);
        if (ends) {
            machine.endQuarantine();
            machine.failedJobs.clear();
        }
        return ends;
    }

    /** Failures that speak against the machine: of jobs that have tasks done, or failed nowhere else. */
    private int own(Machine machine) {
        int own = 0;
        for (String id : machine.failedJobs) {
            Job other = scheduler.job(id);
            own += other != null && (!other.completedTasks.isEmpty() || other.failedMachines.size() == 1) ? 1 : 0;
        }
        return own;
    }

    private static void back(Job job, int index, long now) {
        long wait = Math.min(
                FaultConstants.TASK_BACKOFF_MAX_MS, FaultConstants.TASK_BACKOFF_MS << Math.min(job.failures(), 5));
        job.retryNotBefore.put(index, now + (job.failures() <= 1 ? 0 : wait));
    }

    /**
     * Errors of several jobs that succeed elsewhere, or failed nowhere else, are the machine's: it gets nothing new for
     * a while. What runs there is left alone; a machine that only fails what it starts does no harm to it. Once a job
     * that never succeeded fails on a second machine, the first one was blamed for what is the job's: without it, it
     * may be as good as any.
     */
    private void charge(Machine machine, Job job, long now) {
        machine.recordFailure(job.spec.id(), now);
        if (job.failedMachines.add(machine.id) && job.failedMachines.size() == 2) {
            job.failedMachines.forEach(id -> acquit(scheduler.machine(id)));
        }
        if (own(machine) >= FaultConstants.MACHINE_ERRORS) {
            machine.quarantine(now + FaultConstants.QUARANTINE_MS);
        }
    }

    private void acquit(Machine machine) {
        if (machine != null && machine.faulty() && own(machine) < FaultConstants.MACHINE_ERRORS) {
            machine.endQuarantine();
        }
    }
}
