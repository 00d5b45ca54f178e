package org.hollypick.core.ledger;

/** A task as a worker reports it. */
public record TaskReport(String task, long attempt, Placement.State state, String why) {}
