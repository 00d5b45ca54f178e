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
 * Evicts services from machines that aren't needed. Services end one by one and leave every machine partly used, none
 * empty. While there are more on-demand machines than needed those with the fewest replicas in a zone are emptied: each
 * replica that has run for a while moves to a machine of the zone that has capacity and holds its image, so it is only
 * down for an exchange of commands.
 */
final class ReplicaMover {
    private final Collection<Machine> machines;
    private final long now;
    private final List<Assignment> moves = new ArrayList<>();

    private ReplicaMover(Collection<Machine> machines, long now) {
        this.machines = machines;
        this.now = now;
    }

    /** The replicas to stop now, so that they start elsewhere; marks the machines that are emptied now or next. */
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
        double evictable = excessCores / AutoscalingConstants.MOVE_MARGIN;
        double excess = excessCores;
        for (Machine machine : emptiestFirst(zone)) {
            double cores = machine.type.cpus();
            evictable -= cores; // also for those that are empty already and are about to be terminated
            excess -= cores;
            boolean evicting = evictable >= 0 && machine.serviceCpus() > 0;
            boolean evictedNext =
                    !evicting && excess >= 0 && cores <= allServiceCores * AutoscalingConstants.DRAINED_NEXT_SHARE;
            machine.planEviction(evicting, evictedNext);
            if (evicting) {
                moveReplicas(machine);
            }
        }
    }

    /**
     * The usable on-demand machines of a zone: those already being emptied, then those with the fewest service cores.
     */
    private List<Machine> emptiestFirst(String zone) {
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
            if (moves.size() < AutoscalingConstants.MAX_MOVES
                    && assignment.job.spec.service()
                    && !assignment.stopRequested()
                    && assignment.state() == Assignment.State.RUNNING
                    && now - assignment.runningAt() > AutoscalingConstants.MOVE_AFTER_MS
                    && MachineSelector.canMove(assignment, machines, now)) {
                moves.add(assignment);
            }
        }
    }
}
