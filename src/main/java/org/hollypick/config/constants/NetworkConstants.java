package org.hollypick.config.constants;

/** Connections, timeouts and the limits of HTTP requests. Each number has its unit and the reason for its value. */
public final class NetworkConstants {
    /** Milliseconds until an address that is in use is tried again. */
    public static final long LISTEN_RETRY_MS = 500;

    /**
     * Attempts to bind an address: half a minute; then another program holds it, and the process ends with that
     * message.
     */
    public static final int MAX_LISTEN_ATTEMPTS = 60;

    /** Milliseconds for a request to the cloud. */
    public static final long CLOUD_TIMEOUT_MS = 5_000;

    /** Milliseconds for a command to an agent; after that its outcome is unknown. */
    public static final long COMMAND_TIMEOUT_MS = 1_000;

    /** Milliseconds for a request to a peer; users wait 2 s for the response to a status query. */
    public static final long PEER_TIMEOUT_MS = 700;

    /**
     * Milliseconds by which a request's timeout is put off once, so that what arrived while this process was paused is
     * read first.
     */
    public static final long TIMEOUT_GRACE_MS = 30;

    /**
     * Share of the sockets that is allotted: connections without a request yet and listening sockets aren't counted.
     */
    public static final double USABLE_SOCKET_SHARE = 0.95;

    /** Share reserved for the store, the cloud, peers and health checks. */
    public static final double CONTROL_SOCKET_SHARE = 0.03;

    /** Sockets reserved for these at least: some connections to each. */
    public static final int MIN_CONTROL_SOCKETS = 40;

    /** Share reserved for direct calls to machines: all that may be in flight at once, and some idle ones. */
    public static final double COMMAND_SOCKET_SHARE = 0.12;

    /**
     * Share reserved for machines' heartbeats; beyond their reserve connections are closed after the response, which
     * costs a connection for each heartbeat.
     */
    public static final double HEARTBEAT_SOCKET_SHARE = 0.40;

    /** Share reserved for users: status queries and submissions come on connections of their own. */
    public static final double USER_SOCKET_SHARE = 0.15;

    /** Connections to one address at most; bounds sockets. */
    public static final int MAX_CONNECTIONS_PER_ADDRESS = 6;

    /**
     * Share of the sockets for idle connections that this controller opened; agents and users need most of the rest.
     */
    public static final double MAX_IDLE_SOCKET_SHARE = 0.15;

    /** Requests that wait for a connection to one address at most; beyond it a request fails at once. */
    public static final int MAX_QUEUED_REQUESTS_PER_ADDRESS = 200;

    /**
     * Milliseconds after which a connection without a request is closed: three or four heartbeats or status queries;
     * lost machines don't close theirs.
     */
    public static final int IDLE_CONNECTION_TIMEOUT_MS = 20_000;

    /** Bytes of a request body, from the protocol. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** Seconds in the Retry-After header: the shortest the protocol allows, since most refusals are brief. */
    public static final int RETRY_AFTER_S = 1;

    /** Different values of Retry-After while load is shed, so that the senders don't come back together. */
    public static final int RETRY_AFTER_SPREAD_S = 3;

    private NetworkConstants() {}
}
