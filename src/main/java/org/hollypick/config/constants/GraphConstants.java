package org.hollypick.config.constants;

/** Task graphs. Each number has its unit and the reason for its value. */
public final class GraphConstants {
    /** Nodes in one entry of a graph's log at most: some kilobytes before compression. */
    public static final int MAX_GRAPH_LOG_ENTRY_NODES = 200;

    /** Bytes that one dependency of a node may take in a compressed entry, at worst. */
    public static final int MAX_COMPRESSED_DEPENDENCY_BYTES = 7;

    /** Bytes of one node's result at most: larger ones are stored elsewhere, and a reference is kept. */
    public static final int MAX_NODE_RESULT_BYTES = 4 * 1024;

    /** Bytes of all results of one graph at most: every controller holds them, compressed. */
    public static final int MAX_GRAPH_RESULTS_BYTES = 4 * 1024 * 1024;

    /** Unwritten log entries of one graph beyond which its requests are refused for now: some seconds' worth. */
    public static final int MAX_UNWRITTEN_GRAPH_LOG_ENTRIES = 2_000;

    /** Milliseconds between two writes of one graph: requests that come close together share one. */
    public static final long GRAPH_WRITE_GAP_MS = 100;

    /** Milliseconds until a request that isn't durable yet is given up: its user waits 5 s. */
    public static final long GRAPH_RESPONSE_TIMEOUT_MS = 4_000;

    /** Milliseconds for a request that is forwarded to the leader: it responds before its own timeout. */
    public static final long GRAPH_FORWARD_TIMEOUT_MS = 4_500;

    /** Milliseconds until a graph that isn't sealed is cancelled: a live client sends its parts within seconds. */
    public static final long GRAPH_SEAL_TIMEOUT_MS = 600_000;

    /** Retries of a failed task, if the client doesn't say. */
    public static final int DEFAULT_GRAPH_TASK_RETRIES = 3;

    /** Characters of a node's id at most. */
    public static final int MAX_NODE_ID_CHARACTERS = 64;

    /** Nodes on one page of a response: well below 64 KiB. */
    public static final int MAX_GRAPH_PAGE_NODES = 250;

    /** Seconds for which the nodes and results of a terminal graph are kept, if the operators don't say. */
    public static final double DEFAULT_GRAPH_RETENTION_S = 3_600;

    private GraphConstants() {}
}
