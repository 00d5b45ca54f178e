package org.hollypick.control.machines;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.records.RecordSize;
import org.hollypick.store.CompareAndSwap;

/**
 * Removes machines from their records within one compare-and-swap, as far as its limits allow. Each rewritten record is
 * conditional on the revision that it is derived from. Confined to the event loop; used for one compare-and-swap only.
 */
final class MachineRecordShrinker {
    /** Maximum bytes of all values in one compare-and-swap: a quarter of the request body is left for the rest. */
    static final int MAX_VALUE_BYTES = NetworkConstants.MAX_BODY_BYTES * 3 / 4;

    private final StoreReplica replica;
    private final MachineRecordIndex index;
    private final Settings settings;
    private final CompareAndSwap compareAndSwap;
    private final int maxWrites;
    private final BiConsumer<String, JsonNode> onCopyRequired;
    /** Keys of the records that are rewritten or deleted in the compare-and-swap. */
    private final Set<String> changedKeys = new HashSet<>();
    /** Keys of the records that must wait for a later compare-and-swap. */
    private final Set<String> postponedKeys = new HashSet<>();

    private int valueBytesWritten;

    /**
     * Creates a shrinker for one compare-and-swap.
     *
     * @param maxWrites the maximum number of writes in the compare-and-swap, including those already in it
     * @param onCopyRequired receives the id and encoded form of each machine that must be copied into another record
     *     before its present record can be deleted
     */
    MachineRecordShrinker(
            StoreReplica replica,
            MachineRecordIndex index,
            Settings settings,
            CompareAndSwap compareAndSwap,
            int maxWrites,
            BiConsumer<String, JsonNode> onCopyRequired) {
        this.replica = replica;
        this.index = index;
        this.settings = settings;
        this.compareAndSwap = compareAndSwap;
        this.maxWrites = maxWrites;
        this.onCopyRequired = onCopyRequired;
        this.valueBytesWritten = compareAndSwap.writeCount() * settings.valueBytes();
    }

    /** Removes the machines; returns those that no record contains any more once the compare-and-swap is committed. */
    Set<String> removeMachines(Set<String> machineIds) {
        Set<String> removed = new HashSet<>();
        for (String machineId : machineIds) {
            boolean removedFromAll = true;
            for (String key : index.keysOf(machineId)) {
                removedFromAll &= removeFromRecord(machineId, key, machineIds);
            }
            if (removedFromAll) {
                removed.add(machineId);
            }
        }
        return removed;
    }

    /**
     * Removes machines from a record; returns whether the record lacks {@code machineId} after the compare-and-swap.
     */
    private boolean removeFromRecord(String machineId, String key, Set<String> machineIds) {
        StoreReplica.Entry entry = replica.get(key);
        if (entry == null || postponedKeys.contains(key)) {
            return false; // without an entry, the record was written but isn't in the replica yet
        }
        if (!entry.data().has(machineId) || changedKeys.contains(key)) {
            return true;
        }
        ObjectNode remaining = entry.data().deepCopy();
        remaining.remove(machineIds);
        return rewrite(key, entry.revision(), remaining);
    }

    /**
     * Rewrites a record without the removed machines, or deletes it if it is empty or too large to be written.
     *
     * @return false if the record must wait for a later compare-and-swap
     */
    private boolean rewrite(String key, long revision, ObjectNode remaining) {
        int bytes = RecordSize.encodedBytes(remaining);
        boolean tooLarge = bytes > RecordSize.maxBytes(settings);
        if (compareAndSwap.writeCount() >= maxWrites
                || valueBytesWritten + bytes > MAX_VALUE_BYTES
                || (tooLarge && !areAllInOtherRecords(remaining, key))) {
            postponedKeys.add(key);
            return false;
        }
        valueBytesWritten += bytes;
        changedKeys.add(key);
        compareAndSwap.expectRevision(key, revision);
        if (remaining.isEmpty() || tooLarge) {
            compareAndSwap.delete(key);
        } else {
            compareAndSwap.put(key, remaining);
        }
        return true;
    }

    /** Whether other records contain all machines of a record that is too large; requests copies of those missing. */
    private boolean areAllInOtherRecords(ObjectNode machines, String tooLargeKey) {
        boolean allInOtherRecords = true;
        for (Map.Entry<String, JsonNode> machine : machines.properties()) {
            boolean inOtherRecord = false;
            boolean inPendingRecord = false;
            for (String key : index.keysOf(machine.getKey())) {
                StoreReplica.Entry entry = replica.get(key);
                inPendingRecord |= entry == null; // the record was written but isn't in the replica yet
                inOtherRecord |= !key.equals(tooLargeKey) && isRewritable(entry);
            }
            allInOtherRecords &= inOtherRecord;
            if (!inOtherRecord && !inPendingRecord) {
                onCopyRequired.accept(machine.getKey(), machine.getValue());
            }
        }
        return allInOtherRecords;
    }

    private boolean isRewritable(StoreReplica.Entry entry) {
        return entry != null && RecordSize.encodedBytes(entry.data()) <= RecordSize.maxBytes(settings);
    }
}
