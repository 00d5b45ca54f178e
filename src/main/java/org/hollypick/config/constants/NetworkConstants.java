package org.hollypick.config.constants;

/** Connections, timeouts and the limits of HTTP requests. Each number has its unit and the reason for its value. */
public final class NetworkConstants {
    /** Milliseconds until an address that is taken is tried again. */
    public static final long LISTEN_RETRY_MS = 500;

    /** Times that it is tried: half a minute; then another program has it, and the end says so. */
    public static final int LISTEN_ATTEMPTS = 60;

    /** Milliseconds for a call to the cloud. */
    public static final long CLOUD_TIMEOUT_MS = 5_000;

    /** Milliseconds for an order to a worker; after that its outcome is open. */
    public static final long COMMAND_TIMEOUT_MS = 1_000;

    /** Milliseconds for a question to another node; users wait 2 s for a poll. */
    public static final long PEER_TIMEOUT_MS = 700;

    /**
     * Milliseconds by which a call's end is put off once, so that what came in while this process was held up is read
     * first.
     */
    public static final long TIMEOUT_GRACE_MS = 30;

    /**
     * Share of the sockets that are given out: connections made and not yet asked anything aren't counted, nor are
     * listening sockets.
     */
    public static final double USABLE_SOCKET_SHARE = 0.95;

    /**
     * Share kept for the state service, the cloud, other controllers and health checks, and the least number: some
     * connections to each.
     */
    public static final double CONTROL_SOCKET_SHARE = 0.03;

    public static final int MIN_CONTROL_SOCKETS = 40;

    /** Share kept for calls to machines: all that may be under way at once, and some kept for later. */
    public static final double COMMAND_SOCKET_SHARE = 0.12;

    /**
     * Share kept for machines' reports; beyond their room connections are closed after the answer, which costs a
     * connection a report.
     */
    public static final double HEARTBEAT_SOCKET_SHARE = 0.40;

    /** Share kept for users: polls and submissions come on connections of their own. */
    public static final double USER_SOCKET_SHARE = 0.15;

    /** Connections kept to one address at most; keeps sockets bounded. */
    public static final int CONNECTIONS_PER_ADDRESS = 6;

    /**
     * Share of the sockets for connections that this node opened and keeps for later; workers and users need most of
     * the rest.
     */
    public static final double IDLE_SOCKET_SHARE = 0.15;

    /** Calls waiting for a connection to one address; beyond it the call fails at once. */
    public static final int QUEUED_PER_ADDRESS = 200;

    /**
     * Milliseconds after which a connection without a request is closed: three or four reports or polls; lost machines
     * don't hang up.
     */
    public static final int IDLE_CONNECTION_MS = 20_000;

    /** Bytes of a request body, from the protocol. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** Seconds told in Retry-After: the shortest the protocol allows, since most refusals are brief. */
    public static final int RETRY_AFTER_S = 1;

    /** Seconds told at most to those refused in a crowd, each another number, so that they don't come back together. */
    public static final int RETRY_AFTER_SPREAD_S = 3;

    private NetworkConstants() {}
}
