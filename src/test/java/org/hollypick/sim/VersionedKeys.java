package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.hollypick.io.Codec;

/** The keys of the {@link FakeKeyValueStore}, with the revision and the history of all changes. */
final class VersionedKeys {
    /**
     * A stored value.
     *
     * @param revision the revision at which the value was written
     * @param session the session at whose end the key is deleted; 0 for none
     */
    record Entry(JsonNode value, long revision, long session) {}

    private final TreeMap<String, Entry> entries = new TreeMap<>();
    /** All changes in the form in which watches receive them, oldest first. */
    private final List<ObjectNode> events = new ArrayList<>();

    private long revision;

    long revision() {
        return revision;
    }

    /** All entries by key, in the order of the keys. */
    NavigableMap<String, Entry> entries() {
        return entries;
    }

    /** The entry of a key; null if the key doesn't exist. */
    Entry get(String key) {
        return entries.get(key);
    }

    /** The revision at which a key was last written; 0 if the key doesn't exist. */
    long revisionOf(String key) {
        Entry entry = entries.get(key);
        return entry == null ? 0 : entry.revision;
    }

    /**
     * The value that a key had at the given revision; null if the key had none then, or the store hasn't reached that
     * revision.
     */
    JsonNode valueAt(String key, long atRevision) {
        if (atRevision > revision) {
            return null;
        }
        JsonNode value = null;
        for (JsonNode event : events) {
            if (event.path(StoreProtocol.KEY_REVISION).asLong() > atRevision) {
                break;
            }
            if (event.path(StoreProtocol.PUT).asText().equals(key)) {
                value = event.path(StoreProtocol.DATA);
            } else if (event.path(StoreProtocol.DELETE).asText().equals(key)) {
                value = null;
            }
        }
        return value;
    }

    /** Applies puts and deletes at one new revision. */
    void apply(JsonNode operations) {
        revision++;
        for (JsonNode operation : operations) {
            if (operation.has(StoreProtocol.PUT)) {
                put(operation);
            } else if (entries.remove(operation.get(StoreProtocol.DELETE).asText()) != null) {
                addDeletion(operation.get(StoreProtocol.DELETE).asText());
            }
        }
    }

    private void put(JsonNode operation) {
        String key = operation.get(StoreProtocol.PUT).asText();
        JsonNode value = operation.get(StoreProtocol.DATA);
        entries.put(
                key,
                new Entry(value, revision, operation.path(StoreProtocol.SESSION).asLong(0)));
        ObjectNode event = Codec.object().put(StoreProtocol.PUT, key).put(StoreProtocol.KEY_REVISION, revision);
        event.set(StoreProtocol.DATA, value);
        events.add(event);
    }

    private void addDeletion(String key) {
        events.add(Codec.object().put(StoreProtocol.DELETE, key).put(StoreProtocol.KEY_REVISION, revision));
    }

    /** Deletes the keys of a session; returns whether the session had any. */
    boolean deleteKeysOf(long session) {
        List<String> deleted = new ArrayList<>();
        entries.forEach((key, entry) -> {
            if (entry.session == session) {
                deleted.add(key);
            }
        });
        if (!deleted.isEmpty()) {
            revision++;
            deleted.forEach(key -> {
                entries.remove(key);
                addDeletion(key);
            });
        }
        return !deleted.isEmpty();
    }

    /** Builds the response to a watch: the changes under a prefix after a revision. */
    ObjectNode changesAfter(String prefix, long after) {
        ObjectNode answer = Codec.object().put(StoreProtocol.REVISION, revision);
        ArrayNode changes = answer.putArray(StoreProtocol.EVENTS);
        for (ObjectNode event : events) {
            String key = event.has(StoreProtocol.PUT)
                    ? event.get(StoreProtocol.PUT).asText()
                    : event.get(StoreProtocol.DELETE).asText();
            if (event.get(StoreProtocol.KEY_REVISION).asLong() > after && key.startsWith(prefix)) {
                changes.add(event);
            }
        }
        return answer;
    }
}
