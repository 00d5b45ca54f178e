package org.hollypick.core;

import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;

/**
 * Applies the heartbeats of agents to the machines and the assignment table of one term: incarnation and sequence
 * number, listed and unlisted tasks, reconciliation under this term's token, and eviction notices of the cloud.
 * Confined to the event loop.
 */
public final class HeartbeatProcessor {
    /**
     * At an eviction notice, a task without checkpoints is stopped if its estimated runtime exceeds the notice by this
     * factor.
     */
    private static final int MAX_ESTIMATE_TO_NOTICE_RATIO = 4;

    private final Scheduler scheduler;
    private final AssignmentTable assignments;
    private final TeamUsage teamUsage;

    HeartbeatProcessor(Scheduler scheduler, AssignmentTable assignments, TeamUsage teamUsage) {
        this.scheduler = scheduler;
        this.assignments = assignments;
        this.teamUsage = teamUsage;
    }

    /**
     * Applies a heartbeat, unless it is a duplicate, older than the newest one, or from an incarnation that has ended.
     *
     * @param sentByAgent true if the agent sent it as a request, which implies that the response to its previous
     *     request has been received or lost; false if it came in the response to a direct call
     * @param now milliseconds of the event loop's clock
     * @return whether the heartbeat was applied
     */
    public boolean applyHeartbeat(Machine machine, Heartbeat heartbeat, boolean sentByAgent, long now) {
        scheduler.recordEventTime(now);
        if (machine.hasProcessed(heartbeat) || machine.isOutdated(heartbeat)) {
            return false;
        }
        beginIncarnationIfNew(machine, heartbeat, now);
        machine.recordHeartbeat(heartbeat);
        if (sentByAgent) {
            scheduler.outbox().requestCycleIf(machine.awaitsHeartbeat());
            machine.heartbeatRequestReceived();
        }
        applyState(machine, heartbeat, now);
        return true;
    }

    /**
     * Applies the state of an agent that has restarted without its token and sequence number, as shown by the response
     * to the only message that carried the token in it. Tasks that aren't listed are gone, whatever launches of them
     * are copied: the agent refuses lower tokens.
     */
    public void applyFencedRestart(Machine machine, Heartbeat heartbeat, long now) {
        scheduler.recordEventTime(now);
        machine.beginIncarnationAfterRestart(heartbeat, now);
        machine.recordHeartbeat(heartbeat);
        applyState(machine, heartbeat, now);
        scheduler.outbox().requestCycle();
    }

    private void applyState(Machine machine, Heartbeat heartbeat, long now) {
        applyListedTasks(machine, heartbeat, now);
        removeUnlistedAssignments(machine);
        reconcileIfUnderToken(machine, heartbeat);
        if (heartbeat.hasEvictionNotice() && !machine.draining()) {
            beginGracefulEviction(machine, heartbeat.evictionNoticeS());
        }
        scheduler.outbox().addPendingCommands(machine);
    }

    /** A new incarnation starts without tasks, and its agent refuses late commands to the old one. */
    private void beginIncarnationIfNew(Machine machine, Heartbeat heartbeat, long now) {
        if (machine.heartbeatReceived() && heartbeat.incarnation() == machine.incarnation()) {
            return;
        }
        if (machine.heartbeatReceived()) {
            assignments.removeAll(machine);
            machine.endIncarnation();
        } else if (!machine.isRegistered()) {
            scheduler.outbox().addToRegister(machine);
        }
        machine.beginIncarnation(now);
    }

    private void applyListedTasks(Machine machine, Heartbeat heartbeat, long now) {
        machine.beginTaskList();
        boolean orphanedTasks = false;
        for (TaskStatus status : heartbeat.tasks()) {
            Assignment assignment = machine.assignmentOf(status.task(), status.attempt());
            if (assignment == null) {
                assignment = assignments.adopt(machine, status, now);
            }
            if (assignment != null) {
                applyListedTask(assignment, status, heartbeat, now);
            } else if (status.state() != State.EXITED) {
                orphanedTasks = true;
                scheduler
                        .unexplainedAttempts()
                        .add(UnexplainedAttempts.Kind.NOT_ASSIGNED, machine.id, status.task(), status.attempt());
            }
        }
        scheduler.outbox().requestCycleIf(machine.hasOrphanedTasks() && !orphanedTasks);
        machine.setOrphanedTasks(orphanedTasks);
    }

    private void applyListedTask(Assignment assignment, TaskStatus status, Heartbeat heartbeat, long now) {
        assignment.machine.markListed(assignment, now);
        assignments.update(assignment, status, now);
        if (scheduler.commandTokens().isOfThisTerm(heartbeat.token())
                && assignment.mayExist()
                && AttemptNumbers.tokenOf(assignment.attempt) != scheduler.token()
                && !scheduler.reconciliationWasComplete()) {
            teamUsage.recordFoundTask(assignment.spec, assignment.attempt);
        }
    }

    private void removeUnlistedAssignments(Machine machine) {
        for (Assignment assignment : machine.unlistedAssignments()) {
            boolean launchCancelled = assignment.stopRequested() && !assignment.launchMayStillExecute();
            boolean gone = assignment.state() != State.LAUNCHING || launchCancelled;
            if (gone && !machine.mayBeLaunchedByCopy(assignment)) {
                assignments.remove(assignment);
            }
        }
    }

    /**
     * Marks the machine as reconciled if the heartbeat was made under this term's token. Only such a heartbeat is
     * final: from then on the agent refuses direct commands with older tokens.
     */
    private void reconcileIfUnderToken(Machine machine, Heartbeat heartbeat) {
        if (scheduler.commandTokens().isOfThisTerm(heartbeat.token())
                && !(machine.reconciled() && machine.confirmedLive())) {
            machine.markReconciled();
            confirmLive(machine);
        }
    }

    /** Records that the machine itself is live: a heartbeat alone may be a delayed copy. */
    public void confirmLive(Machine machine) {
        scheduler.outbox().requestCycleIf(!machine.confirmedLive());
        machine.markConfirmedLive();
    }

    /**
     * Applies a restart of the agent without tasks, as shown by the response to a direct call whose heartbeat isn't
     * newer than the newest one that had been received when the call was sent, but whose token may have been seen
     * before the restart. Besides the listed tasks, the machine can only hold tasks of launches still in flight and of
     * copies of launches, and these only for the duration of one lease from now on.
     */
    public void applyAgentRestart(Machine machine, Heartbeat heartbeat, long now) {
        scheduler.recordEventTime(now);
        machine.expireRestartedIncarnation(now);
        machine.beginTaskList();
        for (TaskStatus status : heartbeat.tasks()) {
            Assignment assignment = machine.assignmentOf(status.task(), status.attempt());
            if (assignment != null) {
                machine.markListed(assignment, now);
            }
        }
        for (Assignment assignment : machine.unlistedAssignments()) {
            if (!assignment.launchMayStillExecute() && !machine.mayBeLaunchedByCopy(assignment)) {
                assignments.remove(assignment);
            }
        }
    }

    /**
     * Starts to drain a machine that the cloud is about to reclaim: stops tasks that can save a checkpoint, services,
     * and tasks that are unlikely to finish in time.
     */
    private void beginGracefulEviction(Machine machine, double evictionNoticeS) {
        machine.beginDraining();
        for (Assignment assignment : machine.liveAssignments()) {
            JobSpec spec = assignment.spec;
            if (spec.checkpointIntervalS() > 0 && !spec.service()) {
                assignments.stop(
                        assignment, evictionNoticeS > spec.checkpointSaveS() ? Math.ceil(spec.checkpointSaveS()) : 0);
            } else if (spec.service() || evictionNoticeS < spec.estimateS() / MAX_ESTIMATE_TO_NOTICE_RATIO) {
                assignments.stop(assignment, 0);
            }
        }
        scheduler.outbox().requestCycle();
    }
}
