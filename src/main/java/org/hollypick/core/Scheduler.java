package org.hollypick.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.hollypick.config.Settings;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.balancing.HeartbeatBalancer;
import org.hollypick.core.estimate.Estimates;

/**
 * What one leader knows during one term, and what it decides. Pure: time comes in with each event, effects are left in
 * the dirty sets for the loops around to carry out. docs/safety.md argues why its decisions keep the rules.
 */
public final class Scheduler {
    public final long token;
    private final Settings settings;
    public final WorkerLeases leases;
    private final SchedulingCycle cycle;
    final TeamUsage teamUsage = new TeamUsage();
    public final Estimates estimates;
    /** Which controller each machine reports to. */
    public final HeartbeatBalancer heartbeatBalancer;

    public final AssignmentTable assignments;
    private final HeartbeatProcessor heartbeats;
    private final CommandTracker commands = new CommandTracker();
    private boolean reconciliationComplete;
    /** Earlier leaders kept the same limits of teams. */
    private boolean earlierLeadersKeptLimits;

    private long unreconciledCountedAt = -1;
    private boolean allReconciled;
    private long allReconciledCheckedAt = -1;
    long lastNow;
    private Arrived arrived = new Arrived(0, 0, 0);
    /** Work of tasks that were released since that was last taken: there may be thousands at once. */
    private double releasedWork;

    public final Map<String, Job> jobs = new LinkedHashMap<>();
    public final Map<String, Machine> machines = new LinkedHashMap<>();
    /** Machines certainly gone in this term; late reports of theirs mean nothing. */
    public final Set<String> terminatedMachines = new HashSet<>();

    // effects, drained by the loops
    public final Set<Machine> machinesWithPendingCommands = new LinkedHashSet<>();
    /** The same for machines whose orders concern services. */
    public final Set<Machine> machinesWithUrgentCommands = new LinkedHashSet<>();
    /** Machines on which room came free since this was last emptied. */
    public final Set<Machine> machinesWithFreedRoom = new LinkedHashSet<>();

    public final Set<Job> jobsWithNewCompletions = new LinkedHashSet<>();
    /** Machines that came up and aren't registered yet. */
    public final Set<Machine> machinesToRegister = new LinkedHashSet<>();
    /** Machines that are gone; their durable records have to follow. */
    public final Set<String> machinesToUnregister = new LinkedHashSet<>();

    public boolean cycleRequested;

    /** {@code leases}: when a worker's lease is certainly over. */
    public Scheduler(long token, Settings settings, double firstShare, WorkerLeases leases) {
        this(token, settings, firstShare, leases, false);
    }

    /** {@code learns}: from the run times of tasks, for those who ask when something will be done. */
    public Scheduler(long token, Settings settings, double firstShare, WorkerLeases leases, boolean learns) {
        this.estimates = new Estimates(learns);
        this.token = token;
        this.settings = settings;
        this.heartbeatBalancer = new HeartbeatBalancer(settings.node(), leases.termStart());
        this.leases = leases;
        this.assignments = new AssignmentTable(this, teamUsage);
        this.heartbeats = new HeartbeatProcessor(this, assignments, teamUsage);
        this.cycle = new SchedulingCycle(this, firstShare);
    }

    /** The leader before kept the same limits of teams, and all before it did. */
    public void earlierLeadersKeptLimits() {
        earlierLeadersKeptLimits = true;
    }

    /** Applies the heartbeats of agents. */
    public HeartbeatProcessor heartbeats() {
        return heartbeats;
    }

    /** Computes and tracks the commands to agents. */
    public CommandTracker commands() {
        return commands;
    }

    // ---- jobs ----

    /** A job that awaits nothing. */
    public Job addJob(JobSpec spec, long order, long under) {
        return addJob(spec, order, under, true, spec.priority());
    }

    public Job addJob(JobSpec spec, long order, long under, boolean ready, JobSpec.Priority rank) {
        Job job = jobs.get(spec.id());
        if (job == null) {
            job = new Job(spec, order, under, ready, rank);
            jobs.put(spec.id(), job);
            if (ready) {
                arrived(job);
            }
        }
        return job;
    }

    /** Its ancestors or those that need it have changed: it may start from now on, or became more urgent. */
    public void updateDependencies(Job job, boolean ready, JobSpec.Priority rank) {
        job.priority = rank;
        if (ready && !job.ready) {
            job.ready = true;
            arrived(job);
        }
    }

    private void arrived(Job job) {
        JobSpec spec = job.spec;
        double cores = spec.tasks() * spec.cpus();
        arrived = spec.service()
                ? new Arrived(arrived.arrays, arrived.arrayWork, arrived.serviceCores + cores)
                : new Arrived(arrived.arrays + 1, arrived.arrayWork + cores * expectedRunS(spec), arrived.serviceCores);
        cycleRequested = true;
    }

    /** A job whose tasks aren't all alike; none of them waits yet. */
    public Job addJob(JobSpec spec, TaskSet set, long order, long under) {
        Job job = new Job(spec, set, order, under, true, spec.priority());
        jobs.put(spec.id(), job);
        arrived = new Arrived(arrived.arrays + 1, arrived.arrayWork, arrived.serviceCores);
        return job;
    }

    /** What the records say that is done of such a job was read. */
    public void completionsRestored(Job job) {
        job.completionsCommitted();
    }

    /** From now on that task of such a job waits. */
    public void release(Job job, int index) {
        if (job.mayStart(index) && !job.assignments.containsKey(index)) {
            JobSpec spec = job.spec(index);
            job.pendingTasks.set(index);
            releasedWork += spec.cpus() * expectedRunS(spec);
            cycleRequested = true;
        }
    }

    /** That task of such a job isn't to run any more: it doesn't wait, and where it may be it is stopped. */
    public void cancelTask(Job job, int index) {
        job.pendingTasks.clear(index);
        Assignment assignment = job.assignments.get(index);
        if (assignment != null) {
            assignments.stop(assignment, 0);
        }
        cycleRequested = true;
    }

    /** What arrived in a while: array jobs, their work in core-seconds, and the cores of services. */
    public record Arrived(int arrays, double arrayWork, double serviceCores) {}

    public Arrived takeArrived() {
        Arrived taken = new Arrived(arrived.arrays, arrived.arrayWork + releasedWork, arrived.serviceCores);
        arrived = new Arrived(0, 0, 0);
        releasedWork = 0;
        return taken;
    }

    public double expectedRunS(JobSpec spec) {
        return estimates.meanS(spec);
    }

    /**
     * Its user asked to cancel it: whoever sees that in the records first may tell so, and this leader need not be the
     * first. Nothing of the job starts from here on, and all of it goes; what it would do yet is of use to nobody.
     */
    public void cancel(Job job) {
        job.cancellationRequested = true;
        job.pendingTasks.clear();
        for (Assignment assignment : new ArrayList<>(job.assignments.values())) {
            assignments.stop(assignment, 0);
        }
        cycleRequested = true;
    }

    /** The cancellation is durable. */
    public void markCancelled(Job job) {
        cancel(job);
        job.status = Job.Status.CANCELLED;
    }

    public void markDone(Job job) {
        job.status = Job.Status.DONE;
        job.durablyCompleted = job.completedTasks;
        for (Assignment assignment : new ArrayList<>(job.assignments.values())) {
            assignments.stop(assignment, 0);
        }
        assignments.completionsCommitted(job);
    }

    // ---- machines ----

    public Machine addMachine(String id, MachineType type, String zone, boolean spot, boolean registered, long now) {
        Machine m = new Machine(id, type, zone, spot, now);
        m.registered = registered;
        // A machine without a durable record can't have been given a task by an earlier leader.
        m.reconciled = !registered;
        machines.put(id, m);
        reconciliationComplete &= m.accountedFor();
        return m;
    }

    /** The machine and everything on it are certainly gone. */
    public void markTerminated(String id) {
        Machine m = machines.remove(id);
        terminatedMachines.add(id);
        heartbeatBalancer.terminated(id);
        if (m != null) {
            assignments.removeAll(m);
            machinesWithPendingCommands.remove(m);
            machinesWithUrgentCommands.remove(m);
            machinesToRegister.remove(m);
            machinesWithFreedRoom.remove(m);
        }
        machinesToUnregister.add(id);
        cycleRequested = true;
    }

    /** Leases that ran out, and machines from earlier terms that can't hold anything any more. */
    public void expireLeases(long now) {
        lastNow = now;
        for (Machine m : machines.values()) {
            cycleRequested |= FaultAttribution.pardon(m, now);
            // What older leaders launched needs a session that began before this term: all of those have ended,
            // whatever has begun since.
            boolean olderOver = !m.reconciled && leases.over(m.heartbeatAcknowledgedAt, now);
            // A session can also be known from a direct answer alone: its lease began before that came, not earlier.
            boolean over = ((m.heartbeatReceived && !m.incarnationExpired()) || !m.assignments.isEmpty())
                    && leases.over(m.leaseStartedAt(), now);
            if (olderOver || over) {
                assignments.removeAll(m);
                m.reconciled = true;
                cycleRequested = true;
            }
            if (over && m.heartbeatReceived) {
                m.incarnationExpiredAt = now;
                m.minIncarnation = m.incarnation + 1;
            }
        }
    }

    /**
     * Whether a task of the job may yet start by a launch that was sent: this leader's, or an older one's on a machine
     * that isn't heard yet. As long as so nobody may be told that the job is cancelled: none may start after that.
     */
    public boolean launchMayStillExecute(Job job) {
        return commands.launchMayStillExecute(job) || (job.createdUnderToken != token && !allReconciled());
    }

    /** Once so, it stays so; asked for many jobs in one moment. */
    private boolean allReconciled() {
        if (!allReconciled && allReconciledCheckedAt != lastNow) {
            allReconciledCheckedAt = lastNow;
            allReconciled = machines.values().stream().allMatch(m -> m.reconciled);
        }
        return allReconciled;
    }

    /**
     * Whether no machine of an earlier term can still hold tasks that this one doesn't know of. Once so, it stays so.
     */
    public boolean reconciliationComplete() {
        if (!reconciliationComplete) {
            reconciliationComplete = machines.values().stream().allMatch(Machine::accountedFor);
            if (reconciliationComplete) {
                teamUsage.reconciliationComplete();
            }
        }
        return reconciliationComplete;
    }

    /** Whether that was so when it was last asked: without a look at all machines, for each task of each report. */
    boolean reconciliationWasComplete() {
        return reconciliationComplete;
    }

    /** It is durable that the machine may hold tasks: from now on it may, unless it went while that was written. */
    public void registered(Machine m) {
        m.registered = true;
        if (machines.get(m.id) == m) {
            machinesWithFreedRoom.add(m);
        }
    }

    // ---- placing ----

    /** One pass over everything that waits. */
    public void runSchedulingCycle(long now) {
        lastNow = now;
        cycleRequested = false;
        cycle.run(now);
    }

    /** What waits is looked through for this one machine, where room may have come free. */
    public void scheduleOn(Machine m, long now) {
        lastNow = now;
        cycle.scheduleOn(m, now);
    }

    boolean severalTeams() {
        return settings.teams().size() > 1;
    }

    /**
     * Whether one more task keeps its team's limit. Machines of earlier terms may hold tasks nobody here has counted.
     */
    public boolean withinLimit(JobSpec spec) {
        Settings.Team team = settings.teams().get(spec.team());
        if (team == null || (team.cpusMax() <= 0 && team.gpusMax() <= 0)) {
            return true;
        }
        if (reconciliationComplete()) {
            return teamUsage.allows(team, spec);
        }
        if (unreconciledCountedAt != lastNow) {
            unreconciledCountedAt = lastNow; // within one moment they only become fewer
            teamUsage.unheard(machines.values());
        }
        return teamUsage.allowsUnheard(team, spec, earlierLeadersKeptLimits);
    }

    /**
     * Cores that arrays can use at once beside their team's services, by what there is of both for each team; without
     * end if a team has no limit.
     */
    public double usableCores(Object2DoubleMap<String> services, Object2DoubleMap<String> arrays) {
        double usable = 0;
        for (Object2DoubleMap.Entry<String> e : arrays.object2DoubleEntrySet()) {
            Settings.Team team = settings.teams().get(e.getKey());
            if (team == null || team.cpusMax() <= 0) {
                return Double.POSITIVE_INFINITY;
            }
            usable += Math.min(e.getDoubleValue(), Math.max(0, team.cpusMax() - services.getDouble(e.getKey())));
        }
        return usable;
    }

    /** Everything is known, and no team takes more than its limit. */
    public boolean limitsKept() {
        return reconciliationComplete() && teamUsage.within(settings.teams().values());
    }

    /** Partial sizes by job, for the controller's one value. */
    public Map<String, Double> attainedService() {
        Map<String, Double> attainedService = new HashMap<>();
        for (Job job : jobs.values()) {
            if (job.status == Job.Status.LIVE
                    && job.ready
                    && !job.spec.service()
                    && (job.attainedServiceS > 0 || job.inSecondPartitionByTyrex)) {
                attainedService.put(
                        job.spec.id(), job.inSecondPartitionByTyrex ? -1 - job.attainedServiceS : job.attainedServiceS);
            }
        }
        return attainedService;
    }

    public void restoreAttainedService(Job job, double size) {
        job.inSecondPartitionByTyrex = size < 0;
        job.attainedServiceS = size < 0 ? -1 - size : size;
    }
}
