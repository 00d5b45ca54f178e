package org.hollypick.core.assignment;

import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;

/** One attempt of a task that is, or may be, on a machine. */
public final class Assignment {
    public enum State {
        LAUNCHING,
        PULLING_IMAGE,
        RUNNING,
        CHECKPOINTING,
        EXITED
    }

    public final Job job;
    public final int index;
    /** What the task takes. */
    public final JobSpec spec;

    public final long attempt;
    public final Machine machine;
    public final String taskId;
    private State state = State.LAUNCHING;
    /** Wanted gone: a kill goes out until the worker reports it exited. */
    public boolean stopRequested;

    public double graceS;
    /** An exited attempt may be cleared once what it achieved is durable. */
    public boolean removable;
    /** A direct launch went out and its outcome is unknown: it may be executed late, while the session lasts. */
    public boolean directLaunchUnacknowledged;
    /** A direct launch is on its way right now. */
    public boolean directLaunchInFlight;
    /** The answer to the machine's latest report carried the launch. */
    public boolean launchInHeartbeatResponse;
    /** The report that listed it last, by the machine's own count. */
    long listedIn;
    /** Its room on the machine is still taken. */
    boolean holdsResources;

    public final long startedAt;
    public long runningAt;

    public Assignment(Job job, int index, long attempt, Machine machine, long now) {
        this.job = job;
        this.index = index;
        this.spec = job.spec(index);
        this.attempt = attempt;
        this.machine = machine;
        this.taskId = job.spec.id() + "/" + index;
        this.startedAt = now;
    }

    public State state() {
        return state;
    }

    /** Keeps the running totals of its machine and its job in step. */
    public void transitionTo(State next) {
        if (state == next) {
            return;
        }
        machine.count(this, -1);
        job.running -= onMachine() ? 1 : 0;
        state = next;
        machine.count(this, 1);
        job.running += onMachine() ? 1 : 0;
    }

    /** Whether the task may be on the machine. */
    public boolean mayExist() {
        return state != State.EXITED;
    }

    /** Whether it has its image, as last reported. */
    private boolean onMachine() {
        return state == State.RUNNING || state == State.CHECKPOINTING;
    }

    /** Sent or fetching: it still waits for its image. */
    public boolean starting() {
        return state == State.LAUNCHING || state == State.PULLING_IMAGE;
    }

    /** Whether a copy of the launch may still be executed: clearing the attempt now could start it once more. */
    public boolean launchMayStillExecute() {
        return directLaunchMayExecute() || launchInHeartbeatResponse;
    }

    /** Whether a launch that was sent directly may still be executed, while the agent's incarnation and token last. */
    public boolean directLaunchMayExecute() {
        return directLaunchUnacknowledged || directLaunchInFlight;
    }

    /** Whether the agent may forget the exited attempt. */
    public boolean mayBeCleared() {
        return removable && !launchMayStillExecute();
    }
}
