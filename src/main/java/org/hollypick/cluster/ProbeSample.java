package org.hollypick.cluster;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.config.constants.ElectionConstants;

/** Selects the machines that a candidate probes: some of each zone, varied by a seed. Pure, any thread. */
final class ProbeSample {
    private ProbeSample() {}

    /**
     * Returns the addresses of the selected machines by their names.
     *
     * @param seed varies the selection, for example the current time
     */
    static Map<String, String> choose(StoreReplica replica, long seed) {
        Map<String, String> addressByMachine = new LinkedHashMap<>();
        for (List<RegisteredMachine> machines : machinesByZone(replica).values()) {
            int count = Math.min(machines.size(), ElectionConstants.CANDIDACY_PROBED_MACHINES);
            long first = Math.floorMod(seed, (long) machines.size());
            for (int i = 0; i < count; i++) {
                long index = (first + (long) i * machines.size() / count) % machines.size();
                RegisteredMachine machine = machines.get((int) index);
                addressByMachine.put(machine.id(), machine.address());
            }
        }
        return addressByMachine;
    }

    private static Map<String, List<RegisteredMachine>> machinesByZone(StoreReplica replica) {
        Map<String, List<RegisteredMachine>> machinesByZone = new LinkedHashMap<>();
        replica.entries().forEach((key, entry) -> {
            if (!key.startsWith(StoreKeys.MACHINES)) {
                return;
            }
            for (RegisteredMachine machine : ClusterRecordCodec.readMachines(entry.data())) {
                if (!machine.address().isEmpty()) {
                    machinesByZone
                            .computeIfAbsent(machine.zone(), zone -> new ArrayList<>())
                            .add(machine);
                }
            }
        });
        return machinesByZone;
    }
}
