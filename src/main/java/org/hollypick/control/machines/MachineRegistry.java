package org.hollypick.control.machines;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.records.MachineRecordCodec;
import org.hollypick.records.RecordSize;
import org.hollypick.store.CommitResult;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Stores the list of machines durably, many machines per record, since the store allows few changes per second. A
 * record is created once, under a key that was never used, and then only shrinks; each write is conditional on the
 * revision that it is derived from. A write that the store applies late can therefore neither restore a removed machine
 * nor remove one that was added later. A record that became too large to be written, because the store's limits were
 * tightened, is deleted once other records contain its machines. Confined to the event loop.
 */
public final class MachineRegistry {
    private static final Logger LOG = LoggerFactory.getLogger(MachineRegistry.class);

    /** Bytes that a machine takes in a record besides its id and value: two quotes, a colon and a comma. */
    private static final int SEPARATOR_BYTES = 4;
    /** Bytes of the braces around a record. */
    private static final int BRACE_BYTES = 2;

    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final long token;
    private final Predicate<String> isTerminated;
    private final MachineRecordIndex index = new MachineRecordIndex();

    private final Map<String, Machine> machinesToAdd = new LinkedHashMap<>();
    /** Encoded machines, by id, to copy into another record because their present one is too large to be rewritten. */
    private final Map<String, JsonNode> encodedMachinesToCopy = new LinkedHashMap<>();

    private final Set<String> machineIdsToRemove = new LinkedHashSet<>();
    /** Number of records created in this term; part of the next record's key, which makes keys unique. */
    private long recordsCreated;

    private boolean writeInFlight;
    private long nextWriteAt;

    /**
     * Creates the registry of one term.
     *
     * @param token the fencing token on which every write is conditional
     * @param isTerminated whether the machine with the given id is terminated
     */
    public MachineRegistry(
            EventLoop eventLoop,
            StoreReplica replica,
            KeyValueStoreClient store,
            Settings settings,
            long token,
            Predicate<String> isTerminated) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.store = store;
        this.settings = settings;
        this.token = token;
        this.isTerminated = isTerminated;
    }

    /** Indexes the stored records, and passes the id and encoded form of each stored machine to the consumer once. */
    public void loadMachines(BiConsumer<String, JsonNode> machineConsumer) {
        List<String> keys = replica.entries().keySet().stream()
                .filter(key -> key.startsWith(StoreKeys.MACHINES))
                .toList();
        recordsChanged(keys);
        Set<String> loaded = new HashSet<>();
        for (String key : keys) {
            replica.get(key).data().fields().forEachRemaining(machine -> {
                if (loaded.add(machine.getKey())) {
                    machineConsumer.accept(machine.getKey(), machine.getValue());
                }
            });
        }
    }

    /**
     * Updates the index after records were written or deleted in the replica; ignores keys of other kinds of records.
     */
    public void recordsChanged(Collection<String> keys) {
        for (String key : keys) {
            if (!key.startsWith(StoreKeys.MACHINES)) {
                continue;
            }
            StoreReplica.Entry entry = replica.get(key);
            if (entry == null) {
                index.removeKey(key);
                continue;
            }
            entry.data().fieldNames().forEachRemaining(machineId -> {
                index.add(machineId, key);
                if (isTerminated.test(machineId)) {
                    machineIdsToRemove.add(machineId); // a write whose outcome was unknown was applied after all
                }
            });
        }
    }

    /** Schedules the machine to be recorded by a later {@link #flush}. */
    public void add(Machine machine) {
        machinesToAdd.put(machine.id, machine);
    }

    /** Schedules a terminated machine to be removed from the records by a later {@link #flush}. */
    public void remove(String machineId) {
        machinesToAdd.remove(machineId);
        encodedMachinesToCopy.remove(machineId);
        machineIdsToRemove.add(machineId);
    }

    /**
     * Writes the scheduled additions and removals, with one compare-and-swap in flight at a time; {@code onRegistered}
     * receives the machines whose records have become durable.
     */
    public void flush(Consumer<List<Machine>> onRegistered) {
        boolean nothingToWrite =
                machinesToAdd.isEmpty() && encodedMachinesToCopy.isEmpty() && machineIdsToRemove.isEmpty();
        if (writeInFlight || nothingToWrite || eventLoop.now() < nextWriteAt) {
            return;
        }
        CompareAndSwap compareAndSwap = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, token);
        Map<String, String> addedKeys = createRecords(compareAndSwap, encodedMachinesToAdd());
        List<Machine> added = new ArrayList<>();
        addedKeys.keySet().forEach(machineId -> {
            if (machinesToAdd.containsKey(machineId)) {
                added.add(machinesToAdd.get(machineId));
            }
        });
        Set<String> removed = removeMachines(compareAndSwap);
        if (compareAndSwap.writeCount() == 0) {
            return;
        }
        writeInFlight = true;
        nextWriteAt = eventLoop.now() + ReconcileConstants.REGISTRY_WRITE_GAP_MS;
        store.commit(compareAndSwap, result -> {
            writeInFlight = false;
            if (result.committed()) {
                applyCommittedWrite(addedKeys, removed);
                onRegistered.accept(added);
            } else {
                logRejection(result, compareAndSwap, addedKeys.size());
            }
        });
    }

    private void applyCommittedWrite(Map<String, String> addedKeys, Set<String> removed) {
        addedKeys.forEach((machineId, key) -> {
            machinesToAdd.remove(machineId);
            encodedMachinesToCopy.remove(machineId);
            index.add(machineId, key);
        });
        machineIdsToRemove.removeAll(removed);
        index.removeMachines(removed);
    }

    private static void logRejection(CommitResult result, CompareAndSwap compareAndSwap, int machineCount) {
        if (result.invalid()) {
            LOG.error("machine_record.rejected writes={} machines={}", compareAndSwap.writeCount(), machineCount);
        }
    }

    private Map<String, JsonNode> encodedMachinesToAdd() {
        Map<String, JsonNode> encodedMachines = new LinkedHashMap<>();
        machinesToAdd.forEach(
                (machineId, machine) -> encodedMachines.put(machineId, MachineRecordCodec.encode(machine)));
        encodedMachinesToCopy.forEach(encodedMachines::putIfAbsent);
        return encodedMachines;
    }

    /** Adds new records for as many machines as the limits allow; returns the record's key by machine id. */
    private Map<String, String> createRecords(CompareAndSwap compareAndSwap, Map<String, JsonNode> encodedMachines) {
        Map<String, String> keys = new HashMap<>();
        ObjectNode record = null;
        String key = null;
        int freeBytes = 0;
        for (Map.Entry<String, JsonNode> machine : encodedMachines.entrySet()) {
            int bytes = RecordSize.encodedBytes(machine.getValue())
                    + machine.getKey().length()
                    + SEPARATOR_BYTES;
            if (freeBytes < bytes) {
                if (!canAddRecord(compareAndSwap)) {
                    break;
                }
                record = Codec.object();
                key = StoreKeys.machines(settings.node(), token, recordsCreated++);
                compareAndSwap.expectAbsent(key).put(key, record);
                freeBytes = RecordSize.maxBytes(settings) - BRACE_BYTES;
            }
            record.set(machine.getKey(), machine.getValue());
            keys.put(machine.getKey(), key);
            freeBytes -= bytes;
        }
        return keys;
    }

    private boolean canAddRecord(CompareAndSwap compareAndSwap) {
        int writes = compareAndSwap.writeCount();
        return writes != settings.txnOps()
                && (writes + 1) * settings.valueBytes() <= MachineRecordShrinker.MAX_VALUE_BYTES;
    }

    /** Removes machines from records; returns those that no record contains after the compare-and-swap is committed. */
    private Set<String> removeMachines(CompareAndSwap compareAndSwap) {
        int spareWrites = store.hasSpareWriteCapacity() ? StoreConstants.MAX_RECORD_SHRINKING_WRITES : 0;
        int maxWrites = Math.min(settings.txnOps(), compareAndSwap.writeCount() + spareWrites);
        return new MachineRecordShrinker(
                        replica, index, settings, compareAndSwap, maxWrites, encodedMachinesToCopy::putIfAbsent)
                .removeMachines(machineIdsToRemove);
    }
}
