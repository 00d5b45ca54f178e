/**
 * Task graphs on the leader: handling of the requests that change them, their durable logs, and their reconciliation
 * with the scheduler. A graph's nodes are scheduled as the tasks of one job; a new leader rebuilds each graph from its
 * log.
 */
package org.hollypick.control.graphs;
