package org.hollypick.core;

import java.util.ArrayList;
import java.util.List;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Command.Verb;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;

/**
 * Computes the commands that a machine needs, and tracks the launches that were sent and may still be executed.
 * Confined to the event loop.
 */
public final class CommandTracker {
    /** Kills without a grace period, and commands that know none. */
    private static final double NO_GRACE_S = 0;

    CommandTracker() {}

    /**
     * The difference between what the machine reported and what it should run. Kills come first, then the clearing of
     * exited attempts, then launches.
     */
    public List<Command> pendingCommands(Machine machine) {
        List<Command> commands = new ArrayList<>();
        List<Command> clears = new ArrayList<>();
        for (TaskStatus status : machine.reportedTasks()) {
            Assignment assignment = machine.assignmentOf(status.task(), status.attempt());
            if (status.state() == State.EXITED) {
                if (assignment == null || assignment.mayBeCleared()) {
                    clears.add(new Command(Verb.CLEAR, status.task(), status.attempt(), NO_GRACE_S));
                }
            } else if (assignment == null) {
                // Of no live job, or a second attempt of its task. Killed on machines that aren't reconciled yet, too:
                // it belongs to nobody.
                commands.add(new Command(Verb.KILL, status.task(), status.attempt(), NO_GRACE_S));
            } else if (needsKill(assignment, status)) {
                commands.add(new Command(Verb.KILL, status.task(), status.attempt(), assignment.graceS()));
            }
        }
        commands.addAll(clears);
        if (machine.isRegistered()) {
            addLaunches(machine, commands);
        }
        return commands;
    }

    /** A task that already saves its checkpoint isn't killed again, unless it has to go at once. */
    private static boolean needsKill(Assignment assignment, TaskStatus status) {
        return assignment.stopRequested()
                && (status.state() != State.CHECKPOINTING || assignment.graceS() == NO_GRACE_S);
    }

    private static void addLaunches(Machine machine, List<Command> commands) {
        for (Assignment assignment : machine.assignments.values()) {
            if (assignment.state() == State.LAUNCHING && !assignment.stopRequested()) {
                commands.add(new Command(Verb.LAUNCH, assignment.taskId, assignment.attempt, NO_GRACE_S));
            }
        }
    }

    /** Records that the commands go out in the response to a heartbeat. */
    public void sentInHeartbeatResponse(Machine machine, List<Command> commands) {
        for (Command command : commands) {
            Assignment assignment = assignmentToLaunch(command, machine);
            if (assignment != null) {
                assignment.launchSentInHeartbeatResponse();
            }
        }
    }

    /** Records that the commands go out in a direct call, the only one in flight to this machine. */
    public void sentDirectly(Machine machine, List<Command> commands) {
        machine.directCalls.beginDirectCall();
        for (Command command : commands) {
            Assignment assignment = assignmentToLaunch(command, machine);
            if (assignment != null) {
                assignment.launchSentDirectly();
            }
        }
    }

    /**
     * Records the end of a direct call.
     *
     * @param incarnation the agent's incarnation that the call was addressed to
     * @param settled true if the commands were executed, refused or never sent; otherwise they may be executed late
     */
    public void directCallCompleted(Machine machine, List<Command> commands, long incarnation, boolean settled) {
        machine.directCalls.endDirectCall();
        boolean mayExecuteLate = !settled && machine.incarnation() == incarnation;
        for (Command command : commands) {
            Assignment assignment = assignmentToLaunch(command, machine);
            if (assignment != null) {
                assignment.directLaunchCompleted(mayExecuteLate);
            }
        }
    }

    /** @return the assignment that the command launches; null for other commands, or if it was removed since */
    private static Assignment assignmentToLaunch(Command command, Machine machine) {
        return command.verb() == Verb.LAUNCH ? machine.assignmentOf(command.task(), command.attempt()) : null;
    }

    /**
     * Whether a task of this job may still start by a launch that this leader sent: on its way by either path, or
     * executed on a machine that still pulls the image. An unreachable machine starts the task once it has the image,
     * as long as its lease lasts.
     */
    public boolean launchMayStillExecute(Job job) {
        for (Assignment assignment : job.assignments.values()) {
            boolean launchPending = assignment.state() == State.LAUNCHING && assignment.launchMayStillExecute();
            if (assignment.state() == State.PULLING_IMAGE || launchPending) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a launch of this job that was sent directly may still be executed, at any time while the machine's
     * incarnation and token last.
     */
    public boolean directLaunchPending(Job job) {
        return directLaunchPending(job, Long.MIN_VALUE);
    }

    /**
     * The same, on a machine whose lease was renewed after {@code renewedSince}: other leases expire by themselves, and
     * the launch with them.
     */
    public boolean directLaunchPending(Job job, long renewedSince) {
        for (Assignment assignment : job.assignments.values()) {
            if (assignment.state() == State.LAUNCHING
                    && assignment.directLaunchMayExecute()
                    && assignment.machine.heartbeatAcknowledgedAt() > renewedSince) {
                return true;
            }
        }
        return false;
    }
}
