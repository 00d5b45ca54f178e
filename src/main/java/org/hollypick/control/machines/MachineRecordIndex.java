package org.hollypick.control.machines;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Index of the machine records in the store: the keys of the records that contain each machine. Confined to the event
 * loop.
 */
final class MachineRecordIndex {
    private final Map<String, Set<String>> keysByMachine = new HashMap<>();

    /** Records that the machine is contained in the record under the key. */
    void add(String machineId, String key) {
        keysByMachine.computeIfAbsent(machineId, id -> new HashSet<>()).add(key);
    }

    /** Removes the key of a deleted record. */
    void removeKey(String key) {
        keysByMachine.values().forEach(keys -> keys.remove(key));
    }

    /** Removes machines that no record contains any more. */
    void removeMachines(Collection<String> machineIds) {
        machineIds.forEach(keysByMachine::remove);
    }

    /**
     * Returns the keys of the records that contain the machine; the replica may not contain all of these records yet.
     */
    Set<String> keysOf(String machineId) {
        return keysByMachine.getOrDefault(machineId, Set.of());
    }
}
