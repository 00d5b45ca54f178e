package org.hollypick.config.constants;

/**
 * Heartbeats relayed to the leader, and their balance over the controllers. Each number has its unit and the reason for
 * its value.
 */
public final class RelayConstants {
    /**
     * Milliseconds for which heartbeats are gathered before they are relayed: a heartbeat may be late by a tenth of its
     * interval unnoticed.
     */
    public static final long RELAY_BATCH_DELAY_MS = 40;

    /** Milliseconds for which a heartbeat may wait for a leader; the machine waits 4 s for its response. */
    public static final long RELAY_QUEUE_TIMEOUT_MS = 2_500;

    /**
     * Milliseconds until queued heartbeats are considered again, and until a failed batch is sent again, doubled with
     * each failure.
     */
    public static final long RELAY_RETRY_MS = 100;

    /** Doublings of that time at most. */
    public static final int MAX_RELAY_BACKOFF_DOUBLINGS = 3;

    /** Milliseconds for a batch. */
    public static final long RELAY_TIMEOUT_MS = 1_200;

    /**
     * Milliseconds for which a leader's responses may be relayed: as long as a batch may take. A leader that resigns
     * waits that long.
     */
    public static final long RELAYED_RESPONSE_VALIDITY_MS = 1_200;

    /** Heartbeats in one batch at most. */
    public static final int MAX_RELAY_BATCH_HEARTBEATS = 200;

    /** Bytes of the heartbeats in one batch at most: a request holds 64 KiB, and base64 adds a third. */
    public static final int MAX_RELAY_BATCH_BYTES = 40_000;

    /** Batches in flight at most: the leader answers the heartbeats of one together. */
    public static final int MAX_RELAY_BATCHES_IN_FLIGHT = 3;

    /** Heartbeats queued at most: one of each of some thousand machines. */
    public static final int MAX_RELAY_QUEUE_HEARTBEATS = 6_000;

    /** Bytes of the queued heartbeats at most. */
    public static final int MAX_RELAY_QUEUE_BYTES = 4 * 1024 * 1024;

    /** Milliseconds since its last batch for which a controller counts as one that relays heartbeats. */
    public static final long ACTIVE_RELAY_TIMEOUT_MS = 3_000;

    /** Share of the machines that send their heartbeats to the leader itself, as a multiple of the others' shares. */
    public static final double LEADER_HEARTBEAT_WEIGHT = 0.5;

    /** Multiple of its share from which on a controller has too many machines: less isn't worth a move. */
    public static final double OVERLOADED_CONTROLLER_RATIO = 1.25;

    /** Machines beyond its share from which on a controller has too many. */
    public static final int OVERLOADED_CONTROLLER_EXTRA_MACHINES = 8;

    /** Share of the machines that are sent to another controller in a second at most. */
    public static final double MAX_REBALANCED_SHARE_PER_SECOND = 0.02;

    private RelayConstants() {}
}
