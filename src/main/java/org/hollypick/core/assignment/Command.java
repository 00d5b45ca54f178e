package org.hollypick.core.assignment;

/**
 * A command to an agent.
 *
 * @param task the task's id
 * @param graceS for {@link Verb#KILL}: seconds to save a checkpoint
 */
public record Command(Verb verb, String task, long attempt, double graceS) {
    /** The action on the task. */
    public enum Verb {
        /** Starts the task, unless this attempt was started before. */
        LAUNCH,
        /** Stops the task. */
        KILL,
        /** Removes the exited attempt from the agent's task list. */
        CLEAR
    }
}
