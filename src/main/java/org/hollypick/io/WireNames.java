package org.hollypick.io;

/**
 * Field names that several protocols share and that differ from the names used in the code. They are part of the wire
 * format and of stored records, so they never change; everything else uses the constants. Immutable; any thread.
 */
public final class WireNames {
    /** The leader's fencing token: the revision at which it wrote the leader record. */
    public static final String FENCING_TOKEN = "baton";

    /** The incarnation of an agent: a number that grows with each of its starts. */
    public static final String AGENT_INCARNATION = "tenure";

    /** A session with the key-value store: the keys attached to it are deleted when it ends. */
    public static final String STORE_SESSION = "tenancy";

    /** The revision of a key: the number of the change that wrote it last. */
    public static final String REVISION = "stamp";

    /** The leader record, in messages between controllers. */
    public static final String LEADER_RECORD = "roster";

    private WireNames() {}
}
