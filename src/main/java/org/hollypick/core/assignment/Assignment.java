package org.hollypick.core.assignment;

import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;

/**
 * One attempt to run a task on a machine: its last reported state, whether it has to stop, and whether a launch command
 * for it may still be executed. Confined to the event loop.
 */
public final class Assignment {
    /** The state of an attempt as its agent reports it. */
    public enum State {
        /** Assigned, but not reported by the agent yet. */
        LAUNCHING,
        /** The machine is pulling the image. */
        PULLING_IMAGE,
        /** The task is running. */
        RUNNING,
        /** The task is saving a checkpoint before it stops. */
        CHECKPOINTING,
        /** The task ended, or its machine no longer exists. */
        EXITED
    }

    /** Separates the job's id from the task's index in {@link #taskId}. */
    public static final char TASK_INDEX_SEPARATOR = '/';

    public final Job job;
    /** The task's index in its job. */
    public final int index;
    /** The task's requirements, which may differ from those of the job's other tasks. */
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
    private boolean surplus;
    private boolean directLaunchUnacknowledged;
    private boolean directLaunchInFlight;
    /** The fencing token of the direct call in flight; meaningless unless {@link #directLaunchInFlight}. */
    private long inFlightToken;
    /**
     * The newest fencing token under which a direct call with the launch may have been executed; 0 if none may. A copy
     * of the call may arrive at any time, and starts the attempt on an agent that has cleared it.
     */
    private long directLaunchToken;

    private boolean launchInHeartbeatResponse;
    /** The number of the machine's last task list that contained this attempt; 0 if none has. */
    long lastListedIn;
    /** Whether the task's resources are included in the machine's used resources. */
    boolean holdsResources;

    /** Creates an assignment in state {@code LAUNCHING}; the caller adds it to its machine and its job. */
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

    /** The last reported state. */
    public State state() {
        return state;
    }

    /** Sets the state, and updates the counts of the machine and the job that depend on it. */
    public void transitionTo(State next, long now) {
        if (state == next) {
            return;
        }
        if (next == State.RUNNING) {
            runningAt = now;
        }
        machine.adjustCounts(this, -1);
        job.changeRunningCount(isRunningOrCheckpointing() ? -1 : 0);
        state = next;
        machine.adjustCounts(this, 1);
        job.changeRunningCount(isRunningOrCheckpointing() ? 1 : 0);
    }

    /** Whether the task may still be on the machine. */
    public boolean mayExist() {
        return state != State.EXITED;
    }

    private boolean isRunningOrCheckpointing() {
        return state == State.RUNNING || state == State.CHECKPOINTING;
    }

    /** Whether the last reported state precedes {@code RUNNING}: the task may still be waiting for its image. */
    public boolean starting() {
        return state == State.LAUNCHING || state == State.PULLING_IMAGE;
    }

    /** When the state last became {@code RUNNING}, in milliseconds; 0 if it never did. */
    public long runningAt() {
        return runningAt;
    }

    /** Whether the task was ever reported as running. */
    public boolean hasRun() {
        return runningAt > 0;
    }

    /** Seconds since {@link #runningAt}; meaningless unless {@link #hasRun}. */
    public double runtimeS(long now) {
        return (now - runningAt) / 1000.0;
    }

    // ---- stop ----

    /**
     * Requests that the task stop: kill commands are sent until the agent reports that it has exited.
     *
     * @param graceS seconds that the task has to save a checkpoint
     * @return false if a stop was already requested with the same or a shorter grace period, which then stays
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

    /** Seconds that the task has to save a checkpoint when it is stopped. */
    public double graceS() {
        return graceS;
    }

    /** Records that the result of the exited attempt, if it has one, is durable. */
    public void markRemovable() {
        removable = true;
    }

    /**
     * Whether a clear command, which removes the exited attempt from the agent's task list, may be sent.
     *
     * @param token the fencing token of the message with the command
     */
    public boolean mayBeCleared(long token) {
        return removable && !directLaunchInFlight && !launchInHeartbeatResponse && !copyMayLaunchUnder(token);
    }

    /** The newest fencing token under which a direct call may have launched the attempt; 0 if none may have. */
    public long directLaunchToken() {
        return directLaunchToken;
    }

    /** Whether the exited attempt can be cleared only under a newer fencing token than this one. */
    boolean needsNewerTokenToBeCleared(long token) {
        return removable && !mayExist() && copyMayLaunchUnder(token);
    }

    /**
     * Whether an agent that has seen this fencing token, and none newer, would execute a copy of a direct call that
     * launched the attempt.
     */
    public boolean copyMayLaunchUnder(long token) {
        return directLaunchToken != 0 && Long.compareUnsigned(token, directLaunchToken) <= 0;
    }

    /** Records that the attempt runs although it isn't its task's attempt: it only has to stop. */
    public void markSurplus() {
        surplus = true;
    }

    /** Whether the attempt runs although it isn't its task's attempt. */
    public boolean isSurplus() {
        return surplus;
    }

    // ---- launch ----

    /** Records that the launch is sent in the response to the machine's newest heartbeat. */
    public void launchSentInHeartbeatResponse() {
        launchInHeartbeatResponse = true;
    }

    /** Records that the response to the machine's previous heartbeat was received or lost. */
    void heartbeatResponseSettled() {
        launchInHeartbeatResponse = false;
    }

    /** Records that the launch is sent in a direct call under this fencing token. */
    public void launchSentDirectly(long token) {
        directLaunchInFlight = true;
        inFlightToken = token;
    }

    /** Records that the direct call has ended, and whether the agent executed the launch. */
    public void directLaunchCompleted(CallOutcome outcome) {
        directLaunchInFlight = false;
        directLaunchUnacknowledged |= outcome == CallOutcome.UNKNOWN;
        if (outcome != CallOutcome.NOT_EXECUTED) {
            directLaunchToken = inFlightToken;
        }
    }

    /** Records that the agent refuses every launch that was sent until now, and that none is in flight. */
    void earlierLaunchesRefused() {
        directLaunchUnacknowledged = false;
        launchInHeartbeatResponse = false;
    }

    /**
     * Whether a launch command may still be executed. If the agent cleared the attempt now, a late launch would start
     * it again.
     */
    public boolean launchMayStillExecute() {
        return directLaunchMayExecute() || launchInHeartbeatResponse;
    }

    /**
     * Whether a launch sent in a direct call may still be executed. The agent executes no such launch after its
     * incarnation or token has changed.
     */
    public boolean directLaunchMayExecute() {
        return directLaunchUnacknowledged || directLaunchInFlight;
    }
}
