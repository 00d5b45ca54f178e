package org.hollypick.config.constants;

/** Task graphs. Each number has its unit and the reason for its value. */
public final class GraphConstants {
    /** Nodes in one entry of a graph's log at most: some kilobytes before they are packed. */
    public static final int GRAPH_LOG_ENTRY_NODES = 200;

    /** Bytes that one awaited node may take in a packed entry, at worst. */
    public static final int GRAPH_DEPENDENCY_BYTES = 7;

    /** Bytes of one node's result at most: larger ones are stored elsewhere, and a reference is kept. */
    public static final int GRAPH_RESULT_BYTES = 4 * 1024;

    /** Bytes of all results of one graph at most: every controller holds them, packed. */
    public static final int GRAPH_ALL_RESULTS_BYTES = 4 * 1024 * 1024;

    /**
     * Entries of one graph that wait to be written, beyond which its calls are refused for now: some seconds' worth.
     */
    public static final int GRAPH_WRITE_BACKLOG = 2_000;

    /** Milliseconds between two writes of one graph: calls that come close together share one. */
    public static final long GRAPH_WRITE_GAP_MS = 100;

    /** Milliseconds until a call that isn't durable yet is given up: its user waits 5 s. */
    public static final long GRAPH_RESPONSE_TIMEOUT_MS = 4_000;

    /** Milliseconds for a call that is passed on to the leader: it answers before its own time is up. */
    public static final long GRAPH_FORWARD_TIMEOUT_MS = 4_500;

    /**
     * Milliseconds until a graph that isn't sealed is cancelled: a client that lives sends its parts within seconds.
     */
    public static final long GRAPH_SEAL_TIMEOUT_MS = 600_000;

    /** Times that a failed task is tried again, if the client doesn't say. */
    public static final int GRAPH_RETRIES = 3;

    /** Characters of a node's id at most. */
    public static final int GRAPH_ID_LENGTH = 64;

    /** Nodes on one page of an answer: well below 64 KiB. */
    public static final int GRAPH_PAGE_NODES = 250;

    /** Seconds for which the nodes and results of a graph that is over are kept, if the operators don't say. */
    public static final double GRAPH_RETENTION_S = 3_600;

    private GraphConstants() {}
}
