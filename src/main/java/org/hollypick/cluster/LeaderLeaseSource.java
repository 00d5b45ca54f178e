package org.hollypick.cluster;

/** The source of a leader lease. */
public enum LeaderLeaseSource {
    /** The leader's session with the key-value store. */
    SESSION,
    /** A grant of all peers while the key-value store is unreachable. */
    PEERS,
    /** No valid lease: the controller may not act as leader. */
    NONE
}
