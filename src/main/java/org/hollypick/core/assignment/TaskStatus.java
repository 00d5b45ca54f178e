package org.hollypick.core.assignment;

/** A task as a worker reports it. */
public record TaskStatus(String task, long attempt, Assignment.State state, String why) {}
