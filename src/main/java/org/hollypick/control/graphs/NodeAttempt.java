package org.hollypick.control.graphs;

/** One attempt to run a node's task; the task sends these values with each of its requests. */
public record NodeAttempt(String graphId, String nodeId, long attempt) {}
