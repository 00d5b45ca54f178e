/**
 * The client library for task graphs, which users' programs compile against.
 * {@link org.hollypick.client.HollypickClient} submits graphs that a {@link org.hollypick.client.GraphSpec} describes,
 * and gives running tasks the calls that add nodes and store results. The package depends on no other package of this
 * project.
 */
package org.hollypick.client;
