package org.hollypick.core;

import it.unimi.dsi.fastutil.ints.Int2IntOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjIntConsumer;
import org.hollypick.config.constants.FaultConstants;
import org.hollypick.core.assignment.Assignment;

/**
 * The leader's view of a live job: which of its tasks are pending, assigned, completed and durably completed, and how
 * often they failed. Confined to the event loop.
 */
public final class Job {
    /** A job's durable status. */
    public enum Status {
        LIVE,
        DONE,
        CANCELLED
    }

    public final JobSpec spec;
    /** The revision of the job's record in the key-value store; it orders jobs by arrival. */
    public final long arrivalRevision;
    /** The fencing token, a revision of the leader record, under which the job's record was created. */
    public final long createdUnderToken;

    /** Completed tasks, whether that is durable yet or not. */
    public final BitSet completedTasks = new BitSet();
    /** Tasks that are to be started and have no assignment. */
    public final BitSet pendingTasks = new BitSet();
    /** By task index: the attempt that may be on a machine. */
    public final Int2ObjectOpenHashMap<Assignment> assignments = new Int2ObjectOpenHashMap<>();
    /** Attempts that completed their task, while that isn't durable yet. */
    public final List<Assignment> uncommittedAssignments = new ArrayList<>();
    /** By task index: when a task that failed may start again, in milliseconds. */
    public final Int2LongOpenHashMap retryNotBefore = new Int2LongOpenHashMap();
    /** By task index: how often agents refused to launch the task since one last accepted it. */
    private final Int2IntOpenHashMap launchRefusals = new Int2IntOpenHashMap();

    /**
     * Ids of the machines on which the job's tasks failed since one was last completed; see {@link #failsEverywhere}.
     */
    public final Set<String> failedMachines = new HashSet<>();

    /** Null if {@link #spec} describes all tasks. */
    private final TaskSet taskSet;

    private final Object2IntOpenHashMap<String> assignedByZone = new Object2IntOpenHashMap<>();
    private Status status = Status.LIVE;
    private boolean ready;
    private JobSpec.Priority priority;
    private boolean cancellationRequested;
    private BitSet durablyCompleted = new BitSet();
    private int runningTasks;
    private int consecutiveFailures;
    private boolean movedToSecondPartition;
    private double attainedServiceS;
    private boolean terminalWriteInFlight;
    private int unresolvedTerminalWrites;

    /** Creates a job whose tasks all have the same description and are all pending. */
    public Job(JobSpec spec, long arrivalRevision, long createdUnderToken, boolean ready, JobSpec.Priority priority) {
        this(spec, null, arrivalRevision, createdUnderToken, ready, priority);
        pendingTasks.set(0, spec.tasks());
    }

    /** Creates a job whose tasks may differ; each becomes pending by {@link Scheduler#releaseTask}. */
    public Job(
            JobSpec spec,
            TaskSet taskSet,
            long arrivalRevision,
            long createdUnderToken,
            boolean ready,
            JobSpec.Priority priority) {
        this.spec = spec;
        this.taskSet = taskSet;
        this.ready = ready;
        this.priority = priority;
        this.arrivalRevision = arrivalRevision;
        this.createdUnderToken = createdUnderToken;
    }

    // ---- status ----

    /** The job's durable status. */
    public Status status() {
        return status;
    }

    /** Whether the job hasn't durably ended. */
    public boolean isLive() {
        return status == Status.LIVE;
    }

    /**
     * Whether all jobs that this job depends on are durably done. Until then none of its tasks starts, and they count
     * neither as arrived work nor as demand for capacity.
     */
    public boolean ready() {
        return ready;
    }

    void markReady() {
        ready = true;
    }

    /** The effective priority: its own, or a higher one of a job that depends on it. */
    public JobSpec.Priority priority() {
        return priority;
    }

    void setPriority(JobSpec.Priority priority) {
        this.priority = priority;
    }

    /** Whether the job is being cancelled: no task starts any more, even before the cancellation is durable. */
    public boolean cancellationRequested() {
        return cancellationRequested;
    }

    /** Clears the pending tasks; the caller stops the assigned ones. */
    void requestCancellation() {
        cancellationRequested = true;
        pendingTasks.clear();
    }

    /** Records that the cancellation is durable. */
    void markCancelled() {
        status = Status.CANCELLED;
    }

    /** Records that the completion of the job, and with it that of its tasks, is durable. */
    void markDone() {
        status = Status.DONE;
        durablyCompleted = completedTasks;
    }

    // ---- writes of the terminal status ----

    /** Whether a write of the job's completion is in flight. */
    public boolean terminalWriteInFlight() {
        return terminalWriteInFlight;
    }

    /** Records that a write of the job's completion is sent. */
    public void beginTerminalWrite() {
        terminalWriteInFlight = true;
    }

    /** Records that the write of the job's completion has ended. */
    public void endTerminalWrite() {
        terminalWriteInFlight = false;
    }

    /**
     * Records that a write of a terminal status is sent: another controller may see its effect before this one does.
     */
    public void terminalWriteSent() {
        unresolvedTerminalWrites++;
    }

    /** Records that the outcome of one write of a terminal status is known. */
    public void terminalWriteResolved() {
        unresolvedTerminalWrites--;
    }

    /** Whether a write of a terminal status was sent whose outcome is unknown. */
    public boolean hasUnresolvedTerminalWrites() {
        return unresolvedTerminalWrites > 0;
    }

    // ---- tasks ----

    /** The requirements of the task, and where it may run. */
    public JobSpec spec(int index) {
        return taskSet == null ? spec : taskSet.spec(index);
    }

    /** The number of tasks so far; it may rise if {@link #mayGrow}. */
    public int tasks() {
        return taskSet == null ? spec.tasks() : taskSet.count();
    }

    /** The number of tasks that wait for others of the same job. */
    public int unreleasedTasks() {
        return taskSet == null ? 0 : taskSet.unreleasedTasks();
    }

    /** Whether tasks may be added. */
    public boolean mayGrow() {
        return taskSet != null;
    }

    /** Whether the job's tasks differ in what they require. */
    public boolean isHeterogeneous() {
        return taskSet != null && taskSet.isHeterogeneous();
    }

    /** Whether the task may still start. */
    boolean mayStart(int index) {
        return status == Status.LIVE
                && !cancellationRequested
                && !completedTasks.get(index)
                && (taskSet == null || taskSet.mayStart(index));
    }

    /** The tasks whose completion is durable. Whoever adds a task calls {@link #completionsCommitted} afterwards. */
    public BitSet durablyCompleted() {
        return durablyCompleted;
    }

    /** Marks all completed tasks as durably completed: they were read from durable records, or all written there. */
    public void markCompletionsDurable() {
        durablyCompleted = (BitSet) completedTasks.clone();
    }

    /** Notifies the task set, if there is one, that tasks were added to {@link #durablyCompleted}. */
    void completionsCommitted() {
        if (taskSet != null) {
            taskSet.completionsCommitted(durablyCompleted);
        }
    }

    /** Whether the finished job completed all of its tasks. */
    public boolean isSuccessful() {
        return taskSet == null || taskSet.isSuccessful();
    }

    void taskFailed(int index) {
        if (taskSet != null) {
            taskSet.taskFailed(index);
        }
    }

    /** Passes on each distinct description of pending tasks, with the number of pending tasks that have it. */
    public void forEachPendingSpec(ObjIntConsumer<JobSpec> consumer) {
        if (!isHeterogeneous()) {
            if (!pendingTasks.isEmpty()) {
                consumer.accept(spec(pendingTasks.nextSetBit(0)), pendingTasks.cardinality());
            }
            return;
        }
        Map<JobSpec, int[]> counts = new IdentityHashMap<>();
        pendingTasks.stream().forEach(i -> counts.computeIfAbsent(taskSet.spec(i), k -> new int[1])[0]++);
        counts.forEach((spec, count) -> consumer.accept(spec, count[0]));
    }

    /** Adds an assignment: the task starts on a machine, or was found there, and isn't pending any more. */
    public void assign(Assignment assignment) {
        assignments.put(assignment.index, assignment);
        pendingTasks.clear(assignment.index);
        assignedByZone.addTo(assignment.machine.zone, 1);
    }

    /**
     * Removes an assignment whose attempt can't be on its machine any more; the caller decides whether the task becomes
     * pending again.
     *
     * @return false if it wasn't the task's current attempt
     */
    public boolean unassign(Assignment assignment) {
        if (assignments.get(assignment.index) != assignment) {
            return false;
        }
        assignments.remove(assignment.index);
        assignedByZone.addTo(assignment.machine.zone, -1);
        return true;
    }

    /** The number of tasks that were last reported as running or saving a checkpoint. */
    public int runningTasks() {
        return runningTasks;
    }

    /** Changes the number of running tasks: by 1 if a task began to run, by -1 if it ceased, by 0 otherwise. */
    public void changeRunningCount(int change) {
        runningTasks += change;
    }

    // ---- failures ----

    /** The number of failures of the job's tasks since one was last completed. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    void recordFailure() {
        consecutiveFailures++;
    }

    void recordSuccess() {
        consecutiveFailures = 0;
        failedMachines.clear();
    }

    /** Records that an agent refused to launch the task; returns how often that happened since one last accepted it. */
    int recordRefusal(int index) {
        return launchRefusals.addTo(index, 1) + 1;
    }

    /** Resets the count of refusals, since an agent accepted the task. */
    void clearRefusals(int index) {
        launchRefusals.remove(index);
    }

    /**
     * Whether the job's tasks failed on {@link FaultConstants#FAILING_JOB_MACHINES} machines or more since one was last
     * completed. Then only one task runs at a time, which is enough to notice when the cause has been removed.
     */
    public boolean failsEverywhere() {
        return failedMachines.size() >= FaultConstants.FAILING_JOB_MACHINES;
    }

    // ---- Tyrex ----

    /** The runtime, in seconds, of the tasks completed in the current Tyrex partition. */
    public double attainedServiceS() {
        return attainedServiceS;
    }

    void addAttainedService(double seconds) {
        attainedServiceS += seconds;
    }

    /**
     * Moves the job to the second partition, since its attained service exceeds the cutoff of the first. Its attained
     * service counts from zero there.
     */
    void moveToSecondPartition() {
        movedToSecondPartition = true;
        attainedServiceS = 0;
    }

    /** Whether the job has attained service to record. */
    boolean hasAttainedService() {
        return status == Status.LIVE && ready && !spec.service() && (attainedServiceS > 0 || movedToSecondPartition);
    }

    /**
     * The job's attained service as one number, for the records: in seconds, or -1 minus the seconds in the second
     * partition.
     */
    double recordedAttainedService() {
        return movedToSecondPartition ? -1 - attainedServiceS : attainedServiceS;
    }

    /** Restores the attained service and the partition from {@link #recordedAttainedService}. */
    void restoreAttainedService(double recorded) {
        movedToSecondPartition = recorded < 0;
        attainedServiceS = recorded < 0 ? -1 - recorded : recorded;
    }

    /** Whether the job is scheduled in the second Tyrex partition, as all services are. */
    public boolean inSecondPartition() {
        return spec.service() || movedToSecondPartition;
    }

    /** The number of the job's tasks that may be on machines in the zone. */
    public int assignedInZone(String zone) {
        return assignedByZone.getInt(zone);
    }

    /** Whether a task is pending and may start. */
    public boolean hasPendingTasks() {
        return status == Status.LIVE && ready && !pendingTasks.isEmpty();
    }

    /** Whether no task of an array is left that may start or run; services never finish. */
    public boolean isFinished() {
        return !spec.service()
                && (taskSet == null
                        ? completedTasks.cardinality() == spec.tasks()
                        : taskSet.isFinished(completedTasks));
    }
}
