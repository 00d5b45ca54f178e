package org.hollypick.config.constants;

/**
 * Failure detection by heartbeats and direct calls to machines. Each number has its unit and the reason for its value.
 */
public final class FailureDetectionConstants {
    /**
     * Milliseconds beyond the longest time between two reports after which a machine is asked directly: lost packets, a
     * busy node.
     */
    public static final long PROBE_SLACK_MS = 300;

    /**
     * Share of the report interval without any word after which a machine with services, or one that left a call
     * unanswered, is asked: what runs there should start elsewhere within seconds.
     */
    public static final double PROBE_SHARE = 1 / 3.0;

    /** Milliseconds above which a machine's answer counts as slow: usual ones take tens. */
    public static final long SLOW_CALL_MS = 400;

    /** Milliseconds over which slow answers are counted. */
    public static final long SLOW_WINDOW_MS = 1_000;

    /**
     * Slow answers from which on they may be this node's own doing, and the share of all answers that they must be:
     * slow machines are few.
     */
    public static final int SLOW_CALLS = 3;

    public static final double SLOW_SHARE = 0.25;

    /**
     * Milliseconds within which a machine that saw a new token in an answer has reported again: it waits half a second
     * at most, and the way back.
     */
    public static final long NEXT_HEARTBEAT_MS = 1_000;

    /** Direct calls under way that are always allowed. */
    public static final int MIN_DIRECT_CALLS = 8;

    /** Milliseconds between two cuts of the number of calls under way: all that were slow together count once. */
    public static final long ADAPTIVE_WINDOW_MS = 500;

    /**
     * Share of the machines that may be returned as silent in a second, and the least number: a hundred of a thousand
     * may die at once.
     */
    public static final double SCALE_IN_SHARE = 0.03;

    public static final double SCALE_IN_MIN_MACHINES = 4;

    /**
     * The same share in a term's first time: what is silent then may have a full queue, or a wrong address of the
     * leader.
     */
    public static final double SCALE_IN_SHARE_EARLY = 0.01;

    public static final long EARLY_TERM_MS = 15_000;

    /** Direct calls under way at most: bounds sockets and what the answers cost at once. */
    public static final int MAX_DIRECT_CALLS = 96;

    /**
     * Those of them at most that go to machines which left one unanswered: hundreds may hang or be cut off, and the
     * others need orders.
     */
    public static final int MAX_DIRECT_CALLS_UNRESPONSIVE = 64;

    /** Orders in one answer or call at most: 64 KiB. */
    public static final int MAX_COMMANDS_PER_MESSAGE = 300;

    /**
     * Milliseconds for which nearly all machines are silent until the leader gives up its lead: others may reach them,
     * and worker leases are several times as long.
     */
    public static final long ISOLATED_AFTER_MS = 3_000;

    /** Milliseconds without any word from a machine after which it is returned; two questions fit in before. */
    public static final long UNRESPONSIVE_AFTER_MS = 3_000;

    /** Direct calls left unanswered in a row before silence counts. */
    public static final int UNACKNOWLEDGED_CALLS = 2;

    /** Milliseconds between direct calls to a machine that left one unanswered. */
    public static final long DIRECT_RETRY_MS = 250;

    /**
     * Milliseconds since its last word for which a machine counts as talking: more than the time until one with
     * services is asked.
     */
    public static final long RESPONSIVE_MS = 2_000;

    /**
     * Share of machines that may leave a question open, of those and the talking ones, before silence is taken for this
     * node's own trouble: dozens that hang at once are a tenth, while a node that is cut off hears of none.
     */
    public static final double UNRESPONSIVE_SHARE = 0.34;

    /**
     * The same share from which on the node takes itself to be cut off, and another should lead: with a zone lost
     * others fare no better.
     */
    public static final double ISOLATED_SHARE = 0.9;

    /**
     * Milliseconds after most machines, or most of a zone, were silent together before any of them counts as lost: they
     * come back one by one.
     */
    public static final long RECOVERY_GRACE_MS = 6_000;

    /** Machines of a zone that must leave questions open before it counts as partitioned. */
    public static final int PARTITIONED_ZONE_MACHINES = 3;

    /** Milliseconds after takeover before silence counts: every machine is asked at once, twice and more. */
    public static final long FAILOVER_GRACE_MS = 3_000;

    /** Milliseconds a machine may be listed as running without a first report. */
    public static final long FIRST_HEARTBEAT_MS = 20_000;

    /** Multiple of the usual boot time after which a machine that never reported is returned. */
    public static final double BOOT_TIMEOUT_MULTIPLE = 4.0;

    private FailureDetectionConstants() {}
}
