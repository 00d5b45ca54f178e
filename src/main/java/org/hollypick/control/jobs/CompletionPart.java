package org.hollypick.control.jobs;

import java.util.BitSet;
import java.util.function.Function;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.core.Job;

/**
 * A range of one job's tasks whose completions are stored together, under one name in a record.
 *
 * @param name the field's name in the record
 * @param firstTask the first task
 * @param endTask the task after the last
 */
record CompletionPart(Job job, String name, int firstTask, int endTask) {
    private static final int BITS_PER_BASE64_CHARACTER = 6;

    /**
     * The job's part that starts at task {@code firstTask}. A part that starts at a multiple of the largest part's size
     * is named by its number. Any other is named by its first task, in a form that earlier versions, which don't know
     * it, don't take for any job's.
     *
     * @param chunkTasks the tasks of a part
     */
    static CompletionPart of(Job job, int firstTask, int chunkTasks) {
        String id = job.spec.id();
        boolean numbered =
                !job.mayGrow() && (chunkTasks == JobConstants.COMPLETION_CHUNK_TASKS || job.spec.tasks() <= chunkTasks);
        String name =
                numbered ? id + "/" + firstTask / JobConstants.COMPLETION_CHUNK_TASKS : id + "@" + firstTask + "/0";
        return new CompletionPart(job, name, firstTask, boundedEnd(job, firstTask + chunkTasks));
    }

    /**
     * The part that a record names.
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
                ? Integer.parseInt(name.substring(slash + 1)) * JobConstants.COMPLETION_CHUNK_TASKS
                : Integer.parseInt(name.substring(at + 1, slash));
        return new CompletionPart(
                job, name, firstTask, boundedEnd(job, firstTask + JobConstants.COMPLETION_CHUNK_TASKS));
    }

    /** A part of a job that may grow has its full length from the start. */
    private static int boundedEnd(Job job, int end) {
        return job.mayGrow() ? end : Math.min(job.spec.tasks(), end);
    }

    /** The most tasks that a part may have, if a record has {@code maxBytes}. */
    static int maxTasks(int maxBytes) {
        return Math.min(
                JobConstants.COMPLETION_CHUNK_TASKS,
                (maxBytes - JobConstants.COMPLETION_PART_OVERHEAD_BYTES) * BITS_PER_BASE64_CHARACTER);
    }

    /** An upper bound for the part's bytes in a record: its bits in base64, its name and what is around it. */
    int maxBytes() {
        return (endTask - firstTask) / BITS_PER_BASE64_CHARACTER + JobConstants.COMPLETION_PART_OVERHEAD_BYTES;
    }

    /** The part's bits of a set of the job's tasks, counted from the part's first task. */
    BitSet slice(BitSet tasks) {
        return tasks.get(firstTask, endTask);
    }

    /** Whether tasks completed that aren't durable as completed. */
    boolean hasNewCompletions() {
        return !slice(job.completedTasks).equals(slice(job.durablyCompleted()));
    }

    boolean isLive() {
        return job.isLive();
    }

    /** Takes in what a record says: these tasks completed, and that is durable. */
    void restore(BitSet completed) {
        completed.stream().forEach(i -> job.completedTasks.set(firstTask + i));
        job.markCompletionsDurable();
        job.pendingTasks.andNot(job.completedTasks);
    }

    /** These tasks, of a {@link #slice}, are durable as completed now. */
    void markDurable(BitSet completed) {
        completed.stream().forEach(i -> job.durablyCompleted().set(firstTask + i));
    }
}
