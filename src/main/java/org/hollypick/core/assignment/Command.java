package org.hollypick.core.assignment;

/**
 * A command to an agent.
 *
 * @param task the task's id
 * @param graceS for {@link Verb#KILL}: seconds to save a checkpoint
 */
public record Command(Verb verb, String task, long attempt, double graceS) {
    /** What to do with a task. */
    public enum Verb {
        /** Starts it, unless the attempt was started before. */
        LAUNCH,
        /** Stops it. */
        KILL,
        /** Forgets that it exited. */
        CLEAR
    }
}
