package org.hollypick.core.ledger;

/** A command to a worker. */
public record Order(Verb verb, String task, long attempt, double graceS) {
    public enum Verb {
        START,
        STOP,
        FORGET
    }
}
