package org.hollypick.core;

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

/** A live job, owned by this controller. */
public final class Job {
    public enum Status {
        LIVE,
        DONE,
        CANCELLED
    }

    public final JobSpec spec;
    /** Arrival order: the stamp of the job's record. */
    public final long arrivalRevision;
    /** The leader record stamp that the record's creation was conditional on. */
    public final long createdUnderToken;

    public Status status = Status.LIVE;
    /** All that it awaits is durably done; before that nothing of it starts, and it counts for nothing. */
    public boolean ready;
    /** Its own rank, or a higher one of a job that needs it. */
    public JobSpec.Priority priority;
    /** Its user asked to cancel it: nothing of it starts any more, whether that is durable yet or not. */
    public boolean cancellationRequested;

    public final BitSet completedTasks = new BitSet();
    /** Progress that is durable already. */
    public BitSet durablyCompleted = new BitSet();
    /** Tasks with nothing anywhere. */
    public final BitSet pendingTasks = new BitSet();
    /** Tasks that may be somewhere. */
    public final Int2ObjectOpenHashMap<Assignment> assignments = new Int2ObjectOpenHashMap<>();

    private final Object2IntOpenHashMap<String> inZone = new Object2IntOpenHashMap<>();
    /** Tasks that were last reported as running or saving. */
    public int running;
    /** Attempts that ended with done and whose progress isn't durable yet. */
    public final List<Assignment> uncommittedAssignments = new ArrayList<>();

    public final Int2LongOpenHashMap retryNotBefore = new Int2LongOpenHashMap();
    public int failures;
    /** Machines on which its tasks failed since one last succeeded; more than one speaks against the job. */
    public final Set<String> failedMachines = new HashSet<>();
    /** Tyrex: moved on to the second partition. */
    public boolean inSecondPartitionByTyrex;
    /** Tyrex: run time, in seconds, of tasks finished in the present partition. */
    public double attainedServiceS;
    /** A write of the done state is on its way. */
    public boolean terminalWriteInFlight;
    /** Writes of an end that went out and may be, or become, true: another node may tell it before this one knows. */
    public int unresolvedTerminalWrites;

    /** Null: all tasks are as {@code spec} says. */
    private final TaskSet set;

    public Job(JobSpec spec, long arrivalRevision, long createdUnderToken, boolean ready, JobSpec.Priority priority) {
        this(spec, null, arrivalRevision, createdUnderToken, ready, priority);
        pendingTasks.set(0, spec.tasks());
    }

    /** A job whose tasks aren't all alike: what of it waits is told by and by ({@link Scheduler#release}). */
    public Job(
            JobSpec spec,
            TaskSet set,
            long arrivalRevision,
            long createdUnderToken,
            boolean ready,
            JobSpec.Priority priority) {
        this.spec = spec;
        this.set = set;
        this.ready = ready;
        this.priority = priority;
        this.arrivalRevision = arrivalRevision;
        this.createdUnderToken = createdUnderToken;
    }

    /** What that task takes and where it may go. */
    public JobSpec spec(int index) {
        return set == null ? spec : set.spec(index);
    }

    public int tasks() {
        return set == null ? spec.tasks() : set.count();
    }

    /** Tasks that wait for others of the same job. */
    public int unreleasedTasks() {
        return set == null ? 0 : set.unreleasedTasks();
    }

    /** Whether its tasks may become more. */
    public boolean mayGrow() {
        return set != null;
    }

    /** Whether its tasks differ in what they take. */
    public boolean heterogeneous() {
        return set != null && set.heterogeneous();
    }

    /** Whether that task may still start. */
    boolean mayStart(int index) {
        return status == Status.LIVE
                && !cancellationRequested
                && !completedTasks.get(index)
                && (set == null || set.mayStart(index));
    }

    /** {@code durablyCompleted} holds more than before. */
    void completionsCommitted() {
        if (set != null) {
            set.completionsCommitted(durablyCompleted);
        }
    }

    /** Finished, and all of its tasks were done. */
    public boolean successful() {
        return set == null || set.successful();
    }

    void taskFailed(int index) {
        if (set != null) {
            set.taskFailed(index);
        }
    }

    /** How many tasks of each description wait. */
    public void forEachWaiting(ObjIntConsumer<JobSpec> each) {
        if (!heterogeneous()) {
            if (!pendingTasks.isEmpty()) {
                each.accept(spec(pendingTasks.nextSetBit(0)), pendingTasks.cardinality());
            }
            return;
        }
        Map<JobSpec, int[]> counts = new IdentityHashMap<>();
        pendingTasks.stream().forEach(i -> counts.computeIfAbsent(set.spec(i), k -> new int[1])[0]++);
        counts.forEach((spec, count) -> each.accept(spec, count[0]));
    }

    /** It starts now, or was found, on that machine. */
    public void assign(Assignment assignment) {
        assignments.put(assignment.index, assignment);
        pendingTasks.clear(assignment.index);
        inZone.addTo(assignment.machine.zone, 1);
    }

    /** That attempt can't be anywhere any more; whether the task waits again is up to the caller. */
    public boolean unassign(Assignment assignment) {
        if (assignments.get(assignment.index) != assignment) {
            return false;
        }
        assignments.remove(assignment.index);
        inZone.addTo(assignment.machine.zone, -1);
        return true;
    }

    /**
     * It failed on several machines and succeeded on none since: one task at a time is enough to find out when that is
     * over.
     */
    public boolean failsEverywhere() {
        return failedMachines.size() >= FaultConstants.JOB_ERRORS;
    }

    /** Whether it has attained service to record. */
    boolean hasAttainedService() {
        return status == Status.LIVE && ready && !spec.service() && (attainedServiceS > 0 || inSecondPartitionByTyrex);
    }

    /** Its attained service as recorded: in seconds, or, in the second partition, minus one minus the seconds. */
    double recordedAttainedService() {
        return inSecondPartitionByTyrex ? -1 - attainedServiceS : attainedServiceS;
    }

    /** Reverses {@link #recordedAttainedService}. */
    void restoreAttainedService(double recorded) {
        inSecondPartitionByTyrex = recorded < 0;
        attainedServiceS = recorded < 0 ? -1 - recorded : recorded;
    }

    public boolean inSecondPartition() {
        return spec.service() || inSecondPartitionByTyrex;
    }

    public int inZone(String zone) {
        return inZone.getInt(zone);
    }

    /** Something of it waits to be started, and may. */
    public boolean hasPendingTasks() {
        return status == Status.LIVE && ready && !pendingTasks.isEmpty();
    }

    public boolean finished() {
        return !spec.service()
                && (set == null ? completedTasks.cardinality() == spec.tasks() : set.finished(completedTasks));
    }
}
