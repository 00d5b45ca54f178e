package org.hollypick.core.tyrex;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalDouble;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.Job;

/**
 * The dynamic-timer policy of the Tyrex paper: when a task completes, the jobs whose attained service exceeds the
 * balanced {@linkplain Cutoff cutoff} are demoted from the first queue partition to the second, so that large jobs
 * don't delay small ones. Stateless.
 */
public final class Tyrex {
    private Tyrex() {}

    /**
     * Selects the jobs to demote from the first partition to the second now, in the order of {@code jobs}. Jobs that
     * fail everywhere aren't counted, since their sizes stay zero until their users act. This is an exception to the
     * design (docs/design.md, "jobs that fail everywhere").
     */
    public static List<Job> selectJobsToDemote(Collection<Job> jobs) {
        List<Job> firstPartition = new ArrayList<>();
        int jobsWithService = 0;
        for (Job job : jobs) {
            if (job.isLive() && job.ready() && !job.inSecondPartition() && !job.failsEverywhere()) {
                firstPartition.add(job);
                if (job.attainedServiceS() > 0) {
                    jobsWithService++;
                }
            }
        }
        if (jobsWithService < 2) {
            return List.of();
        }
        double[] sizes =
                firstPartition.stream().mapToDouble(Job::attainedServiceS).toArray();
        if (!(Cutoff.squaredVariation(sizes) > SchedulingConstants.UNBALANCED_SQUARED_CV)) {
            return List.of();
        }
        OptionalDouble cutoff = Cutoff.findBalanced(sizes);
        if (cutoff.isEmpty()) {
            return List.of();
        }
        firstPartition.removeIf(job -> job.attainedServiceS() <= cutoff.getAsDouble());
        return firstPartition;
    }
}
