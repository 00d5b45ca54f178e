package org.hollypick.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.assignment.Machine;

/**
 * The cores of the machines that count as capacity, including those that are booting. A machine in a partitioned zone
 * counts, since most such machines will recover, but isn't runnable: no task can start on it before it recovers.
 * Confined to the event loop.
 */
final class CapacitySupply {
    private double spotCores;
    private double onDemandCores;
    private double runnableSpotCores;
    private final List<Machine> runnableMachines = new ArrayList<>();
    private final Map<String, Double> onDemandCoresByZone = new HashMap<>();
    private final Map<String, Double> runnableOnDemandCoresByZone = new HashMap<>();

    /** Adds up the machines that count as capacity, and passes each of them to {@code onCounted}. */
    static CapacitySupply of(
            Collection<Machine> machines, Set<String> partitionedZones, long now, Consumer<Machine> onCounted) {
        CapacitySupply supply = new CapacitySupply();
        for (Machine machine : machines) {
            if (counts(machine, partitionedZones, now)) {
                supply.add(machine, isRunnable(machine, partitionedZones));
                onCounted.accept(machine);
            }
        }
        return supply;
    }

    private static boolean counts(Machine machine, Set<String> partitionedZones, long now) {
        double maxBootMillis = AutoscalingConstants.SLOW_BOOT_RATIO * 1000 * machine.type.bootS();
        boolean isSlowToBoot = !machine.heartbeatReceived() && now - machine.createdAt > maxBootMillis;
        boolean isLost = machine.unreachable() && !partitionedZones.contains(machine.zone);
        return !machine.isScalingIn()
                && !machine.draining()
                && !machine.faults.isQuarantined()
                && !isSlowToBoot
                && !isLost;
    }

    /** Whether the machine can run tasks, now or once it has booted or was reconciled. */
    private static boolean isRunnable(Machine machine, Set<String> partitionedZones) {
        return !machine.unreachable() && !machine.awaitsHeartbeat() && !partitionedZones.contains(machine.zone);
    }

    private void add(Machine machine, boolean runnable) {
        double cores = machine.type.cpus();
        if (machine.spot) {
            spotCores += cores;
            runnableSpotCores += runnable ? cores : 0;
        } else {
            addOnDemand(machine.zone, cores, runnable);
        }
        if (runnable) {
            runnableMachines.add(machine);
        }
    }

    /** Adds on-demand cores, of machines that exist or that are about to be started, to the zone. */
    void addOnDemand(String zone, double cores, boolean runnable) {
        onDemandCoresByZone.merge(zone, cores, Double::sum);
        onDemandCores += cores;
        if (runnable) {
            runnableOnDemandCoresByZone.merge(zone, cores, Double::sum);
        }
    }

    /** Cores of the spot machines that count as capacity. */
    double spotCores() {
        return spotCores;
    }

    /** Cores of the on-demand machines that count as capacity. */
    double onDemandCores() {
        return onDemandCores;
    }

    /** Cores of the zone's on-demand machines that count as capacity. */
    double onDemandCores(String zone) {
        return onDemandCoresByZone.getOrDefault(zone, 0.0);
    }

    /** Cores of the runnable spot machines. */
    double runnableSpotCores() {
        return runnableSpotCores;
    }

    /** Cores of the zone's runnable on-demand machines. */
    double runnableOnDemandCores(String zone) {
        return runnableOnDemandCoresByZone.getOrDefault(zone, 0.0);
    }

    /** The machines that can run tasks, now or once they have booted or were reconciled. */
    List<Machine> runnableMachines() {
        return runnableMachines;
    }

    /** Cores of all machines that count as capacity. */
    double cores() {
        return spotCores + onDemandCores;
    }

    /** Cores of all runnable machines. */
    double runnableCores() {
        double cores = runnableSpotCores;
        for (double zoneCores : runnableOnDemandCoresByZone.values()) {
            cores += zoneCores;
        }
        return cores;
    }
}
