package org.hollypick.client;

import java.util.Set;

/** Field names of the users' protocol, as the client library needs them. Immutable, any thread. */
final class WireFields {
    // ---- a graph ----

    static final String GRAPH_ID = "name_id";
    /** The class of work. */
    static final String JOB_CLASS = "jobkind";

    static final String TEAM = "owner";
    static final String PRIORITY = "rank";
    static final String DEFAULT_PRIORITY = "standard";
    static final String RETRIES = "retries";
    static final String ON_FAILURE = "on_failure";
    /** Of {@link #ON_FAILURE}: a failed node cancels the whole graph. */
    static final String ON_FAILURE_CANCEL = "end";
    /** Task fields of all nodes that don't say otherwise. */
    static final String DEFAULTS = "task";

    static final String NODES = "nodes";
    /** Whether further requests add nodes of the client. */
    static final String MORE = "more";

    // ---- a node ----

    static final String NODE_ID = "id";
    static final String DEPENDENCIES = "awaits";

    // ---- a node's task ----

    static final String CPUS = "cores";
    static final String GPUS = "gpus";
    static final String MEMORY_GB = "ram_gb";
    static final String MACHINE_TYPES = "flavours";
    static final String ZONE = "hall";
    /** Whether the task may run on spot instances. */
    static final String SPOT = "lendable";

    static final String IMAGE = "bundle";
    static final String IMAGE_GB = "pull_gb";
    static final String ESTIMATE_S = "expect_s";
    /** Seconds of progress between two checkpoints. */
    static final String CHECKPOINT_INTERVAL_S = "bookmark_s";
    /** Seconds that a checkpoint takes. */
    static final String CHECKPOINT_SAVE_S = "stow_s";

    /** All fields that describe a task. */
    static final Set<String> TASK_FIELDS = Set.of(
            CPUS,
            GPUS,
            MEMORY_GB,
            MACHINE_TYPES,
            ZONE,
            SPOT,
            IMAGE,
            IMAGE_GB,
            ESTIMATE_S,
            CHECKPOINT_INTERVAL_S,
            CHECKPOINT_SAVE_S);

    // ---- requests of running tasks ----

    /** The node that adds children. */
    static final String PARENT = "parent";

    static final String ATTEMPT = "try";
    /** The child that the parent delegates its result to. */
    static final String CONTINUATION = "then";
    /** A result that is small enough to be kept. */
    static final String RESULT_VALUE = "value";
    /** Where a result is stored that isn't kept. */
    static final String RESULT_REFERENCE = "ref";

    // ---- responses ----

    /** Status of a graph. */
    static final String STATUS = "status";
    /** How many nodes are in each state. */
    static final String COUNTS = "counts";
    /** Why a graph or node didn't succeed. */
    static final String TERMINATION_REASON = "why";
    /** State of a node. */
    static final String STATE = "state";

    static final String ERROR = "error";

    private WireFields() {}
}
