package org.hollypick.control.machines;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** The keys of the records that name each machine. Confined to the event loop. */
final class MachineRecordIndex {
    private final Map<String, Set<String>> keysByMachine = new HashMap<>();

    /** The record under the key names the machine. */
    void add(String machineId, String key) {
        keysByMachine.computeIfAbsent(machineId, id -> new HashSet<>()).add(key);
    }

    /** The record under the key is deleted. */
    void removeKey(String key) {
        keysByMachine.values().forEach(keys -> keys.remove(key));
    }

    /** No record names the machines any more. */
    void removeMachines(Collection<String> machineIds) {
        machineIds.forEach(keysByMachine::remove);
    }

    /** Keys of the records that name the machine; some may not be in the replica yet. */
    Set<String> keysOf(String machineId) {
        return keysByMachine.getOrDefault(machineId, Set.of());
    }
}
