package org.hollypick.config.constants;

/** Constants of failure detection by heartbeats and direct calls to machines. */
public final class FailureDetectionConstants {
    /**
     * Milliseconds after the longest time between two heartbeats until a machine is probed directly, since packets get
     * lost and controllers may be busy.
     */
    public static final long OVERDUE_HEARTBEAT_GRACE_MS = 300;

    /**
     * Share of the heartbeat interval without a message after which a machine is probed if it runs services or left a
     * direct call unanswered. Its services should restart elsewhere within seconds.
     */
    public static final double EARLY_PROBE_INTERVAL_SHARE = 1 / 3.0;

    /** Milliseconds above which a machine's response counts as slow. Usual responses take tens of milliseconds. */
    public static final long SLOW_RESPONSE_MS = 400;

    /** Milliseconds over which slow responses are counted. */
    public static final long SLOW_RESPONSE_WINDOW_MS = 1_000;

    /**
     * Minimum number of slow responses in the window for this controller to count as overloaded. Few machines are slow
     * themselves.
     */
    public static final int MIN_SLOW_RESPONSES = 3;

    /** Share of all responses that the slow ones must exceed for this controller to count as overloaded. */
    public static final double MIN_SLOW_RESPONSE_SHARE = 0.25;

    /**
     * Milliseconds within which a machine sends its next heartbeat after a response with a new fencing token. The agent
     * waits for up to half a second, and the messages take time as well.
     */
    public static final long HEARTBEAT_AFTER_NEW_TOKEN_MS = 1_000;

    /** Sequence numbers up to which a heartbeat may be one of the first that an agent's process sends. */
    public static final long MAX_FIRST_SEQUENCE = 8;

    /**
     * Minimum decrease of the sequence number that suggests a restart. The responses to direct calls overtake
     * heartbeats that were sent just before.
     */
    public static final long MIN_SEQUENCE_DROP_OF_RESTART = 8;

    /**
     * Minimum milliseconds between two checks whether the same machine's agent has restarted; an agent's heartbeats are
     * at least as far apart.
     */
    public static final long RESTART_CHECK_INTERVAL_MS = 500;

    /**
     * Maximum number of checks for restarts in flight. Late copies of many machines' first heartbeats must not use up
     * the direct calls.
     */
    public static final int MAX_RESTART_CHECKS_IN_FLIGHT = 16;

    /** Number of direct calls in flight that are always allowed. */
    public static final int MIN_DIRECT_CALLS = 8;

    /**
     * Minimum milliseconds between two reductions of the allowed calls in flight. Calls that are slow at the same time
     * reduce it only once.
     */
    public static final long CONCURRENCY_DECREASE_INTERVAL_MS = 500;

    /**
     * Maximum share of the machines that are terminated as unresponsive per second. A hundred of a thousand machines
     * may fail at once.
     */
    public static final double MAX_TERMINATED_SHARE_PER_SECOND = 0.03;

    /** Number of machines that may be terminated as unresponsive per second in a cluster of any size. */
    public static final double MIN_TERMINATIONS_PER_SECOND = 4;

    /**
     * Maximum share of the machines that are terminated as unresponsive per second early in a term. Machines without a
     * heartbeat may then have a full queue, or an outdated address of the leader.
     */
    public static final double MAX_TERMINATED_SHARE_PER_SECOND_EARLY = 0.01;

    /** Milliseconds after its start during which a term counts as early. */
    public static final long EARLY_TERM_MS = 15_000;

    /** Maximum number of direct calls in flight. Bounds the sockets in use and the work for simultaneous responses. */
    public static final int MAX_DIRECT_CALLS = 96;

    /**
     * Maximum number of direct calls in flight to machines that left a call unanswered. Hundreds of machines may hang
     * or be partitioned, while the others need commands.
     */
    public static final int MAX_DIRECT_CALLS_UNRESPONSIVE = 64;

    /** Maximum number of commands in one response or call. A message may hold 64 KiB. */
    public static final int MAX_COMMANDS_PER_MESSAGE = 300;

    /**
     * Milliseconds for which nearly all machines must be unresponsive before the leader resigns. Other controllers may
     * reach them, and agent leases are several times as long.
     */
    public static final long ISOLATION_BEFORE_RESIGNATION_MS = 3_000;

    /**
     * Milliseconds without a message from a machine after which it may be terminated as unresponsive. Two probes fit
     * into that time.
     */
    public static final long UNRESPONSIVE_AFTER_MS = 3_000;

    /** Number of consecutive unanswered direct calls from which on a machine may count as unresponsive. */
    public static final int UNACKNOWLEDGED_CALL_THRESHOLD = 2;

    /** Milliseconds until a machine that left a direct call unanswered is called again. */
    public static final long DIRECT_CALL_RETRY_MS = 250;

    /**
     * Milliseconds since its last message during which a machine counts as responsive. Longer than the time after which
     * a machine with services is probed.
     */
    public static final long RESPONSIVE_WITHIN_MS = 2_000;

    /**
     * Share of unresponsive machines among the unresponsive and the responsive ones above which the fault is assumed to
     * lie with this controller. Dozens of machines that hang at once are a tenth, while a partitioned controller
     * receives nothing.
     */
    public static final double LOCAL_FAULT_UNRESPONSIVE_SHARE = 0.34;

    /**
     * Share of unresponsive machines from which on a controller counts as isolated and another one should lead, and
     * from which on a zone counts as partitioned. High, since with a whole zone unavailable another leader would reach
     * no more machines.
     */
    public static final double ISOLATED_UNRESPONSIVE_SHARE = 0.9;

    /**
     * Milliseconds after most machines, or most of a zone, were unresponsive together during which none of them counts
     * as lost. The machines recover one by one.
     */
    public static final long RECOVERY_GRACE_MS = 6_000;

    /** Minimum number of unresponsive machines in a zone that counts as partitioned. */
    public static final int PARTITIONED_ZONE_MACHINES = 3;

    /**
     * Milliseconds after a failover during which no machine counts as unresponsive, and after an overload until this
     * controller counts as healthy again. Every machine is probed at least twice in that time.
     */
    public static final long FAILOVER_GRACE_MS = 3_000;

    /** Milliseconds for which the cloud may list a machine as running before its first heartbeat is received. */
    public static final long FIRST_HEARTBEAT_TIMEOUT_MS = 20_000;

    /** Multiple of the usual boot time after which a machine that never sent a heartbeat is terminated. */
    public static final double BOOT_TIMEOUT_RATIO = 4.0;

    private FailureDetectionConstants() {}
}
