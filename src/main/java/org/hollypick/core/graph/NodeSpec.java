package org.hollypick.core.graph;

import java.util.List;
import org.hollypick.core.JobSpec;

/**
 * A node as a client describes it.
 *
 * @param id unique in its graph
 * @param task what the node's task requires and where it may run
 * @param dependencies ids of the nodes that must be done before this one starts
 */
public record NodeSpec(String id, JobSpec task, List<String> dependencies) {}
