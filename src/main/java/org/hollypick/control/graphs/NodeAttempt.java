package org.hollypick.control.graphs;

/** One attempt to run a node's task; its task names it in its requests. */
public record NodeAttempt(String graphId, String nodeId, long attempt) {}
