package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hollypick.io.Codec;
import org.hollypick.records.TaskBitmapCodec;

/**
 * One record of completions: its key, the revision that this leader knows, and its parts. Confined to the event loop.
 */
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

    /** A write of the record succeeded. */
    void markWritten(long newRevision) {
        revision = newRevision;
    }

    /** A linearizable read showed the record's revision. */
    void resolveRevision(long currentRevision) {
        revision = currentRevision;
        revisionUncertain = false;
    }

    /** A write of the record has no known outcome: its revision has to be looked up before the next. */
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

    /** An upper bound for the bytes of the parts that are still needed. */
    int maxBytes() {
        return partsByName.values().stream()
                .filter(CompletionPart::isLive)
                .mapToInt(CompletionPart::maxBytes)
                .sum();
    }

    /** The record's value as of now. */
    ObjectNode encode() {
        ObjectNode value = Codec.object();
        for (CompletionPart part : partsByName.values()) {
            value.put(part.name(), TaskBitmapCodec.encode(part.slice(part.job().completedTasks)));
        }
        return value;
    }
}
