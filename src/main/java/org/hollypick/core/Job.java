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
 * A live job as the leader knows it: which of its tasks are pending, assigned, completed and durably completed, and how
 * often they failed. Confined to the event loop.
 */
public final class Job {
    /** Whether a job is live, or how it ended, durably. */
    public enum Status {
        LIVE,
        DONE,
        CANCELLED
    }

    public final JobSpec spec;
    /** The revision of the job's record: the order of arrival. */
    public final long arrivalRevision;
    /** The revision of the leader record that the creation of the job's record depended on. */
    public final long createdUnderToken;

    /** Tasks that were completed, durably or not. */
    public final BitSet completedTasks = new BitSet();
    /** Tasks that have to start and are nowhere. */
    public final BitSet pendingTasks = new BitSet();
    /** By task index: the attempt that may be on a machine. */
    public final Int2ObjectOpenHashMap<Assignment> assignments = new Int2ObjectOpenHashMap<>();
    /** Attempts that completed their task, which isn't durable yet. */
    public final List<Assignment> uncommittedAssignments = new ArrayList<>();
    /** By task index: when a task that failed may start again, in milliseconds. */
    public final Int2LongOpenHashMap retryNotBefore = new Int2LongOpenHashMap();
    /** Launches of each task that agents refused since one was accepted. */
    private final Int2IntOpenHashMap launchRefusals = new Int2IntOpenHashMap();

    /** Machines on which its tasks failed since one was last completed; several of them speak against the job. */
    public final Set<String> failedMachines = new HashSet<>();

    /** Null if all tasks are as {@link #spec} says. */
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

    /** A job whose tasks are all alike and all pending. */
    public Job(JobSpec spec, long arrivalRevision, long createdUnderToken, boolean ready, JobSpec.Priority priority) {
        this(spec, null, arrivalRevision, createdUnderToken, ready, priority);
        pendingTasks.set(0, spec.tasks());
    }

    /** A job whose tasks differ; each becomes pending by {@link Scheduler#releaseTask}. */
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

    /** Live, or how the job ended, durably. */
    public Status status() {
        return status;
    }

    /** Whether the job hasn't ended. */
    public boolean isLive() {
        return status == Status.LIVE;
    }

    /** Whether all jobs that it depends on are durably done; nothing of it starts before that, nor counts. */
    public boolean ready() {
        return ready;
    }

    void markReady() {
        ready = true;
    }

    /** Its own priority, or a higher one of a job that depends on it. */
    public JobSpec.Priority priority() {
        return priority;
    }

    void setPriority(JobSpec.Priority priority) {
        this.priority = priority;
    }

    /** Whether its user asked to cancel it: nothing of it starts any more, whether that is durable yet or not. */
    public boolean cancellationRequested() {
        return cancellationRequested;
    }

    /** No task is pending any more; assigned ones are stopped by the caller. */
    void requestCancellation() {
        cancellationRequested = true;
        pendingTasks.clear();
    }

    /** The cancellation is durable. */
    void markCancelled() {
        status = Status.CANCELLED;
    }

    /** The job's completion, and with it that of its tasks, is durable. */
    void markDone() {
        status = Status.DONE;
        durablyCompleted = completedTasks;
    }

    // ---- writes of the terminal status ----

    /** Whether a write of the job's completion is in flight. */
    public boolean terminalWriteInFlight() {
        return terminalWriteInFlight;
    }

    /** A write of the job's completion goes out. */
    public void beginTerminalWrite() {
        terminalWriteInFlight = true;
    }

    /** The write of the job's completion ended. */
    public void endTerminalWrite() {
        terminalWriteInFlight = false;
    }

    /** A write of a terminal status goes out: from now on another controller may see it before this one knows. */
    public void terminalWriteSent() {
        unresolvedTerminalWrites++;
    }

    /** The outcome of one such write is known. */
    public void terminalWriteResolved() {
        unresolvedTerminalWrites--;
    }

    /** Whether a write of a terminal status went out whose outcome is unknown. */
    public boolean hasUnresolvedTerminalWrites() {
        return unresolvedTerminalWrites > 0;
    }

    // ---- tasks ----

    /** What the task requires and where it may run. */
    public JobSpec spec(int index) {
        return taskSet == null ? spec : taskSet.spec(index);
    }

    /** The number of tasks, as far as it is known. */
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

    /** Whether its tasks differ in what they require. */
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

    /** The tasks whose completion is durable; a task added here is followed by {@link #completionsCommitted}. */
    public BitSet durablyCompleted() {
        return durablyCompleted;
    }

    /** The completed tasks were read from durable records, or all written there. */
    public void markCompletionsDurable() {
        durablyCompleted = (BitSet) completedTasks.clone();
    }

    /** {@link #durablyCompleted} holds more than before. */
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

    /** Passes on the number of pending tasks of each kind. */
    public void forEachPendingSpec(ObjIntConsumer<JobSpec> each) {
        if (!isHeterogeneous()) {
            if (!pendingTasks.isEmpty()) {
                each.accept(spec(pendingTasks.nextSetBit(0)), pendingTasks.cardinality());
            }
            return;
        }
        Map<JobSpec, int[]> counts = new IdentityHashMap<>();
        pendingTasks.stream().forEach(i -> counts.computeIfAbsent(taskSet.spec(i), k -> new int[1])[0]++);
        counts.forEach((spec, count) -> each.accept(spec, count[0]));
    }

    /** The task isn't pending any more: it starts on a machine, or was found there. */
    public void assign(Assignment assignment) {
        assignments.put(assignment.index, assignment);
        pendingTasks.clear(assignment.index);
        assignedByZone.addTo(assignment.machine.zone, 1);
    }

    /**
     * The attempt can't be on its machine any more; whether the task is pending again is up to the caller.
     *
     * @return false if it wasn't the task's present attempt
     */
    public boolean unassign(Assignment assignment) {
        if (assignments.get(assignment.index) != assignment) {
            return false;
        }
        assignments.remove(assignment.index);
        assignedByZone.addTo(assignment.machine.zone, -1);
        return true;
    }

    /** Tasks that were last reported as running or saving a checkpoint. */
    public int runningTasks() {
        return runningTasks;
    }

    /** A task began ({@code 1}) or ceased ({@code -1}) to run; 0 changes nothing. */
    public void changeRunningCount(int change) {
        runningTasks += change;
    }

    // ---- failures ----

    /** Failures since a task was last completed. */
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

    /** An agent refused to launch the task; returns how often that happened since it was last accepted. */
    int recordRefusal(int index) {
        return launchRefusals.addTo(index, 1) + 1;
    }

    /** An agent accepted the task. */
    void clearRefusals(int index) {
        launchRefusals.remove(index);
    }

    /**
     * Whether it failed on several machines and completed no task since: one task at a time is enough to find out when
     * that is over.
     */
    public boolean failsEverywhere() {
        return failedMachines.size() >= FaultConstants.JOB_ERRORS;
    }

    // ---- Tyrex ----

    /** The runtime, in seconds, of the tasks completed in the present Tyrex partition. */
    public double attainedServiceS() {
        return attainedServiceS;
    }

    void addAttainedService(double seconds) {
        attainedServiceS += seconds;
    }

    /** Its attained service exceeds the cutoff of the first partition; it counts anew in the second. */
    void moveToSecondPartition() {
        movedToSecondPartition = true;
        attainedServiceS = 0;
    }

    /** Whether it has attained service to record. */
    boolean hasAttainedService() {
        return status == Status.LIVE && ready && !spec.service() && (attainedServiceS > 0 || movedToSecondPartition);
    }

    /** Its attained service as recorded: in seconds, or, in the second partition, minus one minus the seconds. */
    double recordedAttainedService() {
        return movedToSecondPartition ? -1 - attainedServiceS : attainedServiceS;
    }

    /** Reverses {@link #recordedAttainedService}. */
    void restoreAttainedService(double recorded) {
        movedToSecondPartition = recorded < 0;
        attainedServiceS = recorded < 0 ? -1 - recorded : recorded;
    }

    /** Whether it is scheduled in the second Tyrex partition, as all services are. */
    public boolean inSecondPartition() {
        return spec.service() || movedToSecondPartition;
    }

    /** The number of its tasks that may be in the zone. */
    public int assignedInZone(String zone) {
        return assignedByZone.getInt(zone);
    }

    /** Whether a task is pending and may start. */
    public boolean hasPendingTasks() {
        return status == Status.LIVE && ready && !pendingTasks.isEmpty();
    }

    /** Whether all tasks of an array ended; services never finish. */
    public boolean isFinished() {
        return !spec.service()
                && (taskSet == null
                        ? completedTasks.cardinality() == spec.tasks()
                        : taskSet.isFinished(completedTasks));
    }
}
