package org.hollypick.config.constants;

/** Constants of task graphs. */
public final class GraphConstants {
    /** Maximum number of nodes in one entry of a graph's log: some kilobytes before compression. */
    public static final int MAX_GRAPH_LOG_ENTRY_NODES = 200;

    /** Upper bound on the bytes that one dependency of a node takes in a compressed log entry. */
    public static final int MAX_COMPRESSED_DEPENDENCY_BYTES = 7;

    /**
     * Maximum bytes of one node's result. Larger results have to be stored elsewhere, with a reference to them as the
     * result.
     */
    public static final int MAX_NODE_RESULT_BYTES = 4 * 1024;

    /** Maximum bytes of all results of one graph. Every controller holds them in memory, compressed. */
    public static final int MAX_GRAPH_RESULTS_BYTES = 4 * 1024 * 1024;

    /**
     * Number of unwritten log entries of a graph above which requests that add nodes or results to it are refused for
     * now. Writing as many takes some seconds.
     */
    public static final int MAX_UNWRITTEN_GRAPH_LOG_ENTRIES = 2_000;

    /**
     * Minimum milliseconds between two writes to the log of one graph, so that requests received close together share a
     * write.
     */
    public static final long GRAPH_WRITE_GAP_MS = 100;

    /**
     * Milliseconds until a request whose changes aren't durable yet is rejected, as if the store were unavailable. Its
     * user waits 5 s.
     */
    public static final long GRAPH_RESPONSE_TIMEOUT_MS = 4_000;

    /**
     * Timeout in milliseconds of a request forwarded to the leader. Longer than the leader's own
     * {@link #GRAPH_RESPONSE_TIMEOUT_MS}.
     */
    public static final long GRAPH_FORWARD_TIMEOUT_MS = 4_500;

    /**
     * Milliseconds until a graph that hasn't been sealed is cancelled. A running client sends the parts of its graph
     * within seconds.
     */
    public static final long GRAPH_SEAL_TIMEOUT_MS = 600_000;

    /** Number of retries of a failed task if the client specifies none. */
    public static final int DEFAULT_GRAPH_TASK_RETRIES = 3;

    /** Maximum number of characters in a node's id. */
    public static final int MAX_NODE_ID_CHARACTERS = 64;

    /** Maximum number of nodes on one page of a response. Such a page is well below 64 KiB. */
    public static final int MAX_GRAPH_PAGE_NODES = 250;

    /** Seconds for which the nodes and results of a terminal graph are kept if the operators specify none. */
    public static final double DEFAULT_GRAPH_RETENTION_S = 3_600;

    private GraphConstants() {}
}
