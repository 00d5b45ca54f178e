/**
 * Failure-detection state on the leader: whether heartbeats are new and responses reach the agents, whether this
 * controller itself is overloaded, and how many direct calls may be in flight.
 */
package org.hollypick.core.health;
