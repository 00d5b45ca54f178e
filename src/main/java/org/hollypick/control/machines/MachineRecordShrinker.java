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
 * Removes machines from their records within one compare-and-swap, as far as it has room. Each rewritten record is
 * conditional on the revision that it was made from. Confined to the event loop; used for one compare-and-swap only.
 */
final class MachineRecordShrinker {
    /** Bytes of the values in one compare-and-swap at most: leaves room in the request for the rest. */
    static final int MAX_VALUE_BYTES = NetworkConstants.MAX_BODY_BYTES * 3 / 4;

    private final StoreReplica replica;
    private final MachineRecordIndex index;
    private final Settings settings;
    private final CompareAndSwap compareAndSwap;
    private final int maxWrites;
    private final BiConsumer<String, JsonNode> onCopyRequired;
    /** Keys of the records rewritten or deleted here. */
    private final Set<String> changedKeys = new HashSet<>();
    /** Keys of the records that have to wait for another compare-and-swap. */
    private final Set<String> postponedKeys = new HashSet<>();

    private int valueBytesWritten;

    /**
     * {@code maxWrites}: bound of the writes in the compare-and-swap, those that are in it already included;
     * {@code onCopyNeeded} gets machines, with their stored form, that need another record before theirs can go.
     */
    MachineRecordShrinker(
            StoreReplica replica,
            MachineRecordIndex index,
            Settings settings,
            CompareAndSwap compareAndSwap,
            int maxWrites,
            BiConsumer<String, JsonNode> onCopyNeeded) {
        this.replica = replica;
        this.index = index;
        this.settings = settings;
        this.compareAndSwap = compareAndSwap;
        this.maxWrites = maxWrites;
        this.onCopyRequired = onCopyNeeded;
        this.valueBytesWritten = compareAndSwap.writeCount() * settings.valueBytes();
    }

    /** Removes the machines; returns those that no record names any more once the compare-and-swap is done. */
    Set<String> removeMachines(Set<String> machineIds) {
        Set<String> removed = new HashSet<>();
        for (String machineId : machineIds) {
            boolean fromAll = true;
            for (String key : index.keysOf(machineId)) {
                fromAll &= removeFromRecord(machineId, key, machineIds);
            }
            if (fromAll) {
                removed.add(machineId);
            }
        }
        return removed;
    }

    /** Whether the record doesn't name the machine once the compare-and-swap is done. */
    private boolean removeFromRecord(String machineId, String key, Set<String> machineIds) {
        StoreReplica.Entry entry = replica.get(key);
        if (entry == null || postponedKeys.contains(key)) {
            return false; // without an entry: it is written, but the replica doesn't show it yet
        }
        if (!entry.data().has(machineId) || changedKeys.contains(key)) {
            return true;
        }
        ObjectNode remaining = entry.data().deepCopy();
        remaining.remove(machineIds);
        return rewrite(key, entry.revision(), remaining);
    }

    /** Whether the record could be rewritten; deletes one that names no machine, or is too large to be written. */
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

    /** Whether all machines of a record that is too large stand in others too; has those copied that don't. */
    private boolean areAllInOtherRecords(ObjectNode machines, String tooLargeKey) {
        boolean all = true;
        for (Map.Entry<String, JsonNode> machine : machines.properties()) {
            boolean elsewhere = false;
            boolean pending = false;
            for (String key : index.keysOf(machine.getKey())) {
                StoreReplica.Entry entry = replica.get(key);
                pending |= entry == null; // it is written, but the replica doesn't show it yet
                elsewhere |= !key.equals(tooLargeKey) && isRewritable(entry);
            }
            all &= elsewhere;
            if (!elsewhere && !pending) {
                onCopyRequired.accept(machine.getKey(), machine.getValue());
            }
        }
        return all;
    }

    private boolean isRewritable(StoreReplica.Entry entry) {
        return entry != null && RecordSize.encodedBytes(entry.data()) <= RecordSize.maxBytes(settings);
    }
}
