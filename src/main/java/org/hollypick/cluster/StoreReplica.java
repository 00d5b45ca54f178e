package org.hollypick.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyChange;
import org.hollypick.store.KeyValue;
import org.hollypick.store.KeyValueStoreClient;

/**
 * This controller's replica of all keys under one prefix, kept up to date by a {@link StoreWatcher}. It may lag behind
 * the store, so only terminal states in it are final; {@link #linearizableRead} waits until it doesn't.
 *
 * <p>Reads are monotonic: the replica knows the newest revision that an answer to users was based on, here or at
 * another controller, and a linearizable read waits for that revision too. Revisions are unsigned. Confined to the
 * event loop.
 */
public final class StoreReplica {
    /** A value and the revision under which it was last written. */
    public record Entry(JsonNode data, long revision) {}

    private final Consumer<List<String>> changeListener;
    private final StoreWatcher watcher;
    private final LinearizableReads linearizableReads;
    private Map<String, Entry> entries = new HashMap<>();
    private boolean loaded;
    private long appliedRevision;
    /** The newest revision that an answer to users was based on, as far as this controller knows. */
    private long answeredRevision;

    /** {@code changeListener}: gets the keys of each batch of changes, once they are applied. */
    public StoreReplica(
            EventLoop eventLoop, KeyValueStoreClient store, String prefix, Consumer<List<String>> changeListener) {
        this.changeListener = changeListener;
        this.watcher = new StoreWatcher(eventLoop, store, prefix, new Updates());
        this.linearizableReads = new LinearizableReads(eventLoop, store, this);
    }

    /** Applies what the watcher reads to the entries. */
    private final class Updates implements StoreWatcher.Listener {
        @Override
        public void loaded(List<KeyValue> keyValues, long revision) {
            Map<String, Entry> loadedEntries = new HashMap<>();
            for (KeyValue keyValue : keyValues) {
                loadedEntries.put(keyValue.key(), new Entry(keyValue.value(), keyValue.revision()));
            }
            entries = loadedEntries;
            appliedRevision = revision;
            loaded = true;
            changeListener.accept(new ArrayList<>(loadedEntries.keySet()));
            linearizableReads.completeReads();
        }

        @Override
        public void changed(List<KeyChange> changes, long revision) {
            List<String> changedKeys = new ArrayList<>();
            for (KeyChange change : changes) {
                if (apply(change)) {
                    changedKeys.add(change.key());
                }
            }
            appliedRevision = newer(appliedRevision, revision);
            if (!changedKeys.isEmpty()) {
                changeListener.accept(changedKeys);
            }
            linearizableReads.completeReads();
        }

        /** Whether the change is newer than the entry. */
        private boolean apply(KeyChange change) {
            if (Long.compareUnsigned(change.revision(), revisionOf(change.key())) <= 0) {
                return false;
            }
            if (change.isDeletion()) {
                entries.remove(change.key());
            } else {
                entries.put(change.key(), new Entry(change.value(), change.revision()));
            }
            return true;
        }
    }

    /** Loads all keys, and follows their changes from then on. */
    public void start() {
        watcher.start();
    }

    /** Whether all keys have been loaded once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** The revision up to which every change is applied. */
    public long appliedRevision() {
        return appliedRevision;
    }

    /** The newest revision that this controller knows of: applied here, or told to {@link #observe}. */
    public long observedRevision() {
        return newer(appliedRevision, answeredRevision);
    }

    /**
     * Notes that an answer to users is based on this revision, here or at another controller: from now on
     * {@link #linearizableRead} waits until the replica has reached it.
     */
    public void observe(long revision) {
        answeredRevision = newer(answeredRevision, revision);
    }

    /** Whether an answer that is based on this revision isn't older than any that was given before. */
    public boolean allowsAnswerAt(long revision) {
        return Long.compareUnsigned(revision, answeredRevision) >= 0;
    }

    private static long newer(long a, long b) {
        return Long.compareUnsigned(a, b) >= 0 ? a : b;
    }

    /**
     * The entry of a key.
     *
     * @return null if the key doesn't exist
     */
    public Entry get(String key) {
        return entries.get(key);
    }

    /** The revision under which a key was last written; 0 if it doesn't exist. */
    public long revisionOf(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.revision;
    }

    /** All entries by their keys; a view, not to be modified. */
    public Map<String, Entry> entries() {
        return entries;
    }

    /**
     * Calls back with true once the replica has reached the revision of the store at some moment after this call, and
     * every revision that an answer was based on meanwhile; with false if it doesn't in time, or the store isn't
     * reached.
     */
    public void linearizableRead(Consumer<Boolean> callback) {
        linearizableReads.submit(callback);
    }
}
