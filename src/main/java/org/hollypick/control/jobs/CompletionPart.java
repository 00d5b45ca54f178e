package org.hollypick.control.jobs;

import java.util.BitSet;
import java.util.function.Function;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.core.Job;

/**
 * A range of one job's tasks whose completions are stored together, as one field of a record.
 *
 * @param name the field's name in the record
 * @param firstTask the index of the first task
 * @param endTask the index after that of the last task
 */
record CompletionPart(Job job, String name, int firstTask, int endTask) {
    private static final int BITS_PER_BASE64_CHARACTER = 6;

    /**
     * Creates the job's part that starts at {@code firstTask}. The part is named by its number if the job can't grow
     * and all its parts start at multiples of the largest part's size. Otherwise the part is named by its first task;
     * earlier versions read such a name as that of a part of a job that doesn't exist, and ignore it.
     *
     * @param chunkTasks the number of tasks in each part but the last
     */
    static CompletionPart of(Job job, int firstTask, int chunkTasks) {
        String id = job.spec.id();
        boolean numbered = !job.mayGrow()
                && (chunkTasks == JobConstants.MAX_COMPLETION_PART_TASKS || job.spec.tasks() <= chunkTasks);
        String name =
                numbered ? id + "/" + firstTask / JobConstants.MAX_COMPLETION_PART_TASKS : id + "@" + firstTask + "/0";
        return new CompletionPart(job, name, firstTask, boundedEnd(job, firstTask + chunkTasks));
    }

    /**
     * Parses the name of a part.
     *
     * @param liveJobs finds a live job by its id
     * @return null if the job isn't live
     */
    static CompletionPart parse(String name, Function<String, Job> liveJobs) {
        int slash = name.lastIndexOf('/');
        int at = name.indexOf('@');
        boolean numbered = at < 0;
        Job job = liveJobs.apply(name.substring(0, numbered ? slash : at));
        if (job == null) {
            return null;
        }
        int firstTask = numbered
                ? Integer.parseInt(name.substring(slash + 1)) * JobConstants.MAX_COMPLETION_PART_TASKS
                : Integer.parseInt(name.substring(at + 1, slash));
        return new CompletionPart(
                job, name, firstTask, boundedEnd(job, firstTask + JobConstants.MAX_COMPLETION_PART_TASKS));
    }

    /**
     * Limits the end of a part to the job's tasks. A part of a job that may grow has its full length from the start.
     */
    private static int boundedEnd(Job job, int end) {
        return job.mayGrow() ? end : Math.min(job.spec.tasks(), end);
    }

    /** The largest number of tasks that a part may have in a record of at most {@code maxBytes}. */
    static int maxTasks(int maxBytes) {
        return Math.min(
                JobConstants.MAX_COMPLETION_PART_TASKS,
                (maxBytes - JobConstants.COMPLETION_PART_OVERHEAD_BYTES) * BITS_PER_BASE64_CHARACTER);
    }

    /** An upper bound for the part's bytes in a record: its bits in base64, its name, and the quotes and separators. */
    int maxBytes() {
        return (endTask - firstTask) / BITS_PER_BASE64_CHARACTER + JobConstants.COMPLETION_PART_OVERHEAD_BYTES;
    }

    /** The part's range of a set of the job's tasks: bit 0 is the part's first task. */
    BitSet slice(BitSet tasks) {
        return tasks.get(firstTask, endTask);
    }

    /** Whether the part has completed tasks whose completion isn't durable. */
    boolean hasNewCompletions() {
        return !slice(job.completedTasks).equals(slice(job.durablyCompleted()));
    }

    boolean isLive() {
        return job.isLive();
    }

    /**
     * Applies completed tasks that were read from a record, as a {@link #slice}, to the job: their completion is
     * durable.
     */
    void restore(BitSet completed) {
        completed.stream().forEach(i -> job.completedTasks.set(firstTask + i));
        job.markCompletionsDurable();
        job.pendingTasks.andNot(job.completedTasks);
    }

    /** Marks the completion of these tasks, a {@link #slice}, as durable. */
    void markDurable(BitSet completed) {
        completed.stream().forEach(i -> job.durablyCompleted().set(firstTask + i));
    }
}
