package org.hollypick.core;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.hollypick.core.tyrex.Tyrex;

/**
 * The life of placements in one term: from the decision to start, through reports, to the certainty that nothing is
 * there.
 */
public final class AssignmentTable {
    private final Scheduler scheduler;
    private final long token;
    private final TeamUsage teamUsage;
    private final FaultAttribution faultAttribution;
    private long attempts;

    AssignmentTable(Scheduler scheduler, TeamUsage teamUsage) {
        this.scheduler = scheduler;
        this.token = scheduler.token;
        this.teamUsage = teamUsage;
        this.faultAttribution = new FaultAttribution(scheduler.jobs, scheduler.machines);
    }

    // ---- reports ----

    /**
     * Takes in a worker's report. False if it is older than what is known or from a session that is over: it says
     * nothing. {@code hello}: it came as a report, which no earlier answer to a report can still follow.
     */
    public boolean applyHeartbeat(Machine machine, Heartbeat heartbeat, boolean hello, long now) {
        scheduler.lastNow = now;
        if ((machine.heartbeatReceived && !heartbeat.newerThan(machine.incarnation, machine.heartbeatSequence))
                || outdated(machine, heartbeat)) {
            return false;
        }
        machine.seenToken = heartbeat.token();
        if (machine.heartbeatReceived && heartbeat.incarnation() != machine.incarnation) {
            removeAll(machine); // a new session: all that was there is gone, and late orders of the old one are refused
            machine.awaitsHeartbeat = !machine.heartbeatInIncarnation;
            machine.heartbeatInIncarnation = false;
        }
        if (!machine.heartbeatReceived || heartbeat.incarnation() != machine.incarnation) {
            machine.incarnationSeenAt = now;
            machine.incarnationExpiredAt = 0;
        }
        if (!machine.heartbeatReceived) {
            machine.heartbeatReceived = true;
            machine.idleSince = now;
            if (!machine.registered) {
                scheduler.machinesToRegister.add(machine);
            }
        }
        machine.incarnation = heartbeat.incarnation();
        machine.heartbeatSequence = heartbeat.sequence();
        if (!heartbeat.address().isEmpty()) {
            machine.address = heartbeat.address();
        }
        machine.reportedTasks = heartbeat.tasks();
        if (hello) {
            // A worker has one report in flight: the answer to the one before was taken or dropped by now.
            machine.assignments.values().forEach(p -> p.launchInHeartbeatResponse = false);
            scheduler.cycleRequested |= machine.awaitsHeartbeat;
            machine.awaitsHeartbeat = false;
            machine.heartbeatInIncarnation = true;
        }
        machine.beginHeartbeat();
        boolean strays = false;
        for (TaskStatus status : heartbeat.tasks()) {
            Assignment p = machine.assignmentOf(status.task(), status.attempt());
            if (p == null) {
                p = adopt(machine, status, now);
            }
            if (p != null) {
                machine.listed(p, now);
                update(p, status, now);
                if (heartbeat.token() == token
                        && p.mayExist()
                        && p.attempt >>> JobConstants.ATTEMPT_BITS != token
                        && !scheduler.reconciliationWasComplete()) {
                    teamUsage.found(p.spec, p.attempt);
                }
            } else if (status.state() != State.EXITED) {
                strays = true;
            }
        }
        scheduler.cycleRequested |= machine.hasOrphanedTasks && !strays;
        machine.hasOrphanedTasks = strays;
        for (Assignment p : machine.unlistedAssignments()) {
            if (p.state() != State.LAUNCHING || (p.stopRequested && !p.launchMayStillExecute())) {
                remove(p);
            }
        }
        // Only a report made under this token is final: older direct orders are refused from then on.
        if (heartbeat.token() == token && !(machine.reconciled && machine.confirmedLive)) {
            machine.reconciled = true;
            confirmLive(machine);
        }
        if (!Double.isNaN(heartbeat.noticeS()) && !machine.draining) {
            drain(machine, heartbeat.noticeS());
        }
        scheduler.machinesWithPendingCommands.add(machine);
        return true;
    }

    /**
     * Whether a report says nothing whatever its count: of a session that is over, or with larger counts and a lower
     * token than the machine has shown. A worker's token never falls, so that was written in an earlier life.
     */
    public static boolean outdated(Machine machine, Heartbeat heartbeat) {
        return Long.compareUnsigned(heartbeat.incarnation(), machine.minIncarnation) < 0
                || (machine.incarnationExpired()
                        && Long.compareUnsigned(heartbeat.incarnation(), machine.incarnation) <= 0)
                || (machine.heartbeatReceived
                        && heartbeat.newerThan(machine.incarnation, machine.heartbeatSequence)
                        && Long.compareUnsigned(heartbeat.token(), machine.seenToken) < 0);
    }

    /** It is there, and not only an old report of it. */
    public void confirmLive(Machine machine) {
        scheduler.cycleRequested |= !machine.confirmedLive;
        machine.confirmedLive = true;
    }

    /**
     * An answer to a question that was put after larger counts were known: the worker has begun again, with nothing.
     * Only what an order still under way may bring is there yet, for a lease from now on at most.
     */
    public void incarnationRestarted(Machine machine, Heartbeat heartbeat, long now) {
        scheduler.lastNow = now;
        machine.incarnationExpiredAt = now;
        machine.incarnationSeenAt = now;
        machine.beginHeartbeat();
        for (TaskStatus status : heartbeat.tasks()) {
            Assignment p = machine.assignmentOf(status.task(), status.attempt());
            if (p != null) {
                machine.listed(p, now);
            }
        }
        for (Assignment p : machine.unlistedAssignments()) {
            if (!p.launchMayStillExecute()) {
                remove(p);
            }
        }
        machine.reportedTasks = List.of();
    }

    private void drain(Machine machine, double noticeS) {
        machine.draining = true;
        for (Assignment p : machine.liveAssignments()) {
            JobSpec spec = p.spec;
            if (spec.checkpointS() > 0 && !spec.service()) {
                stop(p, noticeS > spec.saveS() ? Math.ceil(spec.saveS()) : 0);
            } else if (spec.service() || noticeS < spec.estimateS() / 4) {
                stop(p, 0);
            }
        }
        scheduler.cycleRequested = true;
    }

    /** A reported attempt that this term didn't launch: from an earlier leader, if its task isn't elsewhere. */
    private Assignment adopt(Machine machine, TaskStatus status, long now) {
        int slash = status.task().lastIndexOf('/');
        Job job = slash < 0 ? null : scheduler.jobs.get(status.task().substring(0, slash));
        if (job == null || job.status != Job.Status.LIVE) {
            return null;
        }
        int index;
        try {
            index = Integer.parseInt(status.task().substring(slash + 1));
        } catch (NumberFormatException e) {
            return null;
        }
        if (index < 0
                || index >= job.tasks()
                || job.completedTasks.get(index)
                || machine.assignments.containsKey(status.attempt())) {
            return null;
        }
        if (status.state() == State.EXITED && (!"done".equals(status.why()) || job.spec.service())) {
            return null;
        }
        Assignment other = status.state() == State.EXITED ? null : job.assignments.get(index);
        if (other != null) {
            if (Long.compareUnsigned(other.attempt, status.attempt()) > 0) {
                return null;
            }
            // a late copy of a report showed it: the newer attempt was only launched when the older was gone
            remove(other);
        }
        Assignment p = new Assignment(job, index, status.attempt(), machine, now);
        machine.add(p);
        if (status.state() != State.EXITED) {
            job.assign(p);
            teamUsage.add(p.spec, 1);
            if (job.cancellationRequested) {
                stop(p, 0);
            }
        }
        return p;
    }

    private void update(Assignment p, TaskStatus status, long now) {
        if (!p.mayExist()) {
            return;
        }
        if (status.state() == State.RUNNING && p.state() != State.RUNNING) {
            p.runningAt = now;
        }
        if (status.state() == State.RUNNING || status.state() == State.CHECKPOINTING) {
            p.machine.images.put(p.spec.image(), now);
        }
        p.transitionTo(status.state());
        if (status.state() == State.EXITED) {
            exited(p, status.why(), now);
        }
    }

    private void exited(Assignment p, String why, long now) {
        Machine machine = p.machine;
        Job job = p.job;
        machine.release(p);
        boolean done = "done".equals(why) && !job.spec.service();
        if (done) {
            boolean first = !job.completedTasks.get(p.index);
            job.completedTasks.set(p.index);
            job.pendingTasks.clear(p.index);
            Assignment other = job.assignments.get(p.index);
            if (other != null && other != p) {
                stop(other, 0);
            }
            if (job.durablyCompleted.get(p.index)) {
                p.removable = true;
            } else {
                job.uncommittedAssignments.add(p);
            }
            if (first) {
                scheduler.jobsWithNewCompletions.add(job);
                double ran = p.runningAt > 0 ? (now - p.runningAt) / 1000.0 : p.spec.estimateS();
                job.attainedServiceS += ran;
                if (p.runningAt > 0) {
                    scheduler.estimates.observe(p.spec, machine.id, ran, false);
                }
                for (Job mover : Tyrex.movers(scheduler.jobs.values())) {
                    mover.inSecondPartitionByTyrex = true;
                    mover.attainedServiceS = 0;
                }
            }
            FaultAttribution.cleared(machine, job, p.startedAt);
        } else {
            p.removable = true;
            cutShort(p, now);
            faultAttribution.ended(machine, job, p.index, why, now);
            if ("error".equals(why)) {
                job.taskFailed(p.index);
            }
        }
        freeTask(p);
    }

    void removeAll(Machine machine) {
        for (Assignment p : new ArrayList<>(machine.assignments.values())) {
            remove(p);
        }
        machine.reportedTasks = List.of();
        machine.hasOrphanedTasks = false;
    }

    /** Nothing of it can be on its machine any more. */
    private void remove(Assignment p) {
        if (p.mayExist()) {
            cutShort(p, scheduler.lastNow);
        }
        p.machine.assignments.remove(p.attempt);
        p.machine.release(p);
        p.job.uncommittedAssignments.remove(p);
        if (p.mayExist()) {
            p.transitionTo(State.EXITED);
            freeTask(p);
        }
    }

    /** It ran for that long, and would have run for longer. */
    private void cutShort(Assignment p, long now) {
        if (p.runningAt > 0) {
            scheduler.estimates.observe(p.spec, p.machine.id, (now - p.runningAt) / 1000.0, true);
        }
    }

    private void freeTask(Assignment p) {
        Job job = p.job;
        if (job.unassign(p)) {
            teamUsage.add(p.spec, -1);
            if (job.mayStart(p.index)) {
                job.pendingTasks.set(p.index);
                scheduler.cycleRequested = true;
            }
        }
        if (p.machine.idle()) {
            p.machine.idleSince = Math.max(p.machine.idleSince, scheduler.lastNow);
        }
        scheduler.machinesWithFreedRoom.add(p.machine);
    }

    /** Everything in {@code job.committed} is durable; its exited attempts may be cleared. */
    public void completionsCommitted(Job job) {
        for (Iterator<Assignment> i = job.uncommittedAssignments.iterator(); i.hasNext(); ) {
            Assignment p = i.next();
            if (job.durablyCompleted.get(p.index)) {
                p.removable = true; // the order goes with the answer to the machine's next report
                i.remove();
            }
        }
        job.completionsCommitted();
    }

    // ---- starts and stops ----

    public void start(Job job, int index, Machine machine, long now) {
        if (attempts >= 1L << JobConstants.ATTEMPT_BITS) {
            throw new IllegalStateException("out of attempt numbers under this token");
        }
        long attempt = (token << JobConstants.ATTEMPT_BITS) + attempts++;
        Assignment p = new Assignment(job, index, attempt, machine, now);
        machine.add(p);
        job.assign(p);
        teamUsage.add(p.spec, 1);
        requestCommands(p);
    }

    /** Orders for services go out first. */
    private void requestCommands(Assignment p) {
        (p.job.spec.service() ? scheduler.machinesWithUrgentCommands : scheduler.machinesWithPendingCommands)
                .add(p.machine);
    }

    public void stop(Assignment p, double graceS) {
        if (!p.stopRequested || graceS < p.graceS) {
            p.stopRequested = true;
            p.graceS = graceS;
            if (graceS == 0) {
                p.machine.release(p);
                scheduler.machinesWithFreedRoom.add(p.machine);
            }
            requestCommands(p);
        }
    }

    // ---- orders ----

    /** The difference between what the machine reported and what is wanted, as orders. */
    public List<Command> pendingCommands(Machine machine) {
        List<Command> pendingCommands = new ArrayList<>();
        List<Command> clears = new ArrayList<>();
        for (TaskStatus status : machine.reportedTasks) {
            Assignment p = machine.assignmentOf(status.task(), status.attempt());
            if (status.state() == State.EXITED) {
                if (p == null || (p.removable && !p.launchMayStillExecute())) {
                    clears.add(new Command(Command.Verb.CLEAR, status.task(), status.attempt(), 0));
                }
            } else if (p == null) {
                // Of no live job, or a second attempt: it goes. Unheard machines too; their tasks belong to no one
                // else.
                pendingCommands.add(new Command(Command.Verb.KILL, status.task(), status.attempt(), 0));
            } else if (p.stopRequested && (status.state() != State.CHECKPOINTING || p.graceS == 0)) {
                pendingCommands.add(new Command(Command.Verb.KILL, status.task(), status.attempt(), p.graceS));
            }
        }
        pendingCommands.addAll(clears);
        if (machine.registered) {
            for (Assignment p : machine.assignments.values()) {
                if (p.state() == State.LAUNCHING && !p.stopRequested) {
                    pendingCommands.add(new Command(Command.Verb.LAUNCH, p.taskId, p.attempt, 0));
                }
            }
        }
        return pendingCommands;
    }

    /** The orders go out as the answer to a report. */
    public void sentInHeartbeatResponse(Machine machine, List<Command> pendingCommands) {
        for (Command command : pendingCommands) {
            Assignment p = machine.assignmentOf(command.task(), command.attempt());
            if (command.verb() == Command.Verb.LAUNCH && p != null) {
                p.launchInHeartbeatResponse = true;
            }
        }
    }

    public void sentDirectly(Machine machine, List<Command> pendingCommands) {
        machine.directCallInFlight = true;
        for (Command command : pendingCommands) {
            Assignment p = machine.assignmentOf(command.task(), command.attempt());
            if (command.verb() == Command.Verb.LAUNCH && p != null) {
                p.directLaunchInFlight = true;
            }
        }
    }

    /**
     * A direct call ended. {@code settled}: it was executed, refused or never sent; otherwise it may be executed late.
     */
    public void directCallCompleted(Machine machine, List<Command> pendingCommands, long session, boolean settled) {
        machine.directCallInFlight = false;
        for (Command command : pendingCommands) {
            Assignment p = machine.assignmentOf(command.task(), command.attempt());
            if (command.verb() == Command.Verb.LAUNCH && p != null) {
                p.directLaunchInFlight = false;
                if (!settled && machine.incarnation == session) {
                    p.directLaunchUnacknowledged = true;
                }
            }
        }
    }

    /**
     * Whether a task of this job may yet start by a launch that was sent: it may be carried out, whichever way it went
     * out, or the machine waits for the image. A machine that can't be reached starts the task once the image is there,
     * as long as its lease lasts.
     */
    public boolean launchMayStillExecute(Job job) {
        for (Assignment p : job.assignments.values()) {
            if (p.state() == State.PULLING_IMAGE || (p.state() == State.LAUNCHING && p.launchMayStillExecute())) {
                return true;
            }
        }
        return false;
    }

    /**
     * Whether a launch of this job that went out directly may yet be carried out, at any time while the machine's
     * session and token last.
     */
    public boolean directLaunchPending(Job job) {
        return directLaunchPending(job, Long.MIN_VALUE);
    }

    /**
     * The same on a machine whose lease was renewed since: others' leases end by themselves, and the launch with them.
     */
    public boolean directLaunchPending(Job job, long renewedSince) {
        for (Assignment p : job.assignments.values()) {
            if (p.state() == State.LAUNCHING
                    && (p.directLaunchInFlight || p.directLaunchUnacknowledged)
                    && p.machine.heartbeatAcknowledgedAt > renewedSince) {
                return true;
            }
        }
        return false;
    }

    /** Attempt numbers are nearly used up: a new token brings new ones. */
    public boolean attemptNumbersNearlyExhausted() {
        return attempts > (1L << JobConstants.ATTEMPT_BITS) - 10_000;
    }
}
