package org.hollypick.core;

import java.util.ArrayList;
import java.util.List;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.CallOutcome;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Command.Verb;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;

/**
 * Computes the commands that a machine needs, and tracks the launches that were sent and may still be executed.
 * Confined to the event loop.
 */
public final class CommandTracker {
    /** The grace period of kills that take effect at once, and of launches and clears, which have none. */
    private static final double NO_GRACE_S = 0;

    private final CommandTokens tokens;

    CommandTracker(CommandTokens tokens) {
        this.tokens = tokens;
    }

    /**
     * Raises the fencing token of the machine's messages, if only a newer one allows exited attempts to be cleared. To
     * be called before the response to a heartbeat is composed. A direct call in flight would be refused under the
     * newer token, so the next heartbeat is awaited then.
     */
    public void raiseTokenIfNeeded(Machine machine) {
        if (!machine.directCalls.directCallInFlight() && machine.needsNewerToken()) {
            raiseToken(machine);
        }
    }

    /**
     * Raises the fencing token of the machine's messages if a newer one may be used, and requests one otherwise. No
     * direct call may be in flight: it would be refused under the newer token.
     */
    public void raiseToken(Machine machine) {
        if (!machine.tokens.raise(tokens.usable())) {
            tokens.requestNewer();
        }
    }

    /**
     * Returns the commands that bring the tasks that the machine reported in line with its assignments. Kills come
     * first, then the clearing of exited attempts, then launches.
     */
    public List<Command> pendingCommands(Machine machine) {
        List<Command> commands = new ArrayList<>();
        List<Command> clears = new ArrayList<>();
        for (TaskStatus status : machine.reportedTasks()) {
            Assignment assignment = machine.assignmentOf(status.task(), status.attempt());
            if (status.state() == State.EXITED) {
                if (assignment == null || assignment.mayBeCleared(machine.tokens.sent())) {
                    clears.add(new Command(Verb.CLEAR, status.task(), status.attempt(), NO_GRACE_S));
                }
            } else if (assignment == null) {
                // The task's job isn't live, or this is a second attempt of the task. Since no assignment refers to the
                // attempt, it is killed even on a machine that isn't reconciled yet.
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

    /** A task that is already saving its checkpoint isn't killed again, unless it has to stop at once. */
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

    /** Records that the commands are sent in the response to a heartbeat. */
    public void sentInHeartbeatResponse(Machine machine, List<Command> commands) {
        machine.tokens.messageSent();
        for (Command command : commands) {
            Assignment assignment = assignmentToLaunch(command, machine);
            if (assignment != null) {
                assignment.launchSentInHeartbeatResponse();
            }
        }
    }

    /** Records that the commands are sent in a direct call, the only one in flight to this machine. */
    public void sentDirectly(Machine machine, List<Command> commands) {
        machine.directCalls.beginDirectCall();
        machine.tokens.messageSent();
        for (Command command : commands) {
            Assignment assignment = assignmentToLaunch(command, machine);
            if (assignment != null) {
                assignment.launchSentDirectly(machine.tokens.sent());
            }
        }
    }

    /**
     * Records the end of a direct call.
     *
     * @param incarnation the agent's incarnation that the call was addressed to; a later one refuses the commands
     */
    public void directCallCompleted(Machine machine, List<Command> commands, long incarnation, CallOutcome outcome) {
        machine.directCalls.endDirectCall();
        CallOutcome known = machine.incarnation() == incarnation ? outcome : CallOutcome.NOT_EXECUTED;
        for (Command command : commands) {
            Assignment assignment = assignmentToLaunch(command, machine);
            if (assignment != null) {
                assignment.directLaunchCompleted(known);
            }
        }
    }

    /** @return the assignment that the command launches; null for other commands, or if it was removed since */
    private static Assignment assignmentToLaunch(Command command, Machine machine) {
        return command.verb() == Verb.LAUNCH ? machine.assignmentOf(command.task(), command.attempt()) : null;
    }

    /**
     * Whether a launch that this leader sent may still start a task of this job: the launch is in flight, or may be
     * executed late, or the machine that executed it still pulls the image. Even an unreachable machine starts the task
     * once it has the image, as long as its lease lasts. A machine that lost the task with its agent's process starts
     * it because of a copy of the launch.
     */
    public boolean launchMayStillExecute(Job job) {
        for (Assignment assignment : job.assignments.values()) {
            boolean launchPending = assignment.state() == State.LAUNCHING && assignment.launchMayStillExecute();
            if (assignment.state() == State.PULLING_IMAGE
                    || launchPending
                    || assignment.machine.mayBeLaunchedByCopy(assignment)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a launch of this job that was sent directly may still be executed, at any time until the agent begins a
     * new incarnation or sees a newer fencing token.
     */
    public boolean directLaunchPending(Job job) {
        return directLaunchPending(job, Long.MIN_VALUE);
    }

    /**
     * As {@link #directLaunchPending(Job)}, but only on machines whose lease was renewed after {@code renewedAfter}:
     * other leases expire by themselves, and the launches with them.
     */
    public boolean directLaunchPending(Job job, long renewedAfter) {
        for (Assignment assignment : job.assignments.values()) {
            if (assignment.state() == State.LAUNCHING
                    && assignment.directLaunchMayExecute()
                    && assignment.machine.heartbeatAcknowledgedAt() > renewedAfter) {
                return true;
            }
        }
        return false;
    }
}
