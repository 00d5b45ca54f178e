package org.hollypick.io;

/**
 * Field names that several protocols share and that differ from the names used in the code. These names are part of the
 * wire format and of stored records and therefore never change. Immutable; safe for use by any thread.
 */
public final class WireNames {
    /** The leader's fencing token: the revision at which it wrote the leader record. */
    public static final String FENCING_TOKEN = "baton";

    /** The incarnation of an agent: a number that increases each time the agent starts. */
    public static final String AGENT_INCARNATION = "tenure";

    /** The id of a session with the key-value store, which deletes the session's keys when the session ends. */
    public static final String STORE_SESSION = "tenancy";

    /** The revision of a key: the number of the change that last wrote the key. */
    public static final String REVISION = "stamp";

    /** The leader record, in messages between controllers. */
    public static final String LEADER_RECORD = "roster";

    private WireNames() {}
}
