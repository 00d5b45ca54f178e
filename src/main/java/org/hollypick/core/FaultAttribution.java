package org.hollypick.core;

import org.hollypick.config.constants.FaultConstants;
import org.hollypick.core.assignment.Machine;

/**
 * Attributes failures of tasks to their machine or to their job, quarantines faulty machines and delays retries.
 * Confined to the event loop.
 */
final class FaultAttribution {
    private final Scheduler scheduler;

    FaultAttribution(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** A task exited without having completed. */
    void taskFailed(Machine machine, Job job, int index, String why, long now) {
        switch (why) {
            case "error" -> {
                job.recordFailure();
                recordError(machine, job, now);
                backOff(job, index, now);
            }
            case "unknown" -> backOffAfterRefusal(job, index, FaultConstants.TASK_BACKOFF_MAX_MS, now);
            case "full", "busy" -> {
                machine.recordNoRoom(now + FaultConstants.NO_ROOM_MS);
                backOffAfterRefusal(job, index, FaultConstants.NO_ROOM_BACKOFF_MAX_MS, now);
            }
            default -> {}
        }
    }

    /** A task completed: if it started after the machine's last failure, the machine is sound. */
    static void taskCompleted(Machine machine, Job job, long assignedAt) {
        if (assignedAt > machine.faults.lastFailureAt()) {
            machine.faults.failedJobs.clear();
        }
        job.recordSuccess();
    }

    /** Ends the machine's quarantine if it is over; returns whether it was. */
    static boolean endQuarantineIfOver(Machine machine, long now) {
        boolean ends = machine.faults.isQuarantineOver(now);
        if (ends) {
            machine.faults.endQuarantine();
            machine.faults.failedJobs.clear();
        }
        return ends;
    }

    /** Failures attributed to the machine: of jobs that completed tasks, or failed nowhere else. */
    private int failuresAgainst(Machine machine) {
        int failures = 0;
        for (String id : machine.faults.failedJobs) {
            Job other = scheduler.job(id);
            failures += other != null && (!other.completedTasks.isEmpty() || other.failedMachines.size() == 1) ? 1 : 0;
        }
        return failures;
    }

    private static void backOff(Job job, int index, long now) {
        long wait = Math.min(
                FaultConstants.TASK_BACKOFF_MAX_MS,
                FaultConstants.TASK_BACKOFF_MS
                        << Math.min(job.consecutiveFailures(), FaultConstants.MAX_BACKOFF_DOUBLINGS));
        job.retryNotBefore.put(index, now + (job.consecutiveFailures() <= 1 ? 0 : wait));
    }

    /**
     * The first refusal may be a matter of moments; after that the task waits, longer each time, until it is accepted.
     */
    private static void backOffAfterRefusal(Job job, int index, long maxWaitMillis, long now) {
        int refusals = job.recordRefusal(index);
        if (refusals > 1) {
            long wait = FaultConstants.TASK_BACKOFF_MS << Math.min(refusals - 2, FaultConstants.MAX_BACKOFF_DOUBLINGS);
            job.retryNotBefore.put(index, now + Math.min(maxWaitMillis, wait));
        }
    }

    /**
     * Errors of several jobs that succeed elsewhere, or failed nowhere else, are attributed to the machine, which is
     * quarantined. What runs there isn't stopped: a machine that only fails what it starts does no harm to it. Once a
     * job that never succeeded fails on a second machine, its failure on the first one is the job's own, and the first
     * machine may leave the quarantine.
     */
    private void recordError(Machine machine, Job job, long now) {
        machine.faults.recordFailure(job.spec.id(), now);
        if (job.failedMachines.add(machine.id) && job.failedMachines.size() == 2) {
            job.failedMachines.forEach(id -> endQuarantineIfCleared(scheduler.machine(id)));
        }
        if (failuresAgainst(machine) >= FaultConstants.MACHINE_ERRORS) {
            machine.faults.quarantine(now + FaultConstants.QUARANTINE_MS);
        }
    }

    private void endQuarantineIfCleared(Machine machine) {
        if (machine != null
                && machine.faults.isQuarantined()
                && failuresAgainst(machine) < FaultConstants.MACHINE_ERRORS) {
            machine.faults.endQuarantine();
        }
    }
}
