package org.hollypick.cluster;

import it.unimi.dsi.fastutil.longs.LongList;

/**
 * The stored record of one incarnation of a controller, attached to its session with the key-value store.
 *
 * @param zone where the controller runs
 * @param peerAddress the address at which other controllers reach it
 * @param resignationTimes when it resigned lately, by the time of day in milliseconds, oldest first
 */
record MemberRecord(String zone, String peerAddress, LongList resignationTimes) {}
