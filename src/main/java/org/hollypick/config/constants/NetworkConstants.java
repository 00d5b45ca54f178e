package org.hollypick.config.constants;

/** Constants of connections, timeouts and the limits of HTTP requests. */
public final class NetworkConstants {
    /** Milliseconds until binding an address that is in use is retried. */
    public static final long LISTEN_RETRY_MS = 500;

    /**
     * Maximum number of attempts to bind an address, over half a minute. After that another program holds the address,
     * and the process exits with a message.
     */
    public static final int MAX_LISTEN_ATTEMPTS = 60;

    /** Timeout in milliseconds of a request to the cloud. */
    public static final long CLOUD_TIMEOUT_MS = 5_000;

    /** Timeout in milliseconds of a command to an agent. The outcome of a command that timed out is unknown. */
    public static final long COMMAND_TIMEOUT_MS = 1_000;

    /** Timeout in milliseconds of a request to a peer. Users wait 2 s for the response to a status query. */
    public static final long PEER_TIMEOUT_MS = 700;

    /**
     * Milliseconds by which the timeout of a request is extended once, so that responses received while this process
     * was paused are read first.
     */
    public static final long TIMEOUT_GRACE_MS = 30;

    /**
     * Share of the sockets that is allotted. Listening sockets and connections without a request yet aren't counted.
     */
    public static final double USABLE_SOCKET_SHARE = 0.95;

    /** Share of the sockets reserved for the store, the cloud, peers and health checks. */
    public static final double CONTROL_SOCKET_SHARE = 0.03;

    /**
     * Minimum number of sockets reserved for the store, the cloud, peers and health checks: some connections to each.
     */
    public static final int MIN_CONTROL_SOCKETS = 40;

    /**
     * Share of the sockets reserved for direct calls to machines: all calls that may be in flight, and some idle
     * connections.
     */
    public static final double COMMAND_SOCKET_SHARE = 0.12;

    /**
     * Share of the sockets reserved for machines' heartbeats. Connections beyond it may be closed after the response,
     * which costs a new connection for each heartbeat.
     */
    public static final double HEARTBEAT_SOCKET_SHARE = 0.40;

    /** Share of the sockets reserved for users. Each status query or submission may open a new connection. */
    public static final double USER_SOCKET_SHARE = 0.15;

    /** Maximum number of connections to one address. Bounds the sockets in use. */
    public static final int MAX_CONNECTIONS_PER_ADDRESS = 6;

    /**
     * Maximum share of the sockets for idle connections that this controller opened. Agents and users need most of the
     * others.
     */
    public static final double MAX_IDLE_SOCKET_SHARE = 0.15;

    /** Maximum number of requests that wait for a connection to one address. Further requests fail at once. */
    public static final int MAX_QUEUED_REQUESTS_PER_ADDRESS = 200;

    /**
     * Milliseconds after which a connection without a request is closed: three or four intervals of heartbeats or
     * status queries. A machine that fails doesn't close its connections.
     */
    public static final int IDLE_CONNECTION_TIMEOUT_MS = 20_000;

    /** Maximum bytes of a request body; a limit of the protocol. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** Seconds in the Retry-After header: the shortest time that the protocol allows, since most refusals are brief. */
    public static final int RETRY_AFTER_S = 1;

    /**
     * Number of different Retry-After values, one second apart, that are sent while load is shed, so that the senders
     * don't all retry at once.
     */
    public static final int RETRY_AFTER_SPREAD_S = 3;

    private NetworkConstants() {}
}
