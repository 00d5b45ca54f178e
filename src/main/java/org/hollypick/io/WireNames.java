package org.hollypick.io;

/**
 * Field names that several protocols share and that differ from the names used in the code. They are part of the wire
 * format and of stored records, so they never change; everything else uses the constants. Immutable, any thread.
 */
public final class WireNames {
    /** The leader's fencing token: the revision of the leader record that it wrote. */
    public static final String FENCING_TOKEN = "baton";

    /** A worker's session: counts up with each of its lives. */
    public static final String WORKER_SESSION = "tenure";

    /** A session with the state service, which the keys attached to it end with. */
    public static final String STATE_SESSION = "tenancy";

    /** The revision of a key: the number of the change that wrote it last. */
    public static final String REVISION = "stamp";

    /** The leader record, as one controller tells another of it. */
    public static final String LEADER_RECORD = "roster";

    private WireNames() {}
}
