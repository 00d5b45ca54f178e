package org.hollypick.core;

import java.util.BitSet;

/**
 * The tasks of a job that differ from each other and may become more while the job is live, by index: what the
 * scheduler needs to know of them. Confined to the event loop.
 */
public interface TaskSet {
    /** The number of tasks so far; it never falls. */
    int count();

    /** What the task requires and where it may run; tasks of equal description share the object. */
    JobSpec spec(int index);

    /** Whether there is more than one description. */
    boolean isHeterogeneous();

    /** The number of tasks that wait for others of the set. */
    int unreleasedTasks();

    /** Whether the task may still start. */
    boolean mayStart(int index);

    /**
     * Whether no task will start or run any more.
     *
     * @param completed the tasks that are completed, durably or not
     */
    boolean isFinished(BitSet completed);

    /** The completion of these tasks, which include those of earlier calls, is durable. */
    void completionsCommitted(BitSet completed);

    /** Whether all tasks of the finished set were completed. */
    boolean isSuccessful();

    /** An attempt of the task failed. */
    void taskFailed(int index);
}
