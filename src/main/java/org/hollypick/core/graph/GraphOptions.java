package org.hollypick.core.graph;

import org.hollypick.core.JobSpec;

/**
 * What holds for a graph as a whole.
 *
 * @param jobSpec a description with the graph's id, class, team and priority
 * @param retries how often a node's failed task is started again
 * @param cancelsOnNodeFailure whether a failed node cancels the whole graph, instead of only what depends on it
 */
public record GraphOptions(JobSpec jobSpec, int retries, boolean cancelsOnNodeFailure) {}
