package org.hollypick.client;

import java.util.Set;

/** Field names of the users' protocol that the client library uses. Immutable. */
final class WireFields {
    // ---- a graph ----

    static final String GRAPH_ID = "name_id";
    /** The job class, by which the service groups run time statistics. */
    static final String JOB_CLASS = "jobkind";

    static final String TEAM = "owner";
    static final String PRIORITY = "rank";
    static final String DEFAULT_PRIORITY = "standard";
    static final String RETRIES = "retries";
    static final String ON_FAILURE = "on_failure";
    /** Value of {@link #ON_FAILURE}: a failed node cancels the whole graph. */
    static final String ON_FAILURE_CANCEL = "end";
    /** Task fields that apply to each node that doesn't set them itself. */
    static final String DEFAULTS = "task";

    static final String NODES = "nodes";
    /** Whether the client submits more nodes in further requests. */
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

    /** The node whose running task adds children. */
    static final String PARENT = "parent";

    static final String ATTEMPT = "try";
    /** The child to which the parent delegates its result. */
    static final String CONTINUATION = "then";
    /** A result that is stored with the graph. */
    static final String RESULT_VALUE = "value";
    /** Reference to a result that is stored elsewhere. */
    static final String RESULT_REFERENCE = "ref";

    // ---- responses ----

    /** The status of a graph. */
    static final String STATUS = "status";
    /** The number of nodes in each state. */
    static final String COUNTS = "counts";
    /** The reason why a graph was aborted. */
    static final String TERMINATION_REASON = "why";
    /** The state of a node. */
    static final String STATE = "state";

    static final String ERROR = "error";

    private WireFields() {}
}
