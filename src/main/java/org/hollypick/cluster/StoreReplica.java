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
 * This controller's replica of all keys under one prefix, kept up to date by a {@link StoreWatcher}. The replica may
 * lag behind the store: entries read from it may be outdated, except terminal states, which never change.
 * {@link #linearizableRead} waits until the replica has caught up.
 *
 * <p>Reads are monotonic: the replica records the newest revision that a response to a user was based on, at this or
 * another controller, and a linearizable read waits for that revision as well. Revisions are unsigned. Confined to the
 * event loop.
 */
public final class StoreReplica {
    /** A value and the revision at which it was last written. */
    public record Entry(JsonNode data, long revision) {}

    private final Consumer<List<String>> changeListener;
    private final StoreWatcher watcher;
    private final LinearizableReads linearizableReads;
    private Map<String, Entry> entries = new HashMap<>();
    private boolean loaded;
    private long appliedRevision;
    /** The newest revision known to this controller that a response to a user was based on. */
    private long answeredRevision;

    /**
     * Creates an empty replica.
     *
     * @param changeListener receives the keys of each batch of changes after the batch is applied
     */
    public StoreReplica(
            EventLoop eventLoop, KeyValueStoreClient store, String prefix, Consumer<List<String>> changeListener) {
        this.changeListener = changeListener;
        this.watcher = new StoreWatcher(eventLoop, store, prefix, new Updates());
        this.linearizableReads = new LinearizableReads(eventLoop, store, this);
    }

    /** Applies the key-values and changes received from the watcher to the entries. */
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

        /** Applies the change if it is newer than the entry; returns whether it was. */
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

    /** Loads all keys and applies their changes from then on. */
    public void start() {
        watcher.start();
    }

    /** Returns whether all keys have been loaded at least once. */
    public boolean isLoaded() {
        return loaded;
    }

    /** Returns the revision up to which every change is applied. */
    public long appliedRevision() {
        return appliedRevision;
    }

    /** Returns the newest revision known to this controller: applied here or passed to {@link #observe}. */
    public long observedRevision() {
        return newer(appliedRevision, answeredRevision);
    }

    /**
     * Records that a response to a user is based on this revision, at this or another controller. From now on
     * {@link #linearizableRead} waits until the replica has reached it.
     */
    public void observe(long revision) {
        answeredRevision = newer(answeredRevision, revision);
    }

    /** Returns whether this revision is at least as new as that of every known response to users. */
    public boolean allowsAnswerAt(long revision) {
        return Long.compareUnsigned(revision, answeredRevision) >= 0;
    }

    private static long newer(long a, long b) {
        return Long.compareUnsigned(a, b) >= 0 ? a : b;
    }

    /**
     * Returns the entry of a key.
     *
     * @return null if the key doesn't exist
     */
    public Entry get(String key) {
        return entries.get(key);
    }

    /** Returns the revision at which a key was last written; 0 if the key does not exist. */
    public long revisionOf(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.revision;
    }

    /** Returns a view of all entries by their keys, which must not be modified. */
    public Map<String, Entry> entries() {
        return entries;
    }

    /**
     * Calls back with true once the replica has reached the store's revision as of some moment after this call, and
     * every revision that a response was based on meanwhile; calls back with false if the replica does not reach them
     * in time or the store is unreachable.
     */
    public void linearizableRead(Consumer<Boolean> callback) {
        linearizableReads.submit(callback);
    }
}
