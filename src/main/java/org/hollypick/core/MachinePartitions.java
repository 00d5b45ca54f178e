package org.hollypick.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.assignment.Machine;

/**
 * Divides the machines into the two Tyrex partitions: keeps the first one at its share, and counts its idle machines,
 * which determine what it may lend to jobs of the second partition. Confined to the event loop.
 */
final class MachinePartitions {
    private final Scheduler scheduler;
    private final double firstPartitionShare;
    /** Number of schedulable machines in the first partition without tasks. */
    private int idleMachinesInFirst;

    /** @param firstPartitionShare the share of the schedulable machines in the first partition, from 0 to 1 */
    MachinePartitions(Scheduler scheduler, double firstPartitionShare) {
        this.scheduler = scheduler;
        this.firstPartitionShare = firstPartitionShare;
    }

    /**
     * Moves as few machines as necessary to give the first partition its share of the schedulable ones. Spot instances
     * are preferred for the first partition, since services can't use them.
     */
    void rebalance() {
        Collection<Machine> machines = scheduler.machines();
        int schedulable = 0;
        int inFirst = 0;
        for (Machine machine : machines) {
            if (machine.schedulable()) {
                schedulable++;
                inFirst += machine.isInFirstPartition() ? 1 : 0;
            } else {
                machine.setInFirstPartition(false);
            }
        }
        int targetInFirst = (int) Math.round(schedulable * firstPartitionShare);
        if (inFirst != targetInFirst) {
            moveMachines(machines, Math.abs(targetInFirst - inFirst), inFirst < targetInFirst);
        }
    }

    private static void moveMachines(Collection<Machine> machines, int count, boolean intoFirst) {
        List<Machine> candidates = new ArrayList<>();
        for (Machine machine : machines) {
            if (machine.schedulable() && machine.isInFirstPartition() != intoFirst) {
                candidates.add(machine);
            }
        }
        candidates.sort(Comparator.comparing((Machine machine) -> machine.spot == intoFirst ? 0 : 1)
                .thenComparing(machine -> machine.id));
        for (Machine machine : candidates.subList(0, Math.min(candidates.size(), count))) {
            machine.setInFirstPartition(intoFirst);
        }
    }

    /** Recounts the idle machines of the first partition. */
    void countIdleMachines() {
        idleMachinesInFirst = 0;
        for (Machine machine : scheduler.machines()) {
            idleMachinesInFirst += machine.isInFirstPartition() && machine.schedulable() && machine.idle() ? 1 : 0;
        }
    }

    /** To be called before a task starts on the machine, which then isn't idle any more. */
    void recordTaskStart(Machine machine) {
        idleMachinesInFirst -= machine.isInFirstPartition() && machine.idle() ? 1 : 0;
    }

    /**
     * Returns those of the first partition's machines that it may lend now: a machine is lent only if at least
     * {@link SchedulingConstants#MIN_IDLE_FIRST_PARTITION_MACHINES} other machines of the partition are idle.
     */
    List<Machine> lendableMachines(List<Machine> machines) {
        List<Machine> lendable = new ArrayList<>();
        for (Machine machine : machines) {
            int otherIdleMachines = idleMachinesInFirst - (machine.idle() ? 1 : 0);
            if (otherIdleMachines >= SchedulingConstants.MIN_IDLE_FIRST_PARTITION_MACHINES) {
                lendable.add(machine);
            }
        }
        return lendable;
    }
}
