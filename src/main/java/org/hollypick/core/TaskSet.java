package org.hollypick.core;

import java.util.BitSet;

/**
 * The tasks of a job, as the scheduler needs them, if these tasks differ from each other or if tasks are added while
 * the job is live. Tasks are identified by their index. Confined to the event loop.
 */
public interface TaskSet {
    /** The number of tasks so far; it never decreases. */
    int count();

    /** The requirements of the task, and where it may run; tasks with equal descriptions share the object. */
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

    /** Records that the completion of these tasks, which include those of earlier calls, is durable. */
    void completionsCommitted(BitSet completed);

    /** Whether all tasks of the finished set were completed. */
    boolean isSuccessful();

    /** Records that an attempt of the task failed with an error. */
    void taskFailed(int index);
}
