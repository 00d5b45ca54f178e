package org.hollypick.core.tyrex;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.OptionalDouble;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.Job;

/** The dynamic-timer policy: at a task's completion, jobs above the balanced cutoff move on. */
public final class Tyrex {
    private Tyrex() {}

    /**
     * The jobs that move from the first partition to the second now. Exception to the design (docs/design.md, "jobs
     * that fail everywhere"): their sizes stay zero for as long as their users leave them, and aren't counted.
     */
    public static List<Job> movers(Collection<Job> jobs) {
        List<Job> first = new ArrayList<>();
        int nonzero = 0;
        for (Job job : jobs) {
            if (job.isLive() && job.ready() && !job.inSecondPartition() && !job.failsEverywhere()) {
                first.add(job);
                if (job.attainedServiceS() > 0) {
                    nonzero++;
                }
            }
        }
        if (nonzero < 2) {
            return List.of();
        }
        double[] sizes = first.stream().mapToDouble(j -> j.attainedServiceS()).toArray();
        if (!(Cutoff.cv2(sizes) > SchedulingConstants.UNBALANCED_CV2)) {
            return List.of();
        }
        OptionalDouble cutoff = Cutoff.balanced(sizes);
        if (cutoff.isEmpty()) {
            return List.of();
        }
        double p = cutoff.getAsDouble();
        first.removeIf(j -> j.attainedServiceS() <= p);
        return first;
    }
}
