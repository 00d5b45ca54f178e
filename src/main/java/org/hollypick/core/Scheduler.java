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
 * The scheduling state of a leader during one term: its jobs and machines, and the decisions about them. Performs no
 * I/O: callers pass the time of each event, in milliseconds of the event loop's clock, and effects are collected in the
 * {@link SchedulerOutbox}. docs/safety.md explains why the decisions are safe. Confined to the event loop.
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
    private final UnexplainedAttempts unexplainedAttempts = new UnexplainedAttempts();
    private final CommandTokens commandTokens;
    private final CommandTracker commands;
    private final SchedulingCycle cycle;
    private final ArrivalCounter arrivals = new ArrivalCounter();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private final ReconciliationProgress reconciliation = new ReconciliationProgress(machines.values());
    private final Set<String> terminatedMachines = new HashSet<>();
    private long lastEventAt;

    /** Creates a scheduler whose estimates don't learn from the runtimes of tasks. */
    public Scheduler(long token, Settings settings, double firstPartitionShare, WorkerLeases leases) {
        this(token, settings, firstPartitionShare, leases, false);
    }

    /**
     * Creates the scheduler of a new term.
     *
     * @param token the leader's fencing token
     * @param firstPartitionShare the share of machines in the first Tyrex partition, from 0 to 1
     * @param leases decides when an agent's lease has certainly expired
     * @param learnsRuntimes whether the estimates learn from the runtimes of tasks
     */
    public Scheduler(
            long token, Settings settings, double firstPartitionShare, WorkerLeases leases, boolean learnsRuntimes) {
        this.token = token;
        this.commandTokens = new CommandTokens(token);
        this.commands = new CommandTracker(commandTokens);
        this.leases = leases;
        this.estimates = new Estimates(learnsRuntimes);
        this.heartbeatBalancer = new HeartbeatBalancer(settings.node(), leases.termStartedAt());
        this.quotas = new TeamQuotas(this, settings);
        this.assignments = new AssignmentTable(this, quotas.usage());
        this.heartbeats = new HeartbeatProcessor(this, assignments, quotas.usage());
        this.cycle = new SchedulingCycle(this, firstPartitionShare);
    }

    // ---- components ----

    /** The fencing token of the leader's term. */
    public long token() {
        return token;
    }

    /** The fencing tokens under which commands may be sent in this term. */
    public CommandTokens commandTokens() {
        return commandTokens;
    }

    /** Decides when an agent's lease has certainly expired. */
    public WorkerLeases leases() {
        return leases;
    }

    /** The estimated runtimes of tasks. */
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

    /** Enforces the limits of teams. */
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

    /** The attempts that agents list although this leader doesn't expect them there. */
    public UnexplainedAttempts unexplainedAttempts() {
        return unexplainedAttempts;
    }

    /** Computes and tracks the commands to agents. */
    public CommandTracker commands() {
        return commands;
    }

    /** When the last event took place, in milliseconds. */
    long lastEventAt() {
        return lastEventAt;
    }

    void recordEventTime(long now) {
        lastEventAt = now;
    }

    // ---- jobs ----

    /** The live jobs in insertion order: a view, from which jobs are removed as they end. */
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

    /** Removes a job that has ended durably. */
    public void removeJob(String id) {
        jobs.remove(id);
    }

    /** Adds a job without dependencies, unless it is known already. Returns the known or added job. */
    public Job addJob(JobSpec spec, long arrivalRevision, long createdUnderToken) {
        return addJob(spec, arrivalRevision, createdUnderToken, true, spec.priority());
    }

    /**
     * Adds a job, unless it is known already.
     *
     * @param ready whether all jobs that it depends on are done
     * @param priority its own priority, or a higher one of a job that depends on it
     * @return the known or added job
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

    /** Adds a job whose tasks differ; each task becomes pending by {@link #releaseTask}. */
    public Job addJob(JobSpec spec, TaskSet tasks, long arrivalRevision, long createdUnderToken) {
        Job job = new Job(spec, tasks, arrivalRevision, createdUnderToken, true, spec.priority());
        jobs.put(spec.id(), job);
        arrivals.addArray(spec.team(), 0);
        return job;
    }

    /** Updates a job after a change of the jobs that it depends on or that depend on it. */
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

    /** To be called when the job's completed tasks were read from its durable records. */
    public void completionsRestored(Job job) {
        job.completionsCommitted();
    }

    /** Makes a task of a job with a {@link TaskSet} pending, unless it may not start or is assigned already. */
    public void releaseTask(Job job, int index) {
        if (job.mayStart(index) && !job.assignments.containsKey(index)) {
            JobSpec spec = job.spec(index);
            job.pendingTasks.set(index);
            arrivals.addReleasedTask(spec.team(), spec.cpus() * expectedRunS(spec));
            outbox.requestCycle();
        }
    }

    /**
     * Cancels a task of a job with a {@link TaskSet}: it isn't pending any more, and its current attempt is stopped.
     */
    public void cancelTask(Job job, int index) {
        job.pendingTasks.clear(index);
        Assignment assignment = job.assignments.get(index);
        if (assignment != null) {
            assignments.stop(assignment, 0);
        }
        outbox.requestCycle();
    }

    /** Returns the demand that arrived since the last call. */
    public Arrivals takeArrivals() {
        return arrivals.take();
    }

    /** The expected runtime, in seconds, of a task. */
    public double expectedRunS(JobSpec spec) {
        return estimates.meanRunTimeS(spec);
    }

    /**
     * Applies a user's cancellation: no further task of the job starts, and all its tasks are stopped. Any controller
     * that reads the records may show the cancellation to the user before this leader learns of it.
     */
    public void cancel(Job job) {
        job.requestCancellation();
        stopAll(job);
        outbox.requestCycle();
    }

    /** Applies a cancellation that is durable. */
    public void markCancelled(Job job) {
        cancel(job);
        job.markCancelled();
    }

    /** Marks the job as done when its completion is durable, and stops its remaining tasks. */
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

    /** A view of the known machines that weren't terminated, in insertion order. */
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

    /** Whether the machine was terminated in this term: late heartbeats from it are ignored. */
    public boolean isTerminated(String machineId) {
        return terminatedMachines.contains(machineId);
    }

    /**
     * Adds a machine.
     *
     * @param registered whether it has a durable record; without one, no earlier leader can have started a task on it
     */
    public Machine addMachine(String id, MachineType type, String zone, boolean spot, boolean registered, long now) {
        Machine machine = new Machine(id, type, zone, spot, now);
        machine.tokens.begin(token);
        if (registered) {
            machine.markRegistered();
        } else {
            machine.markReconciled();
        }
        machines.put(id, machine);
        reconciliation.machineAdded(machine);
        return machine;
    }

    /** To be called when the machine's record is durable: from now on it may get tasks, unless it was terminated. */
    public void markRegistered(Machine machine) {
        machine.markRegistered();
        if (machines.get(machine.id) == machine) {
            outbox.addFreedCapacity(machine);
        }
    }

    /** Removes a machine that has certainly been terminated, and all assignments on it. */
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
     * Removes the assignments on machines whose lease has certainly expired, marks machines as reconciled that can't
     * hold tasks of earlier terms any more, and ends quarantines that have expired.
     */
    public void expireLeases(long now) {
        lastEventAt = now;
        for (Machine machine : machines.values()) {
            outbox.requestCycleIf(FaultAttribution.endQuarantineIfOver(machine, now));
            expireLease(machine, now);
        }
    }

    private void expireLease(Machine machine, long now) {
        // Tasks launched by earlier leaders run only in incarnations that began before this term. All of those have
        // expired, even if another incarnation has begun since.
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
     * Whether a task of the job may still start because of a launch command that was sent before: by this leader, or by
     * an earlier one to a machine that isn't reconciled. While this holds, the job must not be reported as cancelled,
     * since none of its tasks may start after such a report.
     */
    public boolean launchMayStillExecute(Job job) {
        return commands.launchMayStillExecute(job)
                || (job.createdUnderToken != token && !reconciliation.allReconciled(lastEventAt));
    }

    /**
     * Whether no machine of an earlier term can still hold tasks that are unknown to this leader. Once true, this stays
     * true until such a machine is added.
     */
    public boolean reconciliationComplete() {
        if (!reconciliation.wasComplete() && reconciliation.isComplete()) {
            quotas.usage().reconciliationComplete();
        }
        return reconciliation.wasComplete();
    }

    /** The last result of {@link #reconciliationComplete}, without checking the machines again. */
    boolean reconciliationWasComplete() {
        return reconciliation.wasComplete();
    }

    // ---- scheduling ----

    /** Runs a scheduling cycle: all pending tasks on all machines. */
    public void runSchedulingCycle(long now) {
        lastEventAt = now;
        outbox.cycleStarted();
        cycle.run(now);
    }

    /** Schedules pending tasks on this one machine, whose capacity may have become free. */
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
