package org.hollypick.config.constants;

/** Constants of the fencing tokens under which a leader sends commands. */
public final class CommandTokenConstants {
    /**
     * Milliseconds between two advances of the newest usable token. Longer than two requests of a peer for permission
     * to renew leases take, so that peers know a token before an agent does.
     */
    public static final long ADVANCE_INTERVAL_MS = 3_000;

    /**
     * Number of exited attempts that a machine lists from which on it gets no further tasks. A heartbeat may have 64
     * KiB, and each attempt takes about 90 bytes of it.
     */
    public static final int MAX_EXITED_ATTEMPTS_PER_MACHINE = 400;

    private CommandTokenConstants() {}
}
