package org.hollypick.core;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hollypick.config.Settings;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.balancing.HeartbeatBalancer;
import org.hollypick.core.estimate.Estimates;

/**
 * What a leader knows of jobs and machines during one term, and what it decides. Does no I/O: the time comes in with
 * each event, in milliseconds of the event loop's clock, and effects are left in the {@link SchedulerOutbox}.
 * docs/safety.md argues why its decisions are safe. Confined to the event loop.
 */
public final class Scheduler {
    private final long token;
    private final WorkerLeases leases;
    private final Estimates estimates;
    private final HeartbeatBalancer heartbeatBalancer;
    private final SchedulerOutbox outbox = new SchedulerOutbox();
    private final TeamQuotas quotas;
    private final AssignmentTable assignments;
    private final HeartbeatProcessor heartbeats;
    private final CommandTracker commands = new CommandTracker();
    private final SchedulingCycle cycle;
    private final ArrivalCounter arrivals = new ArrivalCounter();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final ReconciliationProgress reconciliation = new ReconciliationProgress(machines.values());
    private final Set<String> terminatedMachines = new HashSet<>();
    private long lastEventAt;

    /** A scheduler whose estimates don't learn from the runtimes of tasks. */
    public Scheduler(long token, Settings settings, double firstPartitionShare, WorkerLeases leases) {
        this(token, settings, firstPartitionShare, leases, false);
    }

    /**
     * Begins a term.
     *
     * @param token the leader's fencing token
     * @param firstPartitionShare the share of machines in the first Tyrex partition
     * @param leases tells when an agent's lease has certainly expired
     * @param learnsRuntimes whether the estimates learn from the runtimes of tasks
     */
    public Scheduler(
            long token, Settings settings, double firstPartitionShare, WorkerLeases leases, boolean learnsRuntimes) {
        this.token = token;
        this.leases = leases;
        this.estimates = new Estimates(learnsRuntimes);
        this.heartbeatBalancer = new HeartbeatBalancer(settings.node(), leases.termStartedAt());
        this.quotas = new TeamQuotas(this, settings);
        this.assignments = new AssignmentTable(this, quotas.usage());
        this.heartbeats = new HeartbeatProcessor(this, assignments, quotas.usage());
        this.cycle = new SchedulingCycle(this, firstPartitionShare);
    }

    // ---- parts ----

    /** The fencing token of the leader's term. */
    public long token() {
        return token;
    }

    /** Tells when an agent's lease has certainly expired. */
    public WorkerLeases leases() {
        return leases;
    }

    /** The runtimes of tasks, as far as they are known. */
    public Estimates estimates() {
        return estimates;
    }

    /** Which controller each machine sends its heartbeats to. */
    public HeartbeatBalancer heartbeatBalancer() {
        return heartbeatBalancer;
    }

    /** The effects that others have to carry out. */
    public SchedulerOutbox outbox() {
        return outbox;
    }

    /** Keeps the limits of teams. */
    public TeamQuotas quotas() {
        return quotas;
    }

    /** The tasks that are, or may be, on machines. */
    public AssignmentTable assignments() {
        return assignments;
    }

    /** Applies the heartbeats of agents. */
    public HeartbeatProcessor heartbeats() {
        return heartbeats;
    }

    /** Computes and tracks the commands to agents. */
    public CommandTracker commands() {
        return commands;
    }

    /** When the last event took place. */
    long lastEventAt() {
        return lastEventAt;
    }

    void recordEventTime(long now) {
        lastEventAt = now;
    }

    // ---- jobs ----

    /** The live jobs in the order in which they were added: a view, from which jobs go as they end. */
    public Collection<Job> jobs() {
        return jobs.values();
    }

    /** Returns the live job with this id, or null if there is none. */
    public Job job(String id) {
        return jobs.get(id);
    }

    /** Whether a live job has this id. */
    public boolean hasJob(String id) {
        return jobs.containsKey(id);
    }

    /** The job has ended, durably. */
    public void removeJob(String id) {
        jobs.remove(id);
    }

    /** Adds a job that depends on no other, unless it is known. */
    public Job addJob(JobSpec spec, long arrivalRevision, long createdUnderToken) {
        return addJob(spec, arrivalRevision, createdUnderToken, true, spec.priority());
    }

    /**
     * Adds a job, unless it is known.
     *
     * @param ready whether all that it depends on is done
     * @param priority its own, or a higher one of a job that depends on it
     */
    public Job addJob(
            JobSpec spec, long arrivalRevision, long createdUnderToken, boolean ready, JobSpec.Priority priority) {
        Job job = jobs.get(spec.id());
        if (job == null) {
            job = new Job(spec, arrivalRevision, createdUnderToken, ready, priority);
            jobs.put(spec.id(), job);
            if (ready) {
                countArrival(job);
            }
        }
        return job;
    }

    /** Adds a job whose tasks differ; none of them waits before its {@link #releaseTask}. */
    public Job addJob(JobSpec spec, TaskSet tasks, long arrivalRevision, long createdUnderToken) {
        Job job = new Job(spec, tasks, arrivalRevision, createdUnderToken, true, spec.priority());
        jobs.put(spec.id(), job);
        arrivals.addArray(spec.team(), 0);
        return job;
    }

    /** The jobs that it depends on, or that depend on it, changed. */
    public void updateDependencies(Job job, boolean ready, JobSpec.Priority priority) {
        job.setPriority(priority);
        if (ready && !job.ready()) {
            job.markReady();
            countArrival(job);
        }
    }

    private void countArrival(Job job) {
        JobSpec spec = job.spec;
        double cores = spec.tasks() * spec.cpus();
        if (spec.service()) {
            arrivals.addService(cores);
        } else {
            arrivals.addArray(spec.team(), cores * expectedRunS(spec));
        }
        outbox.requestCycle();
    }

    /** The completed tasks of the job were read from its durable records. */
    public void completionsRestored(Job job) {
        job.completionsCommitted();
    }

    /** The task of a job with a {@link TaskSet} waits from now on, unless it may not start or was assigned. */
    public void releaseTask(Job job, int index) {
        if (job.mayStart(index) && !job.assignments.containsKey(index)) {
            JobSpec spec = job.spec(index);
            job.pendingTasks.set(index);
            arrivals.addReleasedTask(spec.team(), spec.cpus() * expectedRunS(spec));
            outbox.requestCycle();
        }
    }

    /** The task of a job with a {@link TaskSet} must not run any more: it is stopped where it may be. */
    public void cancelTask(Job job, int index) {
        job.pendingTasks.clear(index);
        Assignment assignment = job.assignments.get(index);
        if (assignment != null) {
            assignments.stop(assignment, 0);
        }
        outbox.requestCycle();
    }

    /** What arrived since this was last called. */
    public Arrivals takeArrivals() {
        return arrivals.take();
    }

    /** The expected runtime, in seconds, of a task. */
    public double expectedRunS(JobSpec spec) {
        return estimates.meanRunTimeS(spec);
    }

    /**
     * The user asked to cancel the job, and may learn of it from any controller that reads the records, before this
     * leader does. Nothing of the job starts from here on, and all of it is stopped.
     */
    public void cancel(Job job) {
        job.requestCancellation();
        stopAll(job);
        outbox.requestCycle();
    }

    /** The cancellation is durable. */
    public void markCancelled(Job job) {
        cancel(job);
        job.markCancelled();
    }

    /** The job's completion is durable. */
    public void markDone(Job job) {
        job.markDone();
        stopAll(job);
        assignments.completionsCommitted(job);
    }

    private void stopAll(Job job) {
        for (Assignment assignment : new ArrayList<>(job.assignments.values())) {
            assignments.stop(assignment, 0);
        }
    }

    // ---- machines ----

    /** The machines that aren't terminated, in the order in which they were added: a view. */
    public Collection<Machine> machines() {
        return machines.values();
    }

    /** Returns the machine with this id, or null if none is known or it was terminated. */
    public Machine machine(String id) {
        return machines.get(id);
    }

    /** Whether the machine is known and wasn't terminated. */
    public boolean hasMachine(String id) {
        return machines.containsKey(id);
    }

    /** Whether the machine was terminated in this term: late heartbeats of it mean nothing. */
    public boolean isTerminated(String machineId) {
        return terminatedMachines.contains(machineId);
    }

    /**
     * Adds a machine.
     *
     * @param registered whether it has a durable record; without one, no earlier leader can have given it a task
     */
    public Machine addMachine(String id, MachineType type, String zone, boolean spot, boolean registered, long now) {
        Machine machine = new Machine(id, type, zone, spot, now);
        if (registered) {
            machine.markRegistered();
        } else {
            machine.markReconciled();
        }
        machines.put(id, machine);
        reconciliation.machineAdded(machine);
        return machine;
    }

    /** The machine's record is durable: it may get tasks from now on, unless it was terminated meanwhile. */
    public void markRegistered(Machine machine) {
        machine.markRegistered();
        if (machines.get(machine.id) == machine) {
            outbox.addFreedCapacity(machine);
        }
    }

    /** The machine, and everything on it, has certainly gone. */
    public void markTerminated(String id) {
        Machine machine = machines.remove(id);
        terminatedMachines.add(id);
        heartbeatBalancer.removeMachine(id);
        if (machine != null) {
            assignments.removeAll(machine);
            outbox.discard(machine);
        }
        outbox.addToUnregister(id);
        outbox.requestCycle();
    }

    /**
     * Removes what was on machines whose lease has certainly expired, and ends the reconciliation of machines that
     * can't hold anything of earlier terms any more.
     */
    public void expireLeases(long now) {
        lastEventAt = now;
        for (Machine machine : machines.values()) {
            outbox.requestCycleIf(FaultAttribution.endQuarantineIfOver(machine, now));
            expireLease(machine, now);
        }
    }

    private void expireLease(Machine machine, long now) {
        // What earlier leaders launched needs an incarnation that began before this term: all of those have expired,
        // whatever has begun since.
        boolean earlierExpired = !machine.reconciled() && leases.isExpired(machine.heartbeatAcknowledgedAt(), now);
        boolean expired = machine.mayHoldLease() && leases.isExpired(machine.leaseStartedAt(), now);
        if (earlierExpired || expired) {
            assignments.removeAll(machine);
            machine.markReconciled();
            outbox.requestCycle();
        }
        if (expired) {
            machine.expireIncarnation(now);
        }
    }

    /**
     * Whether a task of the job may still start by a launch that was sent: by this leader, or by an earlier one on a
     * machine that isn't reconciled. Until then nobody may learn that the job is cancelled, since nothing of it may
     * start after that.
     */
    public boolean launchMayStillExecute(Job job) {
        return commands.launchMayStillExecute(job)
                || (job.createdUnderToken != token && !reconciliation.allReconciled(lastEventAt));
    }

    /**
     * Whether no machine of an earlier term can still hold tasks that this leader doesn't know of. Once so, it stays so
     * until such a machine is added.
     */
    public boolean reconciliationComplete() {
        if (!reconciliation.wasComplete() && reconciliation.isComplete()) {
            quotas.usage().reconciliationComplete();
        }
        return reconciliation.wasComplete();
    }

    /** The last result of {@link #reconciliationComplete}, without going through the machines. */
    boolean reconciliationWasComplete() {
        return reconciliation.wasComplete();
    }

    // ---- scheduling ----

    /** Runs a scheduling cycle: all pending tasks over all machines. */
    public void runSchedulingCycle(long now) {
        lastEventAt = now;
        outbox.cycleStarted();
        cycle.run(now);
    }

    /** Schedules pending tasks on this one machine, where room may have come free. */
    public void scheduleOn(Machine machine, long now) {
        lastEventAt = now;
        cycle.scheduleOn(machine, now);
    }

    // ---- attained service ----

    /** Attained service by job id, for its durable record; see {@link #restoreAttainedService}. */
    public Map<String, Double> attainedService() {
        Map<String, Double> attainedService = new HashMap<>();
        for (Job job : jobs.values()) {
            if (job.hasAttainedService()) {
                attainedService.put(job.spec.id(), job.recordedAttainedService());
            }
        }
        return attainedService;
    }

    /** Restores a job's attained service from its durable record. */
    public void restoreAttainedService(Job job, double recorded) {
        job.restoreAttainedService(recorded);
    }
}
