package org.hollypick.sim;

/** Paths and fields of the key-value store's protocol, defined independently of the program's codecs. */
final class StoreProtocol {
    static final String KEYS = "/keys";
    static final String WATCH = "/watch";
    static final String COMMIT = "/commit";
    static final String SESSIONS = "/holds";

    /** The store's revision, which increases with each change. */
    static final String REVISION = "epoch";
    /** The revision at which a key was last written. */
    static final String KEY_REVISION = "stamp";

    static final String KEY = "key";
    static final String DATA = "data";
    static final String ENTRIES = "entries";
    static final String EVENTS = "events";
    static final String TRUNCATED = "truncated";
    static final String CONDITIONS = "when";
    static final String OPERATIONS = "then";
    static final String PUT = "put";
    static final String DELETE = "drop";
    /** The keys whose conditions failed. */
    static final String FAILED = "failed";

    static final String SESSION = "tenancy";
    static final String SESSION_LIFE_MS = "life_ms";
    static final String ERROR = "error";

    static final String PREFIX = "prefix";
    static final String FROM = "from";
    static final String WAIT_MS = "wait_ms";
    static final String PAGE_SIZE = "page";

    private StoreProtocol() {}
}
