package org.hollypick.cluster;

/**
 * A machine of the machine registry, as far as it matters for probing it.
 *
 * @param id its name
 * @param zone where it runs
 * @param address where its agent is reached; empty if that is not known yet
 */
record RegisteredMachine(String id, String zone, String address) {}
