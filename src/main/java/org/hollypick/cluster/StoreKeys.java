package org.hollypick.cluster;

/** The names of this service's records in the state service. */
public final class StoreKeys {
    public static final String PREFIX = "h/";
    public static final String LEADER_RECORD = "h/roster";
    private static final String MEMBER = "h/n/";
    public static final String JOB = "h/j/";
    public static final String PROGRESS = "h/p/";
    public static final String MACHINES = "h/m/";
    public static final String SIZES = "h/s/";
    /** Sorts behind the jobs: a read by pages that shows a job shows all that its record names here. */
    private static final String AWAITED = "h/w/";

    /** What a controller tells a leader that it doesn't reach. */
    public static final String LEADER_COMPLAINT = "h/l/";

    public static final String LEARNED = "h/e/";
    /** Sorts behind the jobs, as what they await does. */
    public static final String GRAPH_LOG = "h/x/";

    private StoreKeys() {}

    public static String member(String node) {
        return MEMBER + node;
    }

    public static String job(String id) {
        return JOB + id;
    }

    public static String progress(int slot) {
        return PROGRESS + slot;
    }

    /** A key that is used once: no other record of machines ever has it. */
    public static String machines(String node, long token, long count) {
        return MACHINES + node + "/" + Long.toUnsignedString(token) + "/" + count;
    }

    /** A key that is used once: what one job awaits, as far as its own record has no room for it. */
    public static String awaited(String node, long member, long count) {
        return AWAITED + node + "/" + Long.toUnsignedString(member) + "/" + count;
    }

    public static String learned(int slot) {
        return LEARNED + slot;
    }

    /** The beginning of the keys of a graph's log. */
    public static String graphLog(String id) {
        return GRAPH_LOG + id + "/";
    }

    /** A key that is used once. */
    public static String graphLog(String id, long token, long count) {
        return graphLog(id) + Long.toUnsignedString(token) + "/" + count;
    }

    public static long graphLogNumber(String key) {
        return Long.parseUnsignedLong(key.substring(key.lastIndexOf('/') + 1));
    }

    public static String leaderComplaint(String node) {
        return LEADER_COMPLAINT + node;
    }

    public static String sizes(String node) {
        return SIZES + node;
    }
}
