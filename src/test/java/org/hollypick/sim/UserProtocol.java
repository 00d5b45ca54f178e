package org.hollypick.sim;

/** Paths and fields of the users' protocol, defined independently of the program's codecs. */
final class UserProtocol {
    static final String SUBMISSIONS = "/submissions";
    static final String GRAPHS = "/graphs";
    static final String CANCEL = "/withdraw";
    static final String ESTIMATE = "/estimate";

    static final String JOB_ID = "name_id";
    static final String JOB_CLASS = "jobkind";
    static final String TEAM = "owner";
    static final String KIND = "shape";
    static final String PRIORITY = "rank";
    static final String TASK_COUNT = "shards";
    static final String CORES = "cores";
    static final String GPUS = "gpus";
    static final String MEMORY_GB = "ram_gb";
    /** Gang scheduling: all tasks of the job start together in one zone. */
    static final String GANG = "together";
    /** The tasks are spread evenly over the zones. */
    static final String SPREAD = "spread";
    /** The tasks may run on spot instances and be preempted. */
    static final String PREEMPTIBLE = "lendable";

    static final String IMAGE = "bundle";
    static final String IMAGE_GB = "pull_gb";
    static final String EXPECTED_S = "expect_s";
    static final String CHECKPOINT_INTERVAL_S = "bookmark_s";
    static final String CHECKPOINT_SAVE_S = "stow_s";
    static final String DEPENDENCIES = "awaits";
    static final String ZONE = "hall";
    static final String MACHINE_TYPES = "flavours";
    static final String GRAPH_NODES = "nodes";
    static final String STATUS = "status";

    /** A value of {@link #KIND}: the tasks end by themselves. */
    static final String BATCH = "batch";
    /** A value of {@link #KIND}: the tasks run until the job is cancelled. */
    static final String SERVICE = "standing";

    private UserProtocol() {}

    static String job(String id) {
        return SUBMISSIONS + "/" + id;
    }
}
