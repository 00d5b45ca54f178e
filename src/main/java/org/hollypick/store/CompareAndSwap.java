package org.hollypick.store;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Builder of a transaction: writes that the store applies atomically, and only if every condition holds. The store
 * applies the writes in the order in which they were added, under one new revision.
 *
 * <p>Values are kept by reference and encoded when the transaction is committed, so a caller may modify a value until
 * then. Confined to the event loop.
 */
public final class CompareAndSwap {
    /** The revision of a key that doesn't exist. */
    static final long ABSENT_REVISION = 0;

    /** One change of one key. */
    sealed interface Write permits Put, Delete {
        /** The key that the write changes. */
        String key();
    }

    /**
     * Stores a value under a key.
     *
     * @param sessionId the session whose end deletes the key; null if the key isn't attached to a session
     */
    record Put(String key, JsonNode value, Long sessionId) implements Write {}

    /** Deletes a key; without effect if it doesn't exist. */
    record Delete(String key) implements Write {}

    private final Object2LongLinkedOpenHashMap<String> expectedRevisions = new Object2LongLinkedOpenHashMap<>();
    private final List<Write> writes = new ArrayList<>();

    /** Adds the condition that the key was last written under this revision. */
    public CompareAndSwap expectRevision(String key, long revision) {
        expectedRevisions.put(key, revision);
        return this;
    }

    /** Adds the condition that the key doesn't exist. */
    public CompareAndSwap expectAbsent(String key) {
        return expectRevision(key, ABSENT_REVISION);
    }

    /** Adds a write that stores a value under a key. */
    public CompareAndSwap put(String key, JsonNode value) {
        writes.add(new Put(key, value, null));
        return this;
    }

    /**
     * Adds a write of a key that is attached to a session: the store deletes the key when the session ends or expires.
     */
    public CompareAndSwap putWithSession(String key, JsonNode value, long sessionId) {
        writes.add(new Put(key, value, sessionId));
        return this;
    }

    /** Adds the deletion of a key. */
    public CompareAndSwap delete(String key) {
        writes.add(new Delete(key));
        return this;
    }

    /** The number of writes, which is the cost of the transaction under the store's write limit. */
    public int writeCount() {
        return writes.size();
    }

    /** The writes, in the order in which they were added. */
    List<Write> writes() {
        return Collections.unmodifiableList(writes);
    }

    /** The conditions: the expected revision of each key, in the order in which they were added. */
    Iterable<Object2LongMap.Entry<String>> expectedRevisions() {
        return expectedRevisions.object2LongEntrySet();
    }

    /** Whether the write creates its key, that is, the transaction requires that the key doesn't exist. */
    boolean creates(Write write) {
        return expectedRevisions.containsKey(write.key()) && expectedRevisions.getLong(write.key()) == ABSENT_REVISION;
    }
}
