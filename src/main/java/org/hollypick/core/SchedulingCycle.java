package org.hollypick.core;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.placement.MachineSelector;

/**
 * Decides which pending tasks start on which machines: the order of the jobs in the two Tyrex partitions, and which
 * machines a partition lends to the other. Times are milliseconds of the event loop's clock. Confined to the event
 * loop.
 */
final class SchedulingCycle {
    private static final Comparator<Job> ARRIVAL_ORDER =
            (a, b) -> Long.compareUnsigned(a.arrivalRevision, b.arrivalRevision);
    /**
     * Exception to the design (docs/design.md, "rank before arrival" and "rank of those that need it"): jobs are
     * ordered by priority, and by arrival only within the same priority.
     */
    private static final Comparator<Job> SCHEDULING_ORDER =
            Comparator.<Job, JobSpec.Priority>comparing(job -> job.priority()).thenComparing(ARRIVAL_ORDER);

    private final Scheduler scheduler;
    private final MachinePartitions partitions;
    private final ServiceQuotaReservation quotaReservation;
    /** Jobs of the first partition that had pending tasks in the last full cycle, in scheduling order. */
    private List<Job> firstPartitionJobs = List.of();
    /** Jobs of the second partition that had pending tasks in the last full cycle, in scheduling order. */
    private List<Job> secondPartitionJobs = List.of();
    /**
     * Number of {@link #scheduleOn} calls on a machine that accepts tasks while jobs were pending; counted only if
     * there are several teams.
     */
    private int singleMachineCycles;
    /** Cores of all services, as of the last full cycle. */
    private double allServiceCpus;

    /** @param firstPartitionShare the share of the machines in the first partition, from 0 to 1 */
    SchedulingCycle(Scheduler scheduler, double firstPartitionShare) {
        this.scheduler = scheduler;
        this.partitions = new MachinePartitions(scheduler, firstPartitionShare);
        this.quotaReservation = new ServiceQuotaReservation(scheduler.quotas());
    }

    // ---- cycles ----

    /** Runs a full cycle: schedules all pending tasks on all machines. */
    void run(long now) {
        partitions.rebalance();
        collectPendingJobs();
        if (firstPartitionJobs.isEmpty() && secondPartitionJobs.isEmpty()) {
            scheduler.quotas().usage().clearReservations();
            return;
        }
        partitions.countIdleMachines();
        List<Machine> firstPartitionMachines = new ArrayList<>();
        List<Machine> secondPartitionMachines = new ArrayList<>();
        List<Machine> machines = new ArrayList<>();
        allServiceCpus = 0;
        for (Machine machine : scheduler.machines()) {
            allServiceCpus += machine.serviceCpus();
            if (MachineSelector.acceptsTasks(machine, now)) {
                machines.add(machine);
                (machine.isInFirstPartition() ? firstPartitionMachines : secondPartitionMachines).add(machine);
            }
        }
        quotaReservation.renew(secondPartitionJobs, machines, allServiceCpus, now);
        for (Job job : secondPartitionJobs) {
            if (job.spec.service()) {
                placeService(job, machines, now);
            } else {
                placeArray(job, secondPartitionMachines, firstPartitionMachines, true, now);
            }
        }
        for (Job job : firstPartitionJobs) {
            placeArray(job, firstPartitionMachines, secondPartitionMachines, false, now);
        }
    }

    /**
     * Collects the jobs with pending tasks, in scheduling order. Until reconciliation is complete, these are only the
     * jobs created in this term: tasks of earlier jobs may be running on machines without this leader's knowledge.
     */
    private void collectPendingJobs() {
        firstPartitionJobs = new ArrayList<>();
        secondPartitionJobs = new ArrayList<>();
        boolean reconciliationComplete = scheduler.reconciliationComplete();
        for (Job job : scheduler.jobs()) {
            if (job.hasPendingTasks() && (reconciliationComplete || job.createdUnderToken == scheduler.token())) {
                (job.inSecondPartition() ? secondPartitionJobs : firstPartitionJobs).add(job);
            }
        }
        firstPartitionJobs.sort(SCHEDULING_ORDER);
        secondPartitionJobs.sort(SCHEDULING_ORDER);
    }

    /**
     * Schedules jobs of the last full cycle on a single machine whose capacity became free: services first, then the
     * array jobs of the machine's own partition, then those of the other partition.
     */
    void scheduleOn(Machine machine, long now) {
        if (!MachineSelector.acceptsTasks(machine, now)
                || (firstPartitionJobs.isEmpty() && secondPartitionJobs.isEmpty())) {
            return;
        }
        List<Machine> single = List.of(machine);
        boolean inArrivalOrder = scheduler.quotas().hasMultipleTeams()
                && ++singleMachineCycles % SchedulingConstants.ARRIVAL_ORDER_MACHINE_INTERVAL == 0;
        List<Job> first = inArrivalOrder ? inArrivalOrder(firstPartitionJobs) : firstPartitionJobs;
        List<Job> second = inArrivalOrder ? inArrivalOrder(secondPartitionJobs) : secondPartitionJobs;
        for (Job job : secondPartitionJobs) {
            if (job.hasPendingTasks() && job.spec.service()) {
                placeService(job, single, now);
            }
        }
        if (machine.isInFirstPartition()) {
            partitions.countIdleMachines();
            first.forEach(job -> placeArray(job, single, List.of(), false, now));
            second.forEach(job -> placeArray(job, List.of(), single, true, now));
        } else {
            second.forEach(job -> placeArray(job, single, List.of(), true, now));
            first.forEach(job -> placeArray(job, List.of(), single, false, now));
        }
    }

    /** Returns the jobs in the order of the Tyrex paper, which has no priorities. */
    private static List<Job> inArrivalOrder(List<Job> jobs) {
        List<Job> sorted = new ArrayList<>(jobs);
        sorted.sort(ARRIVAL_ORDER);
        return sorted;
    }

    // ---- services ----

    /**
     * Exception to the design (docs/design.md, "production first"): services prefer machines that have their image, and
     * preempt tasks of lower priority on any machine.
     */
    private void placeService(Job job, List<Machine> machines, long now) {
        for (int index = nextStartableTask(job, 0, now); index >= 0; index = nextStartableTask(job, index + 1, now)) {
            MachineSelector.Placement placement = MachineSelector.chooseForService(job, machines, allServiceCpus, now);
            if (placement == null) {
                return;
            }
            placement.victims().forEach(victim -> scheduler.assignments().stop(victim, 0));
            start(job, index, placement.machine(), now);
            scheduler.quotas().usage().reserve(job.spec, -1);
        }
    }

    // ---- arrays ----

    /**
     * Starts as many tasks of an array job as possible, on machines of its own partition before those of the other one.
     *
     * @param reserveIdleMachines whether the other partition lends only machines that it needn't keep idle
     */
    private void placeArray(
            Job job, List<Machine> ownMachines, List<Machine> otherMachines, boolean reserveIdleMachines, long now) {
        if (job.spec.service()) {
            return;
        }
        Set<JobSpec> specsWithoutCapacity = Set.of();
        int index = nextStartableTask(job, 0, now);
        while (index >= 0) {
            JobSpec spec = job.spec(index);
            Machine machine = null;
            if (!specsWithoutCapacity.contains(spec)) {
                machine = chooseMachine(job, spec, ownMachines, otherMachines, reserveIdleMachines, now);
            }
            if (machine != null) {
                index = fill(machine, job, index, now);
            } else if (job.isHeterogeneous()) {
                // Tasks with another specification may fit.
                specsWithoutCapacity = withAdded(specsWithoutCapacity, spec);
                index = nextStartableTask(job, index + 1, now);
            } else {
                return;
            }
        }
    }

    /** Adds to a set that compares by identity, and returns it; an empty set is replaced by a new mutable one. */
    private static Set<JobSpec> withAdded(Set<JobSpec> specs, JobSpec spec) {
        Set<JobSpec> extended = specs.isEmpty() ? Collections.newSetFromMap(new IdentityHashMap<>()) : specs;
        extended.add(spec);
        return extended;
    }

    /** @return null if no machine has capacity for such a task */
    private Machine chooseMachine(
            Job job,
            JobSpec spec,
            List<Machine> ownMachines,
            List<Machine> otherMachines,
            boolean reserveIdleMachines,
            long now) {
        Machine own = MachineSelector.chooseForArray(job, spec, ownMachines, now);
        if (own != null) {
            return own;
        }
        return MachineSelector.chooseForArray(
                job, spec, reserveIdleMachines ? partitions.lendableMachines(otherMachines) : otherMachines, now);
    }

    /**
     * Starts tasks on the machine, from {@code index} on, until it is full or the next task has another specification.
     * No other machine needs to be considered for these tasks: each task makes the machine a better choice for the next
     * one, since the image is there or being fetched, and arrays are packed tightly.
     *
     * @return the next task that may start now, or -1
     */
    private int fill(Machine machine, Job job, int index, long now) {
        JobSpec spec = job.spec(index);
        int next = index;
        do {
            start(job, next, machine, now);
            next = nextStartableTask(job, next + 1, now);
        } while (next >= 0
                && job.spec(next) == spec
                && machine.hasRoom(spec)
                && MachineSelector.acceptsTasks(machine, now)
                && MachineSelector.isAllowed(job, spec, machine));
        return next;
    }

    // ---- tasks ----

    private void start(Job job, int index, Machine machine, long now) {
        partitions.recordTaskStart(machine);
        scheduler.assignments().start(job, index, machine, now);
    }

    /**
     * Returns the first task from index {@code from} on that may start now: pending, past its retry delay, and within
     * its team's limit. A job whose tasks fail on several machines runs one task at a time.
     *
     * @return -1 if there is none
     */
    private int nextStartableTask(Job job, int from, long now) {
        if (!job.hasPendingTasks() || (job.failsEverywhere() && !job.assignments.isEmpty())) {
            return -1;
        }
        // The specifications last checked against the limit; tasks with equal specifications share one object.
        JobSpec specOverLimit = null;
        JobSpec specWithinLimit = null;
        for (int i = job.pendingTasks.nextSetBit(from); i >= 0; i = job.pendingTasks.nextSetBit(i + 1)) {
            JobSpec spec = job.spec(i);
            if (spec != specWithinLimit && spec != specOverLimit) {
                if (scheduler.quotas().withinLimit(spec)) {
                    specWithinLimit = spec;
                } else if (job.isHeterogeneous()) {
                    specOverLimit = spec;
                } else {
                    return -1;
                }
            }
            if (spec == specWithinLimit && job.retryNotBefore.get(i) <= now) {
                return i;
            }
        }
        return -1;
    }
}
