package org.hollypick.core.assignment;

/**
 * A task's status as an agent reports it.
 *
 * @param task the task's id
 * @param exitReason for an exited task, how it ended; otherwise empty
 */
public record TaskStatus(String task, long attempt, Assignment.State state, String exitReason) {}
