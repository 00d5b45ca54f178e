package org.hollypick.control.graphs;

import java.util.function.IntConsumer;
import org.hollypick.core.graph.Graph;

/** Creates the graphs of a leader's term; tests supply faulty ones. */
@FunctionalInterface
public interface GraphFactory {
    /**
     * An empty graph.
     *
     * @param retries how often a node's failed task is started again
     * @param onRelease called with each node whose task may start from now on
     */
    Graph create(int retries, IntConsumer onRelease);
}
