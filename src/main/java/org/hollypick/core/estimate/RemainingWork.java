package org.hollypick.core.estimate;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.assignment.Assignment;

/**
 * The remaining work of a job: tasks that are simulated one by one, and the expected core-seconds of the tasks beyond
 * {@link #MAX_SIMULATED_TASKS} and of those that wait for other tasks of the job.
 */
final class RemainingWork {
    /** Maximum number of pending tasks of one description that are simulated one by one; the others are summed up. */
    private static final int MAX_SIMULATED_TASKS = 1_500;

    private final Estimates estimates;
    private final Map<JobSpec, Estimates.Sampler> samplers = new HashMap<>();
    private final List<Estimates.Sampler> pendingTasks = new ArrayList<>();
    private final List<Assignment> assignments = new ArrayList<>();
    private final JobSpec nextSpec;
    private double aggregatedCoreSeconds;

    RemainingWork(Job job, Estimates estimates) {
        this.estimates = estimates;
        job.forEachPendingSpec(this::addPending);
        this.nextSpec = job.tasks() > 0 ? job.spec(Math.max(0, job.pendingTasks.nextSetBit(0))) : job.spec;
        this.aggregatedCoreSeconds += job.unreleasedTasks()
                * nextSpec.cpus()
                * sampler(nextSpec).interval().p50();
        for (Assignment assignment : job.assignments.values()) {
            if (assignment.mayExist()) {
                assignments.add(assignment);
            }
        }
    }

    private void addPending(JobSpec spec, int count) {
        Estimates.Sampler sampler = sampler(spec);
        for (int i = 0; i < Math.min(count, MAX_SIMULATED_TASKS); i++) {
            pendingTasks.add(sampler);
        }
        aggregatedCoreSeconds += Math.max(0, count - MAX_SIMULATED_TASKS)
                * spec.cpus()
                * sampler.interval().p50();
    }

    /** The sampler of run times of tasks with that description; each call returns the same one. */
    Estimates.Sampler sampler(JobSpec spec) {
        return samplers.computeIfAbsent(spec, estimates::sampler);
    }

    /** One sampler for each pending task. */
    List<Estimates.Sampler> pendingTasks() {
        return pendingTasks;
    }

    /** The attempts that may exist on a machine. */
    List<Assignment> assignments() {
        return assignments;
    }

    /** The description of the next pending task. */
    JobSpec nextSpec() {
        return nextSpec;
    }

    /** The expected core-seconds of the tasks that aren't simulated one by one. */
    double aggregatedCoreSeconds() {
        return aggregatedCoreSeconds;
    }
}
