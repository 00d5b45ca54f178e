package org.hollypick.control.graphs;

import java.util.function.IntConsumer;
import org.hollypick.core.graph.Graph;

/** Creates the graphs of a leader's term; tests supply faulty graphs. */
@FunctionalInterface
public interface GraphFactory {
    /**
     * Creates an empty graph.
     *
     * @param retries how often a node's failed task is started again
     * @param onRelease called with the index of each node that is released: from then on its task may start
     */
    Graph create(int retries, IntConsumer onRelease);
}
