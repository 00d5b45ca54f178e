package org.hollypick.core.assignment;

/** A command to a worker. */
public record Command(Verb verb, String task, long attempt, double graceS) {
    public enum Verb {
        LAUNCH,
        KILL,
        CLEAR
    }
}
