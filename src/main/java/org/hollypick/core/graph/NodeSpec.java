package org.hollypick.core.graph;

import java.util.List;
import org.hollypick.core.JobSpec;

/** A node as a client describes it: what its task takes, and the nodes that have to be done before. */
public record NodeSpec(String id, JobSpec task, List<String> awaits) {}
