package org.hollypick.cluster;

/**
 * The fields of a machine registry entry that are needed to probe the machine.
 *
 * @param id the name of the machine
 * @param zone the zone in which it runs
 * @param address the address of its agent; empty while unknown
 */
record RegisteredMachine(String id, String zone, String address) {}
