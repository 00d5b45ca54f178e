package org.hollypick.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.placement.MachineSelector;

/** Which job goes where next: the two Tyrex partitions, their order and their lending. */
final class SchedulingCycle {
    /**
     * Exception to the design (docs/design.md, "rank before arrival" and "rank of those that need it"): arrival order
     * holds among jobs of one rank.
     */
    private static final Comparator<Job> ORDER = Comparator.<Job, JobSpec.Priority>comparing(j -> j.priority())
            .thenComparing((a, b) -> Long.compareUnsigned(a.arrivalRevision, b.arrivalRevision));

    private final Scheduler scheduler;
    private final double firstShare;
    /** Jobs that wait, by partition, as of the last pass; a job that began to wait since then asks for another pass. */
    private List<Job> firstJobs = List.of();

    private List<Job> secondJobs = List.of();
    /** Machines of the first partition that hold nothing. */
    private int idleFirst;
    /** Machines filled so far. */
    private int fills;
    /** When it was last looked which services wait for their team's limit alone. */
    private long reservedAt = -ReconcileConstants.FULL_SCHEDULING_CYCLE_MS;
    /** By team: how often its use had changed when that was last seen to change, and when that was. */
    private final Map<String, UseSeen> usesSeen = new HashMap<>();
    /** Cores of all services, as of the last pass. */
    private double allServices;

    private record UseSeen(long changes, long since) {}

    SchedulingCycle(Scheduler scheduler, double firstShare) {
        this.scheduler = scheduler;
        this.firstShare = firstShare;
    }

    /** Everything that waits, over all machines. */
    void run(long now) {
        partition();
        firstJobs = new ArrayList<>();
        secondJobs = new ArrayList<>();
        boolean settled = scheduler.reconciliationComplete();
        for (Job job : scheduler.jobs()) {
            if (job.hasPendingTasks() && (settled || job.createdUnderToken == scheduler.token())) {
                (job.inSecondPartition() ? secondJobs : firstJobs).add(job);
            }
        }
        if (firstJobs.isEmpty() && secondJobs.isEmpty()) {
            scheduler.quotas().usage().owesNothing();
            return;
        }
        firstJobs.sort(ORDER);
        secondJobs.sort(ORDER);
        countIdleFirst();
        List<Machine> firstMachines = new ArrayList<>();
        List<Machine> secondMachines = new ArrayList<>();
        List<Machine> usable = new ArrayList<>();
        allServices = 0;
        for (Machine m : scheduler.machines()) {
            allServices += m.serviceCpus();
            if (MachineSelector.takesTasks(m, now)) {
                usable.add(m);
                (m.inFirstPartition ? firstMachines : secondMachines).add(m);
            }
        }
        reserve(usable, now);
        for (Job job : secondJobs) {
            if (job.spec.service()) {
                placeService(job, usable, now);
            } else {
                place(job, secondMachines, firstMachines, true, now);
            }
        }
        for (Job job : firstJobs) {
            place(job, firstMachines, secondMachines, false, now);
        }
    }

    /**
     * The same for a single machine on which room came free: services, its own partition's jobs, then those it lends
     * to.
     */
    void scheduleOn(Machine m, long now) {
        if (!MachineSelector.takesTasks(m, now) || (firstJobs.isEmpty() && secondJobs.isEmpty())) {
            return;
        }
        List<Machine> one = List.of(m);
        boolean byArrival = scheduler.quotas().severalTeams() && ++fills % SchedulingConstants.ARRIVAL_ORDER_EVERY == 0;
        List<Job> first = byArrival ? byArrival(firstJobs) : firstJobs;
        List<Job> second = byArrival ? byArrival(secondJobs) : secondJobs;
        for (Job job : secondJobs) {
            if (job.hasPendingTasks() && job.spec.service()) {
                placeService(job, one, now);
            }
        }
        if (m.inFirstPartition) {
            countIdleFirst();
            first.forEach(job -> place(job, one, List.of(), false, now));
            second.forEach(job -> place(job, List.of(), one, true, now));
        } else {
            second.forEach(job -> place(job, one, List.of(), true, now));
            first.forEach(job -> place(job, List.of(), one, false, now));
        }
    }

    /** The order of the paper, which knows no ranks. */
    private static List<Job> byArrival(List<Job> jobs) {
        List<Job> list = new ArrayList<>(jobs);
        list.sort((a, b) -> Long.compareUnsigned(a.arrivalRevision, b.arrivalRevision));
        return list;
    }

    /**
     * Exception to the design (docs/design.md, "production first"): services go where their image is, and stop lower
     * work anywhere.
     */
    private void placeService(Job job, List<Machine> machines, long now) {
        for (int i = next(job, 0, now); i >= 0; i = next(job, i + 1, now)) {
            MachineSelector.Choice choice = MachineSelector.preempt(job, machines, allServices, now);
            if (choice == null) {
                return;
            }
            choice.victims().forEach(v -> scheduler.assignments().stop(v, 0));
            start(job, i, choice.machine(), now);
            scheduler.quotas().usage().owe(job.spec, -1);
        }
    }

    /**
     * Services whose team is at its limit, though there is room for them: arrays would take what comes free of the
     * limit on machines where services may not go, for as long as any wait. Looked at once a second, by one service of
     * each team.
     */
    private void reserve(List<Machine> usable, long now) {
        if (now - reservedAt < ReconcileConstants.FULL_SCHEDULING_CYCLE_MS) {
            return;
        }
        reservedAt = now;
        scheduler.quotas().usage().owesNothing();
        Map<String, Boolean> room = new HashMap<>();
        for (Job job : secondJobs) {
            JobSpec spec = job.spec;
            if (spec.service()
                    && !scheduler.quotas().withinLimit(spec)
                    && useChangedLately(spec.team(), now)
                    && room.computeIfAbsent(
                            spec.team(), t -> MachineSelector.preempt(job, usable, allServices, now) != null)) {
                scheduler.quotas().usage().owe(spec, job.pendingTasks.cardinality());
            }
        }
    }

    /**
     * Whether the team's use of its limit changed within the last {@link SchedulingConstants#RESERVATION_MS}. If not,
     * hardly anything will come free for its services soon, and what is left of the limit is too little for them:
     * arrays that fit into it waited for ever beside room.
     */
    private boolean useChangedLately(String team, long now) {
        long changes = scheduler.quotas().usage().changes(team);
        UseSeen seen = usesSeen.get(team);
        if (seen == null || seen.changes != changes) {
            seen = new UseSeen(changes, now);
            usesSeen.put(team, seen);
        }
        return now - seen.since < SchedulingConstants.RESERVATION_MS;
    }

    private void place(Job job, List<Machine> own, List<Machine> others, boolean keepOneFree, long now) {
        if (job.spec.service()) {
            return;
        }
        Set<JobSpec> noRoom = Set.of();
        int i = next(job, 0, now);
        while (i >= 0) {
            JobSpec spec = job.spec(i);
            Machine m = noRoom.contains(spec) ? null : MachineSelector.choose(job, spec, own, now);
            if (m == null && !noRoom.contains(spec)) {
                m = MachineSelector.choose(job, spec, keepOneFree ? lendable(others) : others, now);
            }
            if (m == null) {
                if (!job.heterogeneous()) {
                    return;
                }
                // Tasks of another description may fit.
                noRoom = noRoom.isEmpty() ? Collections.newSetFromMap(new IdentityHashMap<>()) : noRoom;
                noRoom.add(spec);
                i = next(job, i + 1, now);
                continue;
            }
            // Each task makes the machine a better choice for the next one, until it is full: the image is there or on
            // its way, and arrays are packed.
            do {
                start(job, i, m, now);
                i = next(job, i + 1, now);
            } while (i >= 0
                    && job.spec(i) == spec
                    && m.hasRoom(spec)
                    && MachineSelector.takesTasks(m, now)
                    && MachineSelector.allowed(job, spec, m));
        }
    }

    private void start(Job job, int index, Machine m, long now) {
        idleFirst -= m.inFirstPartition && m.idle() ? 1 : 0;
        scheduler.assignments().start(job, index, m, now);
    }

    /** The next task that may start now, or -1. */
    private int next(Job job, int from, long now) {
        if (!job.hasPendingTasks() || (job.failsEverywhere() && !job.assignments.isEmpty())) {
            return -1;
        }
        JobSpec beyond = null;
        JobSpec within = null;
        for (int i = job.pendingTasks.nextSetBit(from); i >= 0; i = job.pendingTasks.nextSetBit(i + 1)) {
            JobSpec spec = job.spec(i);
            if (spec != within && spec != beyond) {
                if (scheduler.quotas().withinLimit(spec)) {
                    within = spec;
                } else if (job.heterogeneous()) {
                    beyond = spec;
                } else {
                    return -1;
                }
            }
            if (spec == within && job.retryNotBefore.get(i) <= now) {
                return i;
            }
        }
        return -1;
    }

    /** The first partition lends what is beyond one machine kept free. */
    private List<Machine> lendable(List<Machine> some) {
        List<Machine> list = new ArrayList<>();
        for (Machine m : some) {
            if (idleFirst - (m.idle() ? 1 : 0) >= SchedulingConstants.FIRST_PARTITION_FREE_MACHINES) {
                list.add(m);
            }
        }
        return list;
    }

    private void countIdleFirst() {
        idleFirst = 0;
        for (Machine m : scheduler.machines()) {
            idleFirst += m.inFirstPartition && m.schedulable() && m.idle() ? 1 : 0;
        }
    }

    /** Keeps 30 % of the machines in the first partition: spot ones first, since services can't use them. */
    private void partition() {
        Collection<Machine> all = scheduler.machines();
        int have = 0;
        int usable = 0;
        for (Machine m : all) {
            if (m.schedulable()) {
                usable++;
                have += m.inFirstPartition ? 1 : 0;
            } else {
                m.inFirstPartition = false;
            }
        }
        int want = (int) Math.round(usable * firstShare);
        if (have == want) {
            return;
        }
        boolean join = have < want;
        List<Machine> candidates = new ArrayList<>();
        for (Machine m : all) {
            if (m.schedulable() && m.inFirstPartition != join) {
                candidates.add(m);
            }
        }
        Comparator<Machine> order =
                Comparator.comparing((Machine m) -> m.spot == join ? 0 : 1).thenComparing(m -> m.id);
        candidates.sort(order);
        for (Machine m : candidates.subList(0, Math.min(candidates.size(), Math.abs(want - have)))) {
            m.inFirstPartition = join;
        }
    }
}
