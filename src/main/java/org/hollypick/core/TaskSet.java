package org.hollypick.core;

import java.util.BitSet;

/** The tasks of a job that aren't all alike and may become more: what the core needs to know of them, by index. */
public interface TaskSet {
    /** How many there are by now; none goes away. */
    int count();

    /** What the task takes and where it may go; equal descriptions are the same object. */
    JobSpec spec(int index);

    /** Whether there is more than one description. */
    boolean heterogeneous();

    /** Tasks that wait for others of the set. */
    int unreleasedTasks();

    /** Whether the task may still start. */
    boolean mayStart(int index);

    /** Nothing will become of any task any more, given those that are done. */
    boolean finished(BitSet done);

    /** It is durable that those tasks are done. */
    void completionsCommitted(BitSet done);

    /** Whether all tasks were done. */
    boolean successful();

    /** The task failed once more. */
    void taskFailed(int index);
}
