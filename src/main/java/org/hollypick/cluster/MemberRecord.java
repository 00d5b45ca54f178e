package org.hollypick.cluster;

import it.unimi.dsi.fastutil.longs.LongList;

/**
 * The stored record of one incarnation of a controller, attached to its session with the key-value store.
 *
 * @param zone the zone in which the controller runs
 * @param peerAddress the address of the controller's endpoint for peers
 * @param resignationTimes the wall-clock times of its recent resignations in milliseconds, oldest first
 */
record MemberRecord(String zone, String peerAddress, LongList resignationTimes) {}
