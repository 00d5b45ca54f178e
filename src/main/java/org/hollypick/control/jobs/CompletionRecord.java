package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hollypick.io.Codec;
import org.hollypick.records.TaskBitmapCodec;

/** A record of completed tasks: its key, its last known revision, and its parts. Confined to the event loop. */
final class CompletionRecord {
    private final String key;
    private final Map<String, CompletionPart> partsByName = new LinkedHashMap<>();
    private long revision;
    private boolean revisionUncertain;

    CompletionRecord(String key, long revision) {
        this.key = key;
        this.revision = revision;
    }

    String key() {
        return key;
    }

    long revision() {
        return revision;
    }

    /** Sets the revision that a successful write of the record returned. */
    void markWritten(long newRevision) {
        revision = newRevision;
    }

    /** Sets the revision that a linearizable read showed, which is therefore certain. */
    void resolveRevision(long currentRevision) {
        revision = currentRevision;
        revisionUncertain = false;
    }

    /**
     * Marks the revision as uncertain, after a write with unknown outcome: it has to be looked up before the next
     * write.
     */
    void markRevisionUncertain() {
        revisionUncertain = true;
    }

    boolean isRevisionUncertain() {
        return revisionUncertain;
    }

    void addPart(CompletionPart part) {
        partsByName.put(part.name(), part);
    }

    void removePart(String name) {
        partsByName.remove(name);
    }

    Collection<CompletionPart> parts() {
        return partsByName.values();
    }

    /** An upper bound for the bytes of the parts of live jobs. */
    int maxBytes() {
        return partsByName.values().stream()
                .filter(CompletionPart::isLive)
                .mapToInt(CompletionPart::maxBytes)
                .sum();
    }

    /** Encodes the completed tasks of all parts. */
    ObjectNode encode() {
        ObjectNode value = Codec.object();
        for (CompletionPart part : partsByName.values()) {
            value.put(part.name(), TaskBitmapCodec.encode(part.slice(part.job().completedTasks)));
        }
        return value;
    }
}
