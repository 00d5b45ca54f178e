package org.hollypick.config.constants;

/**
 * Failure detection by heartbeats and direct calls to machines. Each number has its unit and the reason for its value.
 */
public final class FailureDetectionConstants {
    /**
     * Milliseconds beyond the longest time between two heartbeats after which a machine is probed directly: packets are
     * lost, controllers are busy.
     */
    public static final long OVERDUE_HEARTBEAT_GRACE_MS = 300;

    /**
     * Share of the heartbeat interval without any message after which a machine with services, or one that left a
     * direct call unanswered, is probed: its services should restart elsewhere within seconds.
     */
    public static final double EARLY_PROBE_INTERVAL_SHARE = 1 / 3.0;

    /** Milliseconds above which a machine's response counts as slow: usual ones take tens. */
    public static final long SLOW_RESPONSE_MS = 400;

    /** Milliseconds over which slow responses are counted. */
    public static final long SLOW_RESPONSE_WINDOW_MS = 1_000;

    /** Slow responses from which on this controller may be the cause: slow machines are few. */
    public static final int MIN_SLOW_RESPONSES = 3;

    /** Share of all responses that the slow ones must be for the same conclusion. */
    public static final double MIN_SLOW_RESPONSE_SHARE = 0.25;

    /**
     * Milliseconds within which a machine that saw a new fencing token in a response sends its next heartbeat: it waits
     * half a second at most, and the way back.
     */
    public static final long HEARTBEAT_AFTER_NEW_TOKEN_MS = 1_000;

    /** Direct calls in flight that are always allowed. */
    public static final int MIN_DIRECT_CALLS = 8;

    /** Milliseconds between two reductions of the number of calls in flight: all that were slow together count once. */
    public static final long CONCURRENCY_DECREASE_INTERVAL_MS = 500;

    /**
     * Share of the machines that may be terminated as unresponsive in a second: a hundred of a thousand may fail at
     * once.
     */
    public static final double MAX_TERMINATED_SHARE_PER_SECOND = 0.03;

    /** Machines that may be terminated as unresponsive in a second, however few there are. */
    public static final double MIN_TERMINATIONS_PER_SECOND = 4;

    /**
     * The share early in a term: machines that are silent then may have a full queue, or an outdated address of the
     * leader.
     */
    public static final double MAX_TERMINATED_SHARE_PER_SECOND_EARLY = 0.01;

    /** Milliseconds for which a term counts as early. */
    public static final long EARLY_TERM_MS = 15_000;

    /** Direct calls in flight at most: bounds sockets and what responses cost at once. */
    public static final int MAX_DIRECT_CALLS = 96;

    /**
     * Those of them at most that go to machines which left one unanswered: hundreds may hang or be partitioned, and the
     * others need commands.
     */
    public static final int MAX_DIRECT_CALLS_UNRESPONSIVE = 64;

    /** Commands in one response or call at most: 64 KiB. */
    public static final int MAX_COMMANDS_PER_MESSAGE = 300;

    /**
     * Milliseconds for which nearly all machines are unresponsive until the leader resigns: others may reach them, and
     * agent leases are several times as long.
     */
    public static final long ISOLATION_BEFORE_RESIGNATION_MS = 3_000;

    /** Milliseconds without any message from a machine after which it is terminated; two probes fit in before. */
    public static final long UNRESPONSIVE_AFTER_MS = 3_000;

    /** Consecutive unanswered direct calls before a machine counts as unresponsive. */
    public static final int UNACKNOWLEDGED_CALL_THRESHOLD = 2;

    /** Milliseconds between direct calls to a machine that left one unanswered. */
    public static final long DIRECT_CALL_RETRY_MS = 250;

    /**
     * Milliseconds since its last message for which a machine counts as responsive: more than the time until one with
     * services is probed.
     */
    public static final long RESPONSIVE_WITHIN_MS = 2_000;

    /**
     * Share of machines with an unanswered probe, among those and the responsive ones, from which on this controller is
     * taken for the cause: dozens that hang at once are a tenth, while a partitioned controller receives nothing.
     */
    public static final double LOCAL_FAULT_UNRESPONSIVE_SHARE = 0.34;

    /**
     * The same share from which on this controller counts as isolated, and another should lead: with a zone lost others
     * fare no better.
     */
    public static final double ISOLATED_UNRESPONSIVE_SHARE = 0.9;

    /**
     * Milliseconds after most machines, or most of a zone, were unresponsive together before any of them counts as
     * lost: they recover one by one.
     */
    public static final long RECOVERY_GRACE_MS = 6_000;

    /** Machines of a zone with unanswered probes from which on the zone counts as partitioned. */
    public static final int PARTITIONED_ZONE_MACHINES = 3;

    /** Milliseconds after a failover before silence counts: every machine is probed at once, twice and more. */
    public static final long FAILOVER_GRACE_MS = 3_000;

    /** Milliseconds for which a machine may be listed as running without a first heartbeat. */
    public static final long FIRST_HEARTBEAT_TIMEOUT_MS = 20_000;

    /** Multiple of the usual boot time after which a machine that never sent a heartbeat is terminated. */
    public static final double BOOT_TIMEOUT_RATIO = 4.0;

    private FailureDetectionConstants() {}
}
