package org.hollypick.cluster;

/**
 * The keys of this service's records in the key-value store. Keys that end with a count are used only once: no other
 * record ever gets the same key. Pure, any thread.
 */
public final class StoreKeys {
    /** The prefix of all keys. */
    public static final String PREFIX = "h/";

    /** The key of the leader record. */
    public static final String LEADER_RECORD = "h/roster";

    /** The prefix of the job records. */
    public static final String JOBS = "h/j/";

    /** The prefix of the checkpoints of completed tasks. */
    public static final String CHECKPOINTS = "h/p/";

    /** The prefix of the machine registry. */
    public static final String MACHINES = "h/m/";

    /** The prefix of the records of the service that running tasks have attained. */
    public static final String ATTAINED_SERVICE = "h/s/";

    /**
     * The prefix of the records in which controllers name machines whose heartbeats they cannot relay to the leader.
     */
    public static final String LEADER_COMPLAINTS = "h/l/";

    /** The prefix of the runtime statistics. */
    public static final String RUNTIME_STATISTICS = "h/e/";

    /** The prefix of the graph logs. Like the dependencies, they sort after the job records. */
    public static final String GRAPH_LOG = "h/x/";

    /** The prefix of the records that are written only to change the store's revision. */
    private static final String COMMAND_TOKENS = "h/t/";

    /** The prefix of the member records. */
    private static final String MEMBER = "h/n/";

    /**
     * The prefix of the dependencies of jobs. They sort after the job records, so that a paged listing that contains a
     * job also contains all dependency records to which the job refers.
     */
    private static final String DEPENDENCIES = "h/w/";

    private StoreKeys() {}

    /** Returns the key of a controller's member record. */
    public static String member(String controller) {
        return MEMBER + controller;
    }

    /** Returns the key of a job record. */
    public static String job(String jobId) {
        return JOBS + jobId;
    }

    /** Returns the key of a checkpoint of completed tasks. */
    public static String checkpoint(int slot) {
        return CHECKPOINTS + slot;
    }

    /** Returns the key of a record of the machine registry, used only once. */
    public static String machines(String controller, long token, long count) {
        return MACHINES + singleUseKey(controller, token, count);
    }

    /**
     * Returns the key of a record of those dependencies of a job that do not fit into the job record, used only once.
     */
    public static String dependencies(String controller, long memberRevision, long count) {
        return DEPENDENCIES + singleUseKey(controller, memberRevision, count);
    }

    /** Returns the key of a record of the runtime statistics. */
    public static String runtimeStatistics(int slot) {
        return RUNTIME_STATISTICS + slot;
    }

    /** Returns the prefix of the log of one graph. */
    public static String graphLog(String graphId) {
        return GRAPH_LOG + graphId + "/";
    }

    /** Returns the key of an entry of a graph's log, used only once. */
    public static String graphLog(String graphId, long token, long count) {
        return GRAPH_LOG + singleUseKey(graphId, token, count);
    }

    /** Returns the count in the key of a log entry, which orders the entries of one token. */
    public static long graphLogCount(String key) {
        return Long.parseUnsignedLong(key.substring(key.lastIndexOf('/') + 1));
    }

    /**
     * Returns the key of the record in which a controller names machines whose heartbeats it cannot relay to the
     * leader.
     */
    public static String leaderComplaint(String controller) {
        return LEADER_COMPLAINTS + controller;
    }

    /** Returns the key of the record in which a leader stores the service that running tasks have attained. */
    public static String attainedService(String controller) {
        return ATTAINED_SERVICE + controller;
    }

    /** Returns the key of the record that a leader writes when it needs a newer fencing token for its commands. */
    public static String commandToken(String controller) {
        return COMMAND_TOKENS + controller;
    }

    private static String singleUseKey(String owner, long revision, long count) {
        return owner + "/" + Long.toUnsignedString(revision) + "/" + count;
    }
}
