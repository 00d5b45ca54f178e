package org.hollypick.store;

import com.fasterxml.jackson.databind.JsonNode;
import it.unimi.dsi.fastutil.objects.Object2LongLinkedOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongMap;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * A transaction under construction: writes that the store applies together, and only if every condition holds. The
 * store applies the writes in the order of their addition, under one new revision.
 *
 * <p>Values are kept by reference and encoded when the transaction is committed, so a caller may go on filling a value
 * until then. Confined to the event loop.
 */
public final class CompareAndSwap {
    /** The revision of a key that doesn't exist. */
    static final long ABSENT = 0;

    /** One change of one key. */
    sealed interface Write permits Put, Delete {
        /** The key that is changed. */
        String key();
    }

    /**
     * Stores a value under a key.
     *
     * @param sessionId the session with which the key is deleted; null for a key that stays
     */
    record Put(String key, JsonNode value, Long sessionId) implements Write {}

    /** Deletes a key; without effect if it doesn't exist. */
    record Delete(String key) implements Write {}

    private final Object2LongLinkedOpenHashMap<String> expectedRevisions = new Object2LongLinkedOpenHashMap<>();
    private final List<Write> writes = new ArrayList<>();

    /** Requires that the key was last written under that revision. */
    public CompareAndSwap expectRevision(String key, long revision) {
        expectedRevisions.put(key, revision);
        return this;
    }

    /** Requires that the key doesn't exist. */
    public CompareAndSwap expectAbsent(String key) {
        return expectRevision(key, ABSENT);
    }

    /** Stores a value under a key. */
    public CompareAndSwap put(String key, JsonNode value) {
        writes.add(new Put(key, value, null));
        return this;
    }

    /** Stores a value under a key that the store deletes when that session with it ends or expires. */
    public CompareAndSwap putWithSession(String key, JsonNode value, long sessionId) {
        writes.add(new Put(key, value, sessionId));
        return this;
    }

    /** Deletes a key. */
    public CompareAndSwap delete(String key) {
        writes.add(new Delete(key));
        return this;
    }

    /** How many keys it changes, which is what it costs of the store's write limit. */
    public int writeCount() {
        return writes.size();
    }

    /** The changes, in the order of their addition. */
    List<Write> writes() {
        return Collections.unmodifiableList(writes);
    }

    /** The conditions: revisions by key, in the order of their addition. */
    Iterable<Object2LongMap.Entry<String>> expectedRevisions() {
        return expectedRevisions.object2LongEntrySet();
    }

    /** Whether that write creates its key: the transaction requires that it doesn't exist. */
    boolean creates(Write write) {
        return expectedRevisions.containsKey(write.key()) && expectedRevisions.getLong(write.key()) == ABSENT;
    }
}
