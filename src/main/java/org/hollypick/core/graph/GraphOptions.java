package org.hollypick.core.graph;

import org.hollypick.core.JobSpec;

/**
 * The options of a graph as a whole.
 *
 * @param jobSpec a description with the graph's id, class, team and priority
 * @param retries how many times a node's failed task is restarted
 * @param cancelsOnNodeFailure whether a failed node cancels the whole graph instead of only its dependents
 */
public record GraphOptions(JobSpec jobSpec, int retries, boolean cancelsOnNodeFailure) {}
