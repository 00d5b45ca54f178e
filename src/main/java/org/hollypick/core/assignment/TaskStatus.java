package org.hollypick.core.assignment;

/**
 * A task's status as an agent reports it.
 *
 * @param task the task's id
 * @param exitReason how the task ended, in the agent protocol's terms; empty unless it exited
 */
public record TaskStatus(String task, long attempt, Assignment.State state, String exitReason) {}
