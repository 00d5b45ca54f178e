package org.hollypick.core.assignment;

import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;

/**
 * One attempt of a task that is, or may be, on a machine: its state as last reported, whether it has to stop, and
 * whether copies of its launch may still be executed. Confined to the event loop.
 */
public final class Assignment {
    /** The state of an attempt, as the agent reports it. */
    public enum State {
        /** Assigned, and not reported yet. */
        LAUNCHING,
        /** The machine pulls the image. */
        PULLING_IMAGE,
        /** The task runs. */
        RUNNING,
        /** The task saves a checkpoint, since it has to stop. */
        CHECKPOINTING,
        /** The task ended, or its machine has gone. */
        EXITED
    }

    /** The separator of a job's id and a task's index in {@link #taskId}. */
    public static final char TASK_INDEX_SEPARATOR = '/';

    public final Job job;
    /** The task's index in its job. */
    public final int index;
    /** What the task requires. */
    public final JobSpec spec;

    public final long attempt;
    public final Machine machine;
    public final String taskId;
    /** When the assignment was made or adopted, in milliseconds. */
    public final long assignedAt;

    private State state = State.LAUNCHING;
    private long runningAt;
    private boolean stopRequested;
    private double graceS;
    private boolean removable;
    private boolean directLaunchUnacknowledged;
    private boolean directLaunchInFlight;
    private boolean launchInHeartbeatResponse;
    /** The machine's task list that held it last; 0 before any did. */
    long lastListedIn;
    /** Whether its resources on the machine are taken. */
    boolean holdsResources;

    /** Assigns a task; the caller adds the assignment to its machine and its job. */
    public Assignment(Job job, int index, long attempt, Machine machine, long now) {
        this.job = job;
        this.index = index;
        this.spec = job.spec(index);
        this.attempt = attempt;
        this.machine = machine;
        this.taskId = job.spec.id() + TASK_INDEX_SEPARATOR + index;
        this.assignedAt = now;
    }

    // ---- state ----

    /** The state as last reported. */
    public State state() {
        return state;
    }

    /** Follows a reported state, and keeps the running totals of the machine and the job in step. */
    public void transitionTo(State next, long now) {
        if (state == next) {
            return;
        }
        if (next == State.RUNNING) {
            runningAt = now;
        }
        machine.adjustCounts(this, -1);
        job.changeRunningCount(holdsImage() ? -1 : 0);
        state = next;
        machine.adjustCounts(this, 1);
        job.changeRunningCount(holdsImage() ? 1 : 0);
    }

    /** Whether the task may be on the machine. */
    public boolean mayExist() {
        return state != State.EXITED;
    }

    /** Whether it runs, or saves its checkpoint. */
    private boolean holdsImage() {
        return state == State.RUNNING || state == State.CHECKPOINTING;
    }

    /** Whether it still waits for its image, as far as is known. */
    public boolean starting() {
        return state == State.LAUNCHING || state == State.PULLING_IMAGE;
    }

    /** When it was first reported as running, in milliseconds; 0 if it wasn't. */
    public long runningAt() {
        return runningAt;
    }

    /** Whether it was ever reported as running. */
    public boolean hasRun() {
        return runningAt > 0;
    }

    /** Seconds since it was first reported as running; meaningless unless {@link #hasRun}. */
    public double runtimeS(long now) {
        return (now - runningAt) / 1000.0;
    }

    // ---- stop ----

    /**
     * Requests that the task stops: kill commands go out until the agent reports it exited.
     *
     * @param graceS seconds to save a checkpoint
     * @return false if it was requested before with no longer a grace period
     */
    public boolean requestStop(double graceS) {
        if (stopRequested && graceS >= this.graceS) {
            return false;
        }
        stopRequested = true;
        this.graceS = graceS;
        return true;
    }

    /** Whether the task has to stop. */
    public boolean stopRequested() {
        return stopRequested;
    }

    /** Seconds that the task has to save a checkpoint once it has to stop. */
    public double graceS() {
        return graceS;
    }

    /** What the exited attempt achieved is durable, if anything. */
    public void markRemovable() {
        removable = true;
    }

    /** Whether the agent may forget the exited attempt. */
    public boolean mayBeCleared() {
        return removable && !launchMayStillExecute();
    }

    // ---- launch ----

    /** The launch goes out in the response to the machine's newest heartbeat. */
    public void launchSentInHeartbeatResponse() {
        launchInHeartbeatResponse = true;
    }

    /** The response to the machine's last heartbeat was taken or lost. */
    void heartbeatResponseSettled() {
        launchInHeartbeatResponse = false;
    }

    /** The launch goes out in a direct call. */
    public void launchSentDirectly() {
        directLaunchInFlight = true;
    }

    /** The direct call has ended; {@code mayExecuteLate}: with an unknown outcome, while the incarnation lasts. */
    public void directLaunchCompleted(boolean mayExecuteLate) {
        directLaunchInFlight = false;
        directLaunchUnacknowledged |= mayExecuteLate;
    }

    /** Whether a copy of the launch may still be executed: clearing the attempt now could start it once more. */
    public boolean launchMayStillExecute() {
        return directLaunchMayExecute() || launchInHeartbeatResponse;
    }

    /** Whether a launch that was sent directly may still be executed, while the agent's incarnation and token last. */
    public boolean directLaunchMayExecute() {
        return directLaunchUnacknowledged || directLaunchInFlight;
    }
}
