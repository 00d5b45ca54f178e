/**
 * Management of the known machines and their agents by a leader: heartbeats, commands by direct calls, reconciliation
 * after a failover, failure detection, and the durable list of machines.
 */
package org.hollypick.control.machines;
