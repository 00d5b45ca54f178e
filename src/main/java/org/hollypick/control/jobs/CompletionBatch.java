package org.hollypick.control.jobs;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.NetworkConstants;

/** The records that one transaction rewrites, and the completions that are durable once it is committed. */
final class CompletionBatch {
    private static final int MAX_BYTES = NetworkConstants.MAX_BODY_BYTES * 3 / 4;

    /** The completed tasks of a part when it was added to the batch. */
    record Completions(CompletionPart part, BitSet completed) {}

    private final Set<CompletionRecord> records = new LinkedHashSet<>();
    private final List<Completions> completions = new ArrayList<>();
    private final Settings settings;

    CompletionBatch(Settings settings) {
        this.settings = settings;
    }

    /**
     * Adds the part's completions, which are stored in {@code record}. Returns false if the transaction has no capacity
     * for the record, or if the revision of the record is uncertain and has to be looked up first.
     */
    boolean add(CompletionPart part, CompletionRecord record) {
        boolean accepted = records.contains(record) || (!record.isRevisionUncertain() && hasCapacityForRecord());
        if (accepted) {
            records.add(record);
            completions.add(new Completions(part, part.slice(part.job().completedTasks)));
        }
        return accepted;
    }

    private boolean hasCapacityForRecord() {
        return records.size() < settings.txnOps() && (records.size() + 1) * settings.valueBytes() <= MAX_BYTES;
    }

    boolean isEmpty() {
        return records.isEmpty();
    }

    Set<CompletionRecord> records() {
        return records;
    }

    List<Completions> completions() {
        return completions;
    }
}
