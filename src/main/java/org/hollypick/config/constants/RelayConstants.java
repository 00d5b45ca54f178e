package org.hollypick.config.constants;

/**
 * Heartbeats relayed to the leader, and their balance over the controllers. Each number has its unit and the reason for
 * its value.
 */
public final class RelayConstants {
    /**
     * Milliseconds for which reports are gathered before they are handed on: a report may come late by a tenth of its
     * interval unnoticed.
     */
    public static final long RELAY_BATCH_MS = 40;

    /** Milliseconds for which a report may wait for a leader; the machine waits 4 s for its answer. */
    public static final long RELAY_QUEUE_TIMEOUT_MS = 2_500;

    /**
     * Milliseconds until waiting reports are looked at again, and until a failed bundle is sent again, doubled with
     * each failure up to so many times.
     */
    public static final long RELAY_RETRY_MS = 100;

    public static final int RELAY_BACKOFF_DOUBLINGS = 3;

    /** Milliseconds for a bundle. */
    public static final long RELAY_TIMEOUT_MS = 1_200;

    /**
     * Milliseconds for which a leader's answers may be passed on: as long as a bundle may take. A leader that resigns
     * waits that long.
     */
    public static final long RELAY_VALIDITY_MS = 1_200;

    /**
     * Reports in one bundle at most, and their bytes: a request holds 64 KiB, and base64 makes a third more of them.
     */
    public static final int RELAY_BATCH_HEARTBEATS = 200;

    public static final int RELAY_BATCH_BYTES = 40_000;

    /** Bundles under way at most: the leader answers the reports of one together. */
    public static final int RELAY_BATCHES_IN_FLIGHT = 3;

    /** Reports that wait at most, and their bytes: one of each of some thousand machines. */
    public static final int RELAY_QUEUE_HEARTBEATS = 6_000;

    public static final int RELAY_QUEUE_BYTES = 4 * 1024 * 1024;

    /** Milliseconds since its last bundle for which a controller counts as one that hands reports on. */
    public static final long RELAY_ALIVE_MS = 3_000;

    /** Part of the machines that the leader hears itself, as a multiple of the others'. */
    public static final double LEADER_HEARTBEAT_SHARE = 0.5;

    /** Multiple of its part, and machines besides, from which on a controller has too many: less isn't worth a move. */
    public static final double UNBALANCED_RATIO = 1.25;

    public static final int UNBALANCED_MACHINES = 8;

    /** Share of the machines that are sent elsewhere in a second at most. */
    public static final double REBALANCED_SHARE = 0.02;

    private RelayConstants() {}
}
