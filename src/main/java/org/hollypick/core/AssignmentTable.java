package org.hollypick.core;

import java.util.ArrayList;
import java.util.Iterator;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.hollypick.core.tyrex.Tyrex;

/**
 * Creates, updates and removes assignments during one term: from the decision to start a task, through the states that
 * its agent reports, until the attempt can't be on its machine any more. Confined to the event loop.
 */
public final class AssignmentTable {
    private static final int NO_TASK_INDEX = -1;
    private static final String REASON_DONE = "done";
    private static final String REASON_ERROR = "error";

    private final Scheduler scheduler;
    private final AttemptNumbers attemptNumbers;
    private final TeamUsage teamUsage;
    private final FaultAttribution faultAttribution;

    AssignmentTable(Scheduler scheduler, TeamUsage teamUsage) {
        this.scheduler = scheduler;
        this.attemptNumbers = new AttemptNumbers(scheduler.token());
        this.teamUsage = teamUsage;
        this.faultAttribution = new FaultAttribution(scheduler);
    }

    // ---- start and stop ----

    /** Assigns a task to a machine; the launch is sent with the machine's next commands. */
    public void start(Job job, int index, Machine machine, long now) {
        Assignment assignment = new Assignment(job, index, attemptNumbers.next(), machine, now);
        machine.add(assignment);
        job.assign(assignment);
        teamUsage.add(assignment.spec, 1);
        requestCommands(assignment);
    }

    /**
     * Requests that a task stops. A repeated request has an effect only if its grace period is shorter.
     *
     * @param graceS seconds to save a checkpoint; with 0 the task's resources count as free at once
     */
    public void stop(Assignment assignment, double graceS) {
        if (!assignment.requestStop(graceS)) {
            return;
        }
        if (graceS == 0) {
            assignment.machine.release(assignment);
            scheduler.outbox().addFreedCapacity(assignment.machine);
        }
        requestCommands(assignment);
    }

    /** Queues the machine for sending its commands; those that concern services are sent first. */
    private void requestCommands(Assignment assignment) {
        if (assignment.job.spec.service()) {
            scheduler.outbox().addUrgentCommands(assignment.machine);
        } else {
            scheduler.outbox().addPendingCommands(assignment.machine);
        }
    }

    /** Whether few attempt numbers are left under this fencing token; a new token brings a new range of them. */
    public boolean attemptNumbersNearlyExhausted() {
        return attemptNumbers.nearlyExhausted();
    }

    // ---- reported states ----

    /**
     * Creates an assignment for a reported attempt that an earlier leader launched.
     *
     * @return null if the attempt isn't needed: its job isn't live, its task was completed before, it exited without
     *     completing the task, or a newer attempt is known
     */
    Assignment adopt(Machine machine, TaskStatus status, long now) {
        Job job = liveJobOf(status.task());
        if (job == null) {
            return null;
        }
        int index = taskIndexOf(status.task());
        if (!mayAdopt(job, index, status) || machine.assignments.containsKey(status.attempt())) {
            return null;
        }
        boolean exited = status.state() == State.EXITED;
        if (!exited && !supersedeOlderAttempt(job, index, status.attempt())) {
            return null;
        }
        Assignment assignment = new Assignment(job, index, status.attempt(), machine, now);
        machine.add(assignment);
        if (!exited) {
            job.assign(assignment);
            teamUsage.add(assignment.spec, 1);
            if (job.cancellationRequested()) {
                stop(assignment, 0);
            }
        }
        return assignment;
    }

    /** @return null if the job isn't live, or {@code taskId} isn't a task's id */
    private Job liveJobOf(String taskId) {
        int separator = taskId.lastIndexOf(Assignment.TASK_INDEX_SEPARATOR);
        Job job = separator < 0 ? null : scheduler.job(taskId.substring(0, separator));
        return job != null && job.isLive() ? job : null;
    }

    private static int taskIndexOf(String taskId) {
        try {
            return Integer.parseInt(taskId.substring(taskId.lastIndexOf(Assignment.TASK_INDEX_SEPARATOR) + 1));
        } catch (NumberFormatException e) {
            return NO_TASK_INDEX;
        }
    }

    /** Whether the task is still open; an exited attempt is adopted only if it completed the task. */
    private static boolean mayAdopt(Job job, int index, TaskStatus status) {
        boolean openTask = index >= 0 && index < job.tasks() && !job.completedTasks.get(index);
        return openTask && (status.state() != State.EXITED || completesTask(job, status));
    }

    /** Whether the exited attempt completed its task; replicas of services never do. */
    private static boolean completesTask(Job job, TaskStatus status) {
        return REASON_DONE.equals(status.exitReason()) && !job.spec.service();
    }

    /**
     * Removes the assignment of an older attempt of the task, if there is one: the newer attempt was launched only once
     * the older one no longer existed, so the heartbeat that listed the older one was delayed. Returns false if the
     * known attempt is the newer one.
     */
    private boolean supersedeOlderAttempt(Job job, int index, long attempt) {
        Assignment known = job.assignments.get(index);
        if (known == null) {
            return true;
        }
        if (Long.compareUnsigned(known.attempt, attempt) > 0) {
            return false;
        }
        remove(known);
        return true;
    }

    /** Applies the state that the agent reports. */
    void update(Assignment assignment, TaskStatus status, long now) {
        State next = status.state();
        if (!assignment.mayExist()) {
            if (next != State.EXITED) {
                reappeared(assignment, next, now);
            }
            return;
        }
        if (next == State.RUNNING || next == State.CHECKPOINTING) {
            assignment.machine.images.put(assignment.spec.image(), now);
        }
        assignment.transitionTo(next, now);
        if (next != State.EXITED) {
            assignment.job.clearRefusals(assignment.index);
        } else {
            assignment.machine.release(assignment);
            if (completesTask(assignment.job, status)) {
                taskCompleted(assignment, now);
            } else {
                endedWithoutCompletion(assignment, status.exitReason(), now);
            }
            releaseTask(assignment);
        }
    }

    /**
     * Handles an attempt that the agent lists as live after it had exited. It counts as being on the machine again. It
     * goes on if its task has no other attempt and may start; otherwise it is stopped.
     */
    private void reappeared(Assignment assignment, State state, long now) {
        Job job = assignment.job;
        assignment.machine.allocate(assignment);
        assignment.transitionTo(state, now);
        teamUsage.add(assignment.spec, 1);
        boolean isTasksAttempt = job.assignments.get(assignment.index) == null && job.mayStart(assignment.index);
        if (isTasksAttempt) {
            job.assign(assignment);
        } else {
            assignment.markSurplus();
            stop(assignment, 0);
        }
        scheduler
                .unexplainedAttempts()
                .add(UnexplainedAttempts.Kind.REAPPEARED, assignment.machine.id, assignment.taskId, assignment.attempt);
    }

    private void taskCompleted(Assignment assignment, long now) {
        Job job = assignment.job;
        int index = assignment.index;
        boolean firstCompletion = !job.completedTasks.get(index);
        job.completedTasks.set(index);
        job.pendingTasks.clear(index);
        Assignment other = job.assignments.get(index);
        if (other != null && other != assignment) {
            stop(other, 0);
        }
        if (job.durablyCompleted().get(index)) {
            assignment.markRemovable();
        } else {
            job.uncommittedAssignments.add(assignment);
        }
        if (firstCompletion) {
            scheduler.outbox().addNewCompletions(job);
            recordRuntime(assignment, now);
        }
        FaultAttribution.taskCompleted(assignment.machine, job, assignment.assignedAt);
    }

    /**
     * Adds a completed task's runtime to the estimates and to its job's attained service, and demotes the jobs that
     * Tyrex selects. Of a task that was never reported as running, the estimated runtime counts as attained service.
     */
    private void recordRuntime(Assignment assignment, long now) {
        double runtimeS = assignment.hasRun() ? assignment.runtimeS(now) : assignment.spec.estimateS();
        assignment.job.addAttainedService(runtimeS);
        if (assignment.hasRun()) {
            scheduler.estimates().observe(assignment.spec, assignment.machine.id, runtimeS, false);
        }
        for (Job demoted : Tyrex.selectJobsToDemote(scheduler.jobs())) {
            demoted.moveToSecondPartition();
        }
    }

    private void endedWithoutCompletion(Assignment assignment, String reason, long now) {
        assignment.markRemovable();
        recordCensoredRuntime(assignment, now);
        faultAttribution.taskFailed(assignment.machine, assignment.job, assignment.index, reason, now);
        if (REASON_ERROR.equals(reason)) {
            assignment.job.taskFailed(assignment.index);
        }
    }

    // ---- removal ----

    /**
     * Removes all assignments of a machine on which none of them can be any more: it was terminated, its lease expired,
     * or a new incarnation of its agent began.
     */
    void removeAll(Machine machine) {
        for (Assignment assignment : new ArrayList<>(machine.assignments.values())) {
            remove(assignment);
        }
        machine.clearReportedTasks();
    }

    /** Removes an assignment whose attempt can't be on its machine any more. */
    void remove(Assignment assignment) {
        if (assignment.mayExist()) {
            recordCensoredRuntime(assignment, scheduler.lastEventAt());
        }
        assignment.machine.assignments.remove(assignment.attempt);
        assignment.machine.release(assignment);
        assignment.job.uncommittedAssignments.remove(assignment);
        if (assignment.mayExist()) {
            assignment.transitionTo(State.EXITED, scheduler.lastEventAt());
            releaseTask(assignment);
        }
    }

    /**
     * Adds an interrupted task's runtime to the estimates as a censored observation: the task would have run longer.
     */
    private void recordCensoredRuntime(Assignment assignment, long now) {
        if (assignment.hasRun()) {
            scheduler.estimates().observe(assignment.spec, assignment.machine.id, assignment.runtimeS(now), true);
        }
    }

    /**
     * Unassigns the task, which becomes pending again if it may still start, and makes the freed capacity available.
     */
    private void releaseTask(Assignment assignment) {
        Job job = assignment.job;
        if (job.unassign(assignment)) {
            teamUsage.add(assignment.spec, -1);
            if (job.mayStart(assignment.index)) {
                job.pendingTasks.set(assignment.index);
                scheduler.outbox().requestCycle();
            }
        } else if (assignment.isSurplus()) {
            teamUsage.add(assignment.spec, -1);
        }
        Machine machine = assignment.machine;
        if (machine.idle()) {
            machine.becameIdle(scheduler.lastEventAt());
        }
        scheduler.outbox().addFreedCapacity(machine);
    }

    /**
     * Lets agents clear the exited attempts of all tasks in {@link Job#durablyCompleted}. To be called after tasks were
     * added to that set.
     */
    public void completionsCommitted(Job job) {
        for (Iterator<Assignment> i = job.uncommittedAssignments.iterator(); i.hasNext(); ) {
            Assignment assignment = i.next();
            if (job.durablyCompleted().get(assignment.index)) {
                assignment.markRemovable(); // the clear command is sent in the response to the machine's next heartbeat
                i.remove();
            }
        }
        job.completionsCommitted();
    }
}
