package org.hollypick.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.assignment.Machine;

/**
 * Chooses the machines to terminate. On-demand machines are only terminated while their zone has spare on-demand cores,
 * so that services keep their capacity in each zone.
 */
final class ScaleInPlanner {
    private final OperatorSettings operator;

    ScaleInPlanner(OperatorSettings operator) {
        this.operator = operator;
    }

    /**
     * Marks machines as surplus, the emptiest first: job arrays leave them alone while there are others, so that they
     * empty and can be terminated.
     *
     * @param spareOnDemandCores by zone
     * @param surplusCores cores that are more than needed
     * @return cores that are more than needed beyond the marked machines
     */
    static double markSurplus(
            Collection<Machine> machines, Map<String, Double> spareOnDemandCores, double surplusCores) {
        Map<String, Double> spareByZone = new HashMap<>(spareOnDemandCores);
        double remaining = surplusCores;
        List<Machine> emptiestFirst = new ArrayList<>(machines);
        emptiestFirst.sort(Comparator.comparingDouble(machine -> machine.usedCpus() / machine.type.cpus()));
        for (Machine machine : emptiestFirst) {
            double cores = machine.type.cpus();
            double zoneSpare = spareByZone.getOrDefault(machine.zone, 0.0);
            machine.setSurplus(machine.schedulable()
                    && machine.serviceCpus() <= 0
                    && remaining >= cores
                    && (machine.spot || zoneSpare >= cores));
            if (machine.isSurplus()) {
                remaining -= cores;
                if (!machine.spot) {
                    spareByZone.put(machine.zone, zoneSpare - cores);
                }
            }
        }
        return remaining;
    }

    /** Faulty machines that are idle, and machines that were idle for long, the most expensive cores first. */
    List<Machine> machinesToTerminate(
            Collection<Machine> machines, Map<String, Double> spareOnDemandCores, double spareArrayCores, long now) {
        List<Machine> terminated = new ArrayList<>();
        List<Machine> expendable = new ArrayList<>();
        for (Machine machine : machines) {
            if (machine.isScalingIn() || !machine.reconciled() || !machine.idle()) {
                continue;
            }
            if (machine.faults.isQuarantined()) {
                terminated.add(machine);
            } else if (hasExceededIdleTimeout(machine, now)) {
                expendable.add(machine);
            }
        }
        expendable.sort(Comparator.comparingDouble(machine -> -pricePerCore(machine)));
        double remaining = spareArrayCores;
        Map<String, Double> spareByZone = new HashMap<>(spareOnDemandCores);
        for (Machine machine : expendable) {
            double cores = machine.type.cpus();
            double zoneSpare = spareByZone.getOrDefault(machine.zone, 0.0);
            if (remaining >= cores && (machine.spot || zoneSpare >= cores)) {
                remaining -= cores;
                if (!machine.spot) {
                    spareByZone.put(machine.zone, zoneSpare - cores);
                }
                terminated.add(machine);
            }
        }
        return terminated;
    }

    private boolean hasExceededIdleTimeout(Machine machine, long now) {
        return machine.heartbeatReceived()
                && !machine.draining()
                && now - machine.idleSince() > idleTimeoutMillis(machine);
    }

    private long idleTimeoutMillis(Machine machine) {
        return machine.spot && !machine.isSurplus() ? operator.idleMs() : AutoscalingConstants.IDLE_ON_DEMAND_MS;
    }

    private static double pricePerCore(Machine machine) {
        return (machine.spot ? machine.type.spotPricePerHour() : machine.type.pricePerHour()) / machine.type.cpus();
    }
}
