package org.hollypick.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.placement.MachineSelector;

/**
 * Plans the eviction of on-demand machines that aren't needed: the service replicas on an evicted machine are moved to
 * others, so that the machine becomes idle and can be terminated. Without evictions, services would end one at a time
 * and leave every machine partly used and none idle. While a zone has more on-demand machines than needed, those with
 * the fewest service cores are evicted. Each replica that has run for a while moves to another machine of the zone that
 * has free resources and the replica's image already, so that the replica is only down while it is stopped and launched
 * again.
 */
final class ReplicaMover {
    private final Collection<Machine> machines;
    private final long now;
    private final List<Assignment> moves = new ArrayList<>();

    private ReplicaMover(Collection<Machine> machines, long now) {
        this.machines = machines;
        this.now = now;
    }

    /**
     * Returns the replicas to stop now, so that they start on other machines. Marks the machines that are evicted now,
     * and those that are evicted next.
     *
     * @param spareOnDemandCores on-demand cores that services don't need, by zone
     * @param surplusCores cores that aren't needed; limits the excess of each zone
     */
    static List<Assignment> plan(
            Collection<Machine> machines, Map<String, Double> spareOnDemandCores, double surplusCores, long now) {
        ReplicaMover mover = new ReplicaMover(machines, now);
        double allServiceCores =
                machines.stream().mapToDouble(Machine::serviceCpus).sum();
        spareOnDemandCores.forEach(
                (zone, spare) -> mover.planZone(zone, Math.min(spare, surplusCores), allServiceCores));
        return mover.moves;
    }

    private void planZone(String zone, double excessCores, double allServiceCores) {
        double evictableCores = excessCores / AutoscalingConstants.EXCESS_TO_EVICTED_CAPACITY_RATIO;
        double remainingExcessCores = excessCores;
        for (Machine machine : fewestServiceCoresFirst(zone)) {
            double cores = machine.type.cpus();
            evictableCores -= cores; // machines without services count too: they are about to be terminated
            remainingExcessCores -= cores;
            boolean evicting = evictableCores >= 0 && machine.serviceCpus() > 0;
            boolean evictedNext = !evicting
                    && remainingExcessCores >= 0
                    && cores <= allServiceCores * AutoscalingConstants.MAX_EVICTED_NEXT_MACHINE_SHARE;
            machine.planEviction(evicting, evictedNext);
            if (evicting) {
                moveReplicas(machine);
            }
        }
    }

    /**
     * The on-demand machines of a zone that are being evicted, followed by the schedulable ones with the fewest service
     * cores first.
     */
    private List<Machine> fewestServiceCoresFirst(String zone) {
        List<Machine> candidates = new ArrayList<>();
        for (Machine machine : machines) {
            if (!machine.spot && machine.zone.equals(zone) && (machine.isEvicting() || machine.schedulable())) {
                candidates.add(machine);
            }
        }
        candidates.sort(Comparator.comparingDouble((Machine machine) -> machine.isEvicting() ? 0 : 1)
                .thenComparingDouble(Machine::serviceCpus));
        return candidates;
    }

    private void moveReplicas(Machine machine) {
        for (Assignment assignment : machine.liveAssignments()) {
            if (moves.size() < AutoscalingConstants.MAX_MOVES_PER_CYCLE
                    && assignment.job.spec.service()
                    && !assignment.stopRequested()
                    && assignment.state() == Assignment.State.RUNNING
                    && now - assignment.runningAt() > AutoscalingConstants.MIN_RUN_TIME_BEFORE_MOVE_MS
                    && MachineSelector.canMove(assignment, machines, now)) {
                moves.add(assignment);
            }
        }
    }
}
