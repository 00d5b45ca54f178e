package org.hollypick.cluster;

/**
 * The keys of this service's records in the key-value store. A key with a count in it is used once: no other record
 * ever has it. Pure, any thread.
 */
public final class StoreKeys {
    /** All keys begin with this. */
    public static final String PREFIX = "h/";

    /** The leader record. */
    public static final String LEADER_RECORD = "h/roster";

    /** The prefix of the job records. */
    public static final String JOBS = "h/j/";

    /** The prefix of the checkpoints of completed tasks. */
    public static final String CHECKPOINTS = "h/p/";

    /** The prefix of the machine registry. */
    public static final String MACHINES = "h/m/";

    /** The prefix of the records of the service that running tasks have attained. */
    public static final String ATTAINED_SERVICE = "h/s/";

    /** The prefix of the records by which controllers tell a leader that they cannot reach it. */
    public static final String LEADER_COMPLAINTS = "h/l/";

    /** The prefix of the runtime statistics. */
    public static final String RUNTIME_STATISTICS = "h/e/";

    /** The prefix of the logs of graphs. Sorts behind the jobs, as their dependencies do. */
    public static final String GRAPH_LOG = "h/x/";

    /** The prefix of the member records. */
    private static final String MEMBER = "h/n/";

    /**
     * The prefix of the dependencies of jobs. Sorts behind the jobs: a read by pages that shows a job shows all records
     * that the job names here.
     */
    private static final String DEPENDENCIES = "h/w/";

    private StoreKeys() {}

    /** The member record of a controller. */
    public static String member(String controller) {
        return MEMBER + controller;
    }

    /** The record of a job. */
    public static String job(String jobId) {
        return JOBS + jobId;
    }

    /** A checkpoint of completed tasks. */
    public static String checkpoint(int slot) {
        return CHECKPOINTS + slot;
    }

    /** A record of the machine registry, used once. */
    public static String machines(String controller, long token, long count) {
        return MACHINES + singleUseKey(controller, token, count);
    }

    /** The dependencies of one job, as far as its own record has no room for them; used once. */
    public static String dependencies(String controller, long memberRevision, long count) {
        return DEPENDENCIES + singleUseKey(controller, memberRevision, count);
    }

    /** A record of the runtime statistics. */
    public static String runtimeStatistics(int slot) {
        return RUNTIME_STATISTICS + slot;
    }

    /** The prefix of the log of one graph. */
    public static String graphLog(String graphId) {
        return GRAPH_LOG + graphId + "/";
    }

    /** An entry of the log of a graph, used once. */
    public static String graphLog(String graphId, long token, long count) {
        return GRAPH_LOG + singleUseKey(graphId, token, count);
    }

    /** The count in the key of a log entry, by which the entries of one token are ordered. */
    public static long graphLogCount(String key) {
        return Long.parseUnsignedLong(key.substring(key.lastIndexOf('/') + 1));
    }

    /** The record by which that controller tells the leader that it cannot reach it. */
    public static String leaderComplaint(String controller) {
        return LEADER_COMPLAINTS + controller;
    }

    /** The record that a leader writes of the service that running tasks have attained. */
    public static String attainedService(String controller) {
        return ATTAINED_SERVICE + controller;
    }

    private static String singleUseKey(String owner, long revision, long count) {
        return owner + "/" + Long.toUnsignedString(revision) + "/" + count;
    }
}
