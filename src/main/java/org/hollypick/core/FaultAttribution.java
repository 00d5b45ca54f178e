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

    /**
     * Handles a task that exited without having completed.
     *
     * @param reason {@code error} if the task itself failed. If the agent refused to launch it: {@code unknown} if the
     *     agent doesn't know the job, {@code full} if the machine lacks free resources, {@code busy} if an older
     *     attempt of the task is still on the machine. Other reasons have no effect
     */
    void taskFailed(Machine machine, Job job, int index, String reason, long now) {
        switch (reason) {
            case "error" -> {
                job.recordFailure();
                recordError(machine, job, now);
                backOff(job, index, now);
            }
            case "unknown" -> backOffAfterRefusal(job, index, FaultConstants.MAX_TASK_BACKOFF_MS, now);
            case "full", "busy" -> {
                machine.recordNoRoom(now + FaultConstants.FULL_MACHINE_BACKOFF_MS);
                backOffAfterRefusal(job, index, FaultConstants.MAX_CAPACITY_REFUSAL_BACKOFF_MS, now);
            }
            default -> {}
        }
    }

    /**
     * Handles a completed task. If it started after the machine's last failure, that machine's failures are cleared.
     */
    static void taskCompleted(Machine machine, Job job, long assignedAt) {
        if (assignedAt > machine.faults.lastFailureAt()) {
            machine.faults.failedJobs.clear();
        }
        job.recordSuccess();
    }

    /** Ends the machine's quarantine if it has expired; returns whether it had. */
    static boolean endQuarantineIfOver(Machine machine, long now) {
        boolean ends = machine.faults.isQuarantineOver(now);
        if (ends) {
            machine.faults.endQuarantine();
            machine.faults.failedJobs.clear();
        }
        return ends;
    }

    /**
     * The number of jobs whose failures are attributed to the machine: jobs that completed tasks, or that failed on no
     * other machine.
     */
    private int failuresAgainst(Machine machine) {
        int failures = 0;
        for (String jobId : machine.faults.failedJobs) {
            Job job = scheduler.job(jobId);
            failures += job != null && (!job.completedTasks.isEmpty() || job.failedMachines.size() == 1) ? 1 : 0;
        }
        return failures;
    }

    /**
     * The job's first failure is retried at once; then the task waits, twice as long with each failure, up to a limit.
     */
    private static void backOff(Job job, int index, long now) {
        long waitMs = Math.min(
                FaultConstants.MAX_TASK_BACKOFF_MS,
                FaultConstants.BASE_TASK_BACKOFF_MS
                        << Math.min(job.consecutiveFailures(), FaultConstants.MAX_TASK_BACKOFF_DOUBLINGS));
        job.retryNotBefore.put(index, now + (job.consecutiveFailures() <= 1 ? 0 : waitMs));
    }

    /**
     * The first refusal is retried at once, since its cause may be brief; after that the task waits, twice as long each
     * time up to {@code maxWaitMs}, until an agent accepts it.
     */
    private static void backOffAfterRefusal(Job job, int index, long maxWaitMs, long now) {
        int refusals = job.recordRefusal(index);
        if (refusals > 1) {
            long waitMs = FaultConstants.BASE_TASK_BACKOFF_MS
                    << Math.min(refusals - 2, FaultConstants.MAX_TASK_BACKOFF_DOUBLINGS);
            job.retryNotBefore.put(index, now + Math.min(maxWaitMs, waitMs));
        }
    }

    /**
     * Quarantines the machine once the failures of several jobs are attributed to it: jobs that completed tasks, or
     * that failed on no other machine. Tasks that run on the machine aren't stopped, since failures of new tasks don't
     * affect them. Once a job that never completed a task fails on a second machine, its failure on the first one is
     * attributed to the job, and the first machine may leave the quarantine.
     */
    private void recordError(Machine machine, Job job, long now) {
        machine.faults.recordFailure(job.spec.id(), now);
        if (job.failedMachines.add(machine.id) && job.failedMachines.size() == 2) {
            job.failedMachines.forEach(id -> endQuarantineIfCleared(scheduler.machine(id)));
        }
        if (failuresAgainst(machine) >= FaultConstants.FAULTY_MACHINE_FAILURES) {
            machine.faults.quarantine(now + FaultConstants.QUARANTINE_MS);
        }
    }

    private void endQuarantineIfCleared(Machine machine) {
        if (machine != null
                && machine.faults.isQuarantined()
                && failuresAgainst(machine) < FaultConstants.FAULTY_MACHINE_FAILURES) {
            machine.faults.endQuarantine();
        }
    }
}
