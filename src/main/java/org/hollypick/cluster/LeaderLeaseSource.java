package org.hollypick.cluster;

/** What a leader's right to act rests on. */
public enum LeaderLeaseSource {
    /** Its session with the key-value store. */
    SESSION,
    /** A leader lease that all peers granted while the key-value store is unreachable. */
    PEERS,
    /** Nothing: it may not act. */
    NONE
}
