package org.hollypick.config.constants;

/** Constants of the relay of heartbeats to the leader, and of their distribution among the controllers. */
public final class RelayConstants {
    /**
     * Milliseconds for which heartbeats are collected before they are relayed. A heartbeat that is late by less than a
     * tenth of its interval has no effect.
     */
    public static final long RELAY_BATCH_DELAY_MS = 40;

    /** Milliseconds for which a heartbeat may be queued until it is relayed. The machine waits 4 s for the response. */
    public static final long RELAY_QUEUE_TIMEOUT_MS = 2_500;

    /**
     * Milliseconds until the queued heartbeats are considered again, and until a failed batch is sent again, doubled
     * with each further failure.
     */
    public static final long RELAY_RETRY_MS = 100;

    /** Maximum number of times {@link #RELAY_RETRY_MS} is doubled. */
    public static final int MAX_RELAY_BACKOFF_DOUBLINGS = 3;

    /** Timeout in milliseconds of a request with a batch of heartbeats. */
    public static final long RELAY_TIMEOUT_MS = 1_200;

    /**
     * Maximum milliseconds during which a controller may relay a leader's responses: as long as a batch may take. A
     * leader that resigns waits until then.
     */
    public static final long RELAYED_RESPONSE_VALIDITY_MS = 1_200;

    /** Maximum number of heartbeats in one batch. */
    public static final int MAX_RELAY_BATCH_HEARTBEATS = 200;

    /** Maximum bytes of the heartbeats in one batch. A request holds 64 KiB, and base64 adds a third. */
    public static final int MAX_RELAY_BATCH_BYTES = 40_000;

    /** Maximum number of batches in flight. The leader answers all heartbeats of a batch in one response. */
    public static final int MAX_RELAY_BATCHES_IN_FLIGHT = 3;

    /** Maximum number of queued heartbeats: one of each of some thousand machines. */
    public static final int MAX_RELAY_QUEUE_HEARTBEATS = 6_000;

    /** Maximum bytes of the queued heartbeats. */
    public static final int MAX_RELAY_QUEUE_BYTES = 4 * 1024 * 1024;

    /** Milliseconds since its last batch during which a controller counts as one that relays heartbeats. */
    public static final long ACTIVE_RELAY_TIMEOUT_MS = 3_000;

    /** Number of machines that should send their heartbeats to the leader itself, relative to each other controller. */
    public static final double LEADER_HEARTBEAT_WEIGHT = 0.5;

    /**
     * Multiple of its share of the machines above which a controller has too many. A smaller excess isn't worth moving
     * machines.
     */
    public static final double OVERLOADED_CONTROLLER_RATIO = 1.25;

    /** Number of machines added to that multiple before a controller has too many. */
    public static final int OVERLOADED_CONTROLLER_EXTRA_MACHINES = 8;

    /** Maximum share of the machines that are redirected to another controller per second. */
    public static final double MAX_REBALANCED_SHARE_PER_SECOND = 0.02;

    private RelayConstants() {}
}
