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
     * Marks the least used machines as surplus and all others as needed. Job arrays prefer other machines to surplus
     * ones, so that these become idle and can be terminated.
     *
     * @param spareOnDemandCores on-demand cores that services don't need, by zone
     * @param surplusCores cores that aren't needed
     * @return cores that aren't needed beside those of the marked machines
     */
    static double markSurplus(
            Collection<Machine> machines, Map<String, Double> spareOnDemandCores, double surplusCores) {
        Map<String, Double> spareByZone = new HashMap<>(spareOnDemandCores);
        double remainingCores = surplusCores;
        List<Machine> leastUsedFirst = new ArrayList<>(machines);
        leastUsedFirst.sort(Comparator.comparingDouble(machine -> machine.usedCpus() / machine.type.cpus()));
        for (Machine machine : leastUsedFirst) {
            double cores = machine.type.cpus();
            double zoneSpare = spareByZone.getOrDefault(machine.zone, 0.0);
            machine.setSurplus(machine.schedulable()
                    && machine.serviceCpus() <= 0
                    && remainingCores >= cores
                    && (machine.spot || zoneSpare >= cores));
            if (machine.isSurplus()) {
                remainingCores -= cores;
                if (!machine.spot) {
                    spareByZone.put(machine.zone, zoneSpare - cores);
                }
            }
        }
        return remainingCores;
    }

    /**
     * The machines to terminate: idle ones that are faulty, whatever the spare capacity, and then those that exceeded
     * their idle timeout, the highest price per core first, while there is spare capacity.
     *
     * @param spareOnDemandCores on-demand cores that services don't need, by zone
     * @param spareArrayCores cores that job arrays don't need
     */
    List<Machine> machinesToTerminate(
            Collection<Machine> machines, Map<String, Double> spareOnDemandCores, double spareArrayCores, long now) {
        List<Machine> terminated = new ArrayList<>();
        List<Machine> idleTooLong = new ArrayList<>();
        for (Machine machine : machines) {
            if (machine.isScalingIn() || !machine.reconciled() || !machine.idle()) {
                continue;
            }
            if (machine.faults.isQuarantined()) {
                terminated.add(machine);
            } else if (hasExceededIdleTimeout(machine, now)) {
                idleTooLong.add(machine);
            }
        }
        idleTooLong.sort(Comparator.comparingDouble(machine -> -pricePerCore(machine)));
        double remainingCores = spareArrayCores;
        Map<String, Double> spareByZone = new HashMap<>(spareOnDemandCores);
        for (Machine machine : idleTooLong) {
            double cores = machine.type.cpus();
            double zoneSpare = spareByZone.getOrDefault(machine.zone, 0.0);
            if (remainingCores >= cores && (machine.spot || zoneSpare >= cores)) {
                remainingCores -= cores;
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
        return machine.spot && !machine.isSurplus()
                ? operator.idleSpotTimeoutMs()
                : AutoscalingConstants.IDLE_ON_DEMAND_TIMEOUT_MS;
    }

    private static double pricePerCore(Machine machine) {
        return (machine.spot ? machine.type.spotPricePerHour() : machine.type.pricePerHour()) / machine.type.cpus();
    }
}
