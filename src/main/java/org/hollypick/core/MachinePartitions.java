package org.hollypick.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.assignment.Machine;

/**
 * The two Tyrex partitions of the machines: keeps the first one at its share, and counts its idle machines, which
 * decide what it may lend to jobs of the second partition. Confined to the event loop.
 */
final class MachinePartitions {
    private final Scheduler scheduler;
    private final double firstPartitionShare;
    /** Schedulable machines of the first partition that hold nothing. */
    private int idleMachinesInFirst;

    /** @param firstPartitionShare the part of the schedulable machines that the first partition has, from 0 to 1 */
    MachinePartitions(Scheduler scheduler, double firstPartitionShare) {
        this.scheduler = scheduler;
        this.firstPartitionShare = firstPartitionShare;
    }

    /**
     * Moves as few machines as it takes to give the first partition its share of those that are schedulable: spot
     * instances first, since services can't use them.
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
        int wantedInFirst = (int) Math.round(schedulable * firstPartitionShare);
        if (inFirst != wantedInFirst) {
            moveMachines(machines, Math.abs(wantedInFirst - inFirst), inFirst < wantedInFirst);
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

    /** Counts the idle machines of the first partition anew. */
    void countIdleMachines() {
        idleMachinesInFirst = 0;
        for (Machine machine : scheduler.machines()) {
            idleMachinesInFirst += machine.isInFirstPartition() && machine.schedulable() && machine.idle() ? 1 : 0;
        }
    }

    /** A task is about to start on the machine, which is idle no longer. */
    void recordTaskStart(Machine machine) {
        idleMachinesInFirst -= machine.isInFirstPartition() && machine.idle() ? 1 : 0;
    }

    /**
     * Those of the first partition's machines that it may lend now: a machine that holds something, and an idle one
     * while {@link SchedulingConstants#FIRST_PARTITION_FREE_MACHINES} others are idle.
     */
    List<Machine> lendableMachines(List<Machine> machines) {
        List<Machine> lendable = new ArrayList<>();
        for (Machine machine : machines) {
            int otherIdleMachines = idleMachinesInFirst - (machine.idle() ? 1 : 0);
            if (otherIdleMachines >= SchedulingConstants.FIRST_PARTITION_FREE_MACHINES) {
                lendable.add(machine);
            }
        }
        return lendable;
    }
}
