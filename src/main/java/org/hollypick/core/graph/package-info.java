/**
 * Task graphs: nodes with dependencies that may be added while the graph runs, and delegate their results to
 * continuations. {@link org.hollypick.core.graph.Graph} validates and adds nodes, releases those whose dependencies are
 * done, and cancels those that depend on a failed or cancelled one. The package performs no I/O.
 */
package org.hollypick.core.graph;
