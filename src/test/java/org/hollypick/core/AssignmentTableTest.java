package org.hollypick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.config.Settings;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.CallOutcome;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.junit.jupiter.api.Test;

/**
 * Where a task may exist, and when it may start again. Each test guards against a failure that was found, or checks a
 * step of the argument in docs/safety.md.
 */
class AssignmentTableTest {
    private static final long LEASE_MS = 20_000;
    private static final MachineType TYPE = new MachineType("t", 8, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b"));

    private final Scheduler scheduler =
            new Scheduler(5, settings(Map.of()), 0.3, new WorkerLeases(settings(Map.of()), List.of(), 0, true));

    private static Settings settings(Map<String, Settings.Team> teams) {
        return new SettingsBuilder()
                .zones(List.of("a", "b"))
                .teams(teams)
                .leaseS(LEASE_MS / 1000.0)
                .build();
    }

    private static JobSpec spec(String id, int tasks, boolean service) {
        return new JobSpec(
                id,
                "k",
                "team",
                service,
                service ? JobSpec.Priority.PRODUCTION : JobSpec.Priority.LOW,
                tasks,
                2,
                0,
                4,
                null,
                null,
                false,
                false,
                true,
                "img",
                1,
                10,
                0,
                0,
                Double.NaN);
    }

    private Machine machine(String id, boolean registered) {
        return scheduler.addMachine(id, TYPE, "a", true, registered, 0);
    }

    /** A new machine of this term that is registered and has sent a heartbeat. */
    private Machine reportingMachine() {
        Machine machine = machine("n-1", false);
        machine.markRegistered();
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 1, 5), true, 0);
        return machine;
    }

    private static Heartbeat heartbeat(String id, long incarnation, long sequence, long token, TaskStatus... tasks) {
        return new Heartbeat(id, "addr:1", "t", "a", true, incarnation, sequence, token, Double.NaN, List.of(tasks));
    }

    private Assignment assignFirstTask(Job job, Machine machine, long now) {
        scheduler.runSchedulingCycle(now);
        Assignment assignment = job.assignments.get(0);
        assertNotNull(assignment);
        assertEquals(machine, assignment.machine);
        return assignment;
    }

    private static long countClears(List<Command> commands) {
        return commands.stream()
                .filter(command -> command.verb() == Command.Verb.CLEAR)
                .count();
    }

    /**
     * A new incarnation is first seen in the response to a direct call, after an outage. Counting its lease from the
     * last acknowledged heartbeat removed its tasks too early.
     */
    @Test
    void incarnationFirstSeenInDirectResponseHasFullLease() {
        Machine machine = reportingMachine();
        machine.clearHeartbeatAcknowledgement();
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 2, 2, 5), false, LEASE_MS + 10_000);
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        assignFirstTask(job, machine, LEASE_MS + 10_000);
        scheduler.expireLeases(LEASE_MS + 11_000);
        assertNotNull(job.assignments.get(0));
        scheduler.expireLeases(2 * LEASE_MS + 12_000);
        assertNull(job.assignments.get(0));
    }

    @Test
    void attemptIsNotClearedWhileItsDirectLaunchMayStillExecute() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Assignment assignment = assignFirstTask(job, machine, 0);
        List<Command> commands = scheduler.commands().pendingCommands(machine);
        scheduler.commands().sentDirectly(machine, commands);
        scheduler.commands().directCallCompleted(machine, commands, 1, CallOutcome.UNKNOWN);
        TaskStatus failed = new TaskStatus(assignment.taskId, assignment.attempt, State.EXITED, "error");
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5, failed), true, 1_000);
        assertEquals(0, countClears(scheduler.commands().pendingCommands(machine)));
        assertTrue(job.pendingTasks.get(0), "an exited attempt can't start again, so the task is pending");
    }

    /**
     * The heartbeat response that carries a launch may still be in flight when the same attempt has already run and
     * exited, launched by a direct call.
     */
    @Test
    void attemptIsNotClearedWhileHeartbeatResponseWithItsLaunchIsInFlight() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Assignment assignment = assignFirstTask(job, machine, 0);
        scheduler
                .commands()
                .sentInHeartbeatResponse(machine, scheduler.commands().pendingCommands(machine));
        TaskStatus failed = new TaskStatus(assignment.taskId, assignment.attempt, State.EXITED, "error");
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5, failed), false, 100);
        assertEquals(0, countClears(scheduler.commands().pendingCommands(machine)));
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 3, 5, failed), true, 3_000);
        assertEquals(1, countClears(scheduler.commands().pendingCommands(machine)));
    }

    @Test
    void completedAttemptIsClearedOnlyOnceCompletionIsDurable() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Assignment assignment = assignFirstTask(job, machine, 0);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat(
                                "n-1",
                                1,
                                2,
                                5,
                                new TaskStatus(assignment.taskId, assignment.attempt, State.EXITED, "done")),
                        true,
                        100);
        assertTrue(job.isFinished());
        assertEquals(0, countClears(scheduler.commands().pendingCommands(machine)));
        scheduler.markDone(job);
        assertEquals(1, countClears(scheduler.commands().pendingCommands(machine)));
    }

    @Test
    void olderJobsWaitForAllRegisteredMachinesAfterFailover() {
        Machine reporting = machine("n-1", true);
        Machine unreconciled = machine("n-2", true);
        scheduler.heartbeats().applyHeartbeat(reporting, heartbeat("n-1", 1, 1, 5), true, 0);
        Job older = scheduler.addJob(spec("req-1", 1, false), 1, 4);
        Job younger = scheduler.addJob(spec("req-2", 1, false), 6, 5);
        scheduler.runSchedulingCycle(0);
        assertNull(older.assignments.get(0));
        assertNotNull(younger.assignments.get(0));
        // a heartbeat made before the agent saw the new token proves nothing: older commands may still be executed
        scheduler.heartbeats().applyHeartbeat(unreconciled, heartbeat("n-2", 1, 1, 4), true, 1_000);
        scheduler.runSchedulingCycle(1_000);
        assertNull(older.assignments.get(0));
        scheduler.heartbeats().applyHeartbeat(unreconciled, heartbeat("n-2", 1, 2, 5), true, 2_000);
        scheduler.runSchedulingCycle(2_000);
        assertNotNull(older.assignments.get(0));
    }

    @Test
    void reconciliationCompletesOnceLeaseOfMachineWithoutHeartbeatsHasExpired() {
        machine("n-1", true);
        scheduler.expireLeases(LEASE_MS);
        assertFalse(scheduler.reconciliationComplete());
        scheduler.expireLeases(LEASE_MS + 2_000);
        assertTrue(scheduler.reconciliationComplete());
    }

    @Test
    void heartbeatOfExpiredIncarnationIsIgnored() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Assignment assignment = assignFirstTask(job, machine, 0);
        scheduler.expireLeases(LEASE_MS + 2_000);
        assertFalse(scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat(
                                "n-1",
                                1,
                                9,
                                5,
                                new TaskStatus(assignment.taskId, assignment.attempt, State.RUNNING, "")),
                        true,
                        LEASE_MS + 3_000));
        assertTrue(job.pendingTasks.get(0));
    }

    @Test
    void sequencesAndIncarnationsCompareAsUnsigned() {
        assertTrue(heartbeat("n", 1, Long.MIN_VALUE, 0).newerThan(1, Long.MAX_VALUE));
        assertFalse(heartbeat("n", 1, 5, 0).newerThan(1, -1));
        assertTrue(heartbeat("n", -1, 0, 0).newerThan(1, -1));
    }

    @Test
    void quotaCountsEveryTaskThatMayBeOnAMachine() {
        Scheduler limited = new Scheduler(
                5,
                settings(Map.of("team", new Settings.Team("team", 0, 4, 0, 0))),
                0.3,
                new WorkerLeases(settings(Map.of()), List.of(), 0, true));
        Machine machine = limited.addMachine("n-1", TYPE, "a", true, false, 0);
        machine.markRegistered();
        limited.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 1, 5), true, 0);
        Job job = limited.addJob(spec("req-1", 4, false), 1, 5);
        limited.runSchedulingCycle(0);
        assertEquals(2, job.assignments.size());
        limited.markCancelled(job);
        Job next = limited.addJob(spec("req-2", 4, false), 2, 5);
        limited.runSchedulingCycle(0);
        assertEquals(0, next.assignments.size(), "launches in flight still count");
    }

    /**
     * A delayed launch of a cancelled job could be executed long after its user was told of the cancellation. Users may
     * therefore be told only once the machine has reported the attempt.
     */
    @Test
    void directLaunchOfCancelledJobIsPendingUntilItsMachineReportsTheAttempt() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        assignFirstTask(job, machine, 0);
        List<Command> commands = scheduler.commands().pendingCommands(machine);
        scheduler.commands().sentDirectly(machine, commands);
        scheduler.cancel(job);
        assertTrue(scheduler.commands().directLaunchPending(job));
        scheduler.commands().directCallCompleted(machine, commands, 1, CallOutcome.UNKNOWN);
        assertTrue(scheduler.commands().directLaunchPending(job));
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 20, 5), true, 20_000);
        assertTrue(
                scheduler.commands().directLaunchPending(job),
                "a heartbeat that doesn't list the attempt proves nothing");
        Assignment assignment = job.assignments.get(0);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat(
                                "n-1",
                                1,
                                21,
                                5,
                                new TaskStatus(assignment.taskId, assignment.attempt, State.PULLING_IMAGE, "")),
                        true,
                        21_000);
        assertFalse(scheduler.commands().directLaunchPending(job));
        assertEquals(
                List.of(new Command(Command.Verb.KILL, assignment.taskId, assignment.attempt, 0)),
                scheduler.commands().pendingCommands(machine));
    }

    /** A machine that pulls an image starts the task once it has the image, even if the job was cancelled meanwhile. */
    @Test
    void launchOfCancelledJobMayExecuteUntilItsMachineReportsTheExit() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Assignment assignment = assignFirstTask(job, machine, 0);
        scheduler.cancel(job);
        assertFalse(scheduler.launchMayStillExecute(job), "the launch was never sent");
        scheduler
                .commands()
                .sentInHeartbeatResponse(
                        machine, List.of(new Command(Command.Verb.LAUNCH, assignment.taskId, assignment.attempt, 0)));
        assertTrue(scheduler.launchMayStillExecute(job), "the heartbeat response may be in flight");
        TaskStatus pulling = new TaskStatus(assignment.taskId, assignment.attempt, State.PULLING_IMAGE, "");
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 20, 5, pulling), true, 2_000);
        assertTrue(scheduler.launchMayStillExecute(job), "the task starts once the image is there");
        TaskStatus stopped = new TaskStatus(assignment.taskId, assignment.attempt, State.EXITED, "stopped");
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 21, 5, stopped), true, 3_000);
        assertFalse(scheduler.launchMayStillExecute(job));
    }

    /** An agent refuses commands that were sent to an earlier incarnation of it. */
    @Test
    void newIncarnationEndsPendingDirectLaunch() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        assignFirstTask(job, machine, 0);
        List<Command> commands = scheduler.commands().pendingCommands(machine);
        scheduler.commands().sentDirectly(machine, commands);
        scheduler.commands().directCallCompleted(machine, commands, 1, CallOutcome.UNKNOWN);
        scheduler.cancel(job);
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 2, 2, 5), true, 21_000);
        assertFalse(scheduler.commands().directLaunchPending(job));
        assertFalse(job.hasPendingTasks(), "a cancelled job isn't started again");
    }

    @Test
    void servicePreemptsLowerPriorityAndItsLaunchFollowsTheKill() {
        Machine machine = reportingMachine();
        Job low = scheduler.addJob(spec("req-1", 4, false), 1, 5);
        scheduler.runSchedulingCycle(0);
        TaskStatus[] running = low.assignments.values().stream()
                .map(assignment -> new TaskStatus(assignment.taskId, assignment.attempt, State.RUNNING, ""))
                .toArray(TaskStatus[]::new);
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5, running), true, 100);
        scheduler.addJob(spec("req-2", 1, true), 2, 5);
        scheduler.runSchedulingCycle(100);
        List<Command> commands = scheduler.commands().pendingCommands(machine);
        assertEquals(Command.Verb.KILL, commands.get(0).verb());
        assertEquals(Command.Verb.LAUNCH, commands.get(commands.size() - 1).verb());
        assertTrue(commands.get(commands.size() - 1).task().startsWith("req-2/"));
    }

    private void reportError(Machine machine, Job job, long sequence, long now) {
        Assignment assignment = job.assignments.values().iterator().next();
        assertEquals(machine, assignment.machine);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat(
                                machine.id,
                                1,
                                sequence,
                                5,
                                new TaskStatus(assignment.taskId, assignment.attempt, State.EXITED, "error")),
                        true,
                        now);
    }

    /** Failures of two jobs on one machine only are attributed to the machine; tasks that run there aren't stopped. */
    @Test
    void errorsOfSeveralJobsQuarantineMachineButStopNoTask() {
        Machine machine = reportingMachine();
        Job firstJob = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Job secondJob = scheduler.addJob(spec("req-2", 1, false), 2, 5);
        Job good = scheduler.addJob(spec("req-3", 1, true), 3, 5);
        scheduler.runSchedulingCycle(0);
        Assignment running = good.assignments.get(0);
        Assignment firstFailed = firstJob.assignments.get(0);
        Assignment secondFailed = secondJob.assignments.get(0);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat(
                                "n-1",
                                1,
                                2,
                                5,
                                new TaskStatus(running.taskId, running.attempt, State.RUNNING, ""),
                                new TaskStatus(firstFailed.taskId, firstFailed.attempt, State.EXITED, "error"),
                                new TaskStatus(secondFailed.taskId, secondFailed.attempt, State.EXITED, "error")),
                        true,
                        100);
        assertTrue(machine.faults.isQuarantined());
        assertFalse(running.stopRequested());
        scheduler.expireLeases(200_000);
        assertFalse(machine.faults.isQuarantined());
    }

    /** A job that fails on every machine must not put machines into quarantine. */
    @Test
    void jobFailingOnEveryMachineQuarantinesNone() {
        Machine machine = reportingMachine();
        Machine secondMachine = machine("n-2", false);
        Job firstJob = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        scheduler.runSchedulingCycle(0);
        reportError(machine, firstJob, 2, 100);
        secondMachine.markRegistered();
        scheduler.heartbeats().applyHeartbeat(secondMachine, heartbeat("n-2", 1, 1, 5), true, 200);
        scheduler.runSchedulingCycle(10_000);
        reportError(secondMachine, firstJob, 2, 10_100);
        Job secondJob = scheduler.addJob(spec("req-2", 1, false), 2, 5);
        scheduler.runSchedulingCycle(10_200);
        reportError(secondJob.assignments.get(0).machine, secondJob, 3, 10_300);
        assertFalse(machine.faults.isQuarantined());
        assertFalse(secondMachine.faults.isQuarantined());
    }

    /** A machine that was terminated while its record was written got a task, which then waited for it forever. */
    @Test
    void machineTerminatedDuringRegistrationGetsNoTasks() {
        Machine machine = machine("n-1", false);
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 1, 5), true, 0);
        scheduler.markTerminated("n-1");
        scheduler.markRegistered(machine);
        assertFalse(scheduler.outbox().hasFreedCapacity(machine));
        Machine other = reportingMachine();
        scheduler.markRegistered(other);
        assertTrue(scheduler.outbox().hasFreedCapacity(other));
    }

    // ---- quotas before reconciliation is complete ----

    private static final Settings SETTINGS_WITH_QUOTA =
            settings(Map.of("team", new Settings.Team("team", 0, 10, 0, 0)));

    private static TaskStatus running(String task, long attempt) {
        return new TaskStatus(task, attempt, State.RUNNING, null);
    }

    /**
     * A scheduler whose predecessor started tasks of a team with a quota. One machine sends heartbeats; the other,
     * which has more cores than the quota, doesn't. A new job of the team is pending.
     */
    private static Scheduler schedulerWithOneMachineWithoutHeartbeats(
            boolean earlierLeadersKeptLimits, long heartbeatToken) {
        Scheduler limited =
                new Scheduler(5, SETTINGS_WITH_QUOTA, 0.3, new WorkerLeases(SETTINGS_WITH_QUOTA, List.of(), 0, true));
        if (earlierLeadersKeptLimits) {
            limited.quotas().setEarlierLeadersEnforcedLimits();
        }
        limited.addJob(spec("req-000001", 3, false), 1, 2);
        Machine machine = limited.addMachine("n-1", TYPE, "a", true, true, 0);
        limited.addMachine(
                "n-2", new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b")), "a", true, true, 0);
        limited.addJob(spec("req-000002", 4, false), 6, 5);
        limited.heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat("n-1", 1, 1, heartbeatToken, running("req-000001/0", 3), running("req-000001/1", 4)),
                        true,
                        100);
        limited.runSchedulingCycle(100);
        return limited;
    }

    /**
     * While a zone was partitioned, a team with a quota started no tasks for the duration of a lease and longer, not
     * even on machines that sent heartbeats, and half of all work stopped.
     */
    @Test
    void completedTasksOfATeamFreeItsQuotaBeforeReconciliationCompletes() {
        Scheduler limited = schedulerWithOneMachineWithoutHeartbeats(true, 5);
        Job waiting = limited.job("req-000002");
        assertEquals(0, waiting.assignments.size(), "unknown tasks may take the whole quota of 10 cores");
        Machine machine = limited.machine("n-1");
        limited.heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat(
                                "n-1",
                                1,
                                2,
                                5,
                                running("req-000001/0", 3),
                                new TaskStatus("req-000001/1", 4, State.EXITED, "done")),
                        true,
                        200);
        limited.runSchedulingCycle(200);
        assertEquals(1, waiting.assignments.size(), "the completed task freed quota");
        limited.runSchedulingCycle(300);
        assertEquals(1, waiting.assignments.size());
        limited.markTerminated("n-2");
        limited.runSchedulingCycle(400);
        assertEquals(
                4,
                waiting.assignments.size()
                        + limited.job("req-000001").assignments.size(),
                "reconciliation is complete: the whole machine is used");
    }

    /** Earlier leaders may have kept a higher limit, so the current one doesn't bound what they started. */
    @Test
    void completedTasksFreeNoQuotaIfEarlierLeadersHadOtherLimits() {
        Scheduler limited = schedulerWithOneMachineWithoutHeartbeats(false, 5);
        limited.heartbeats()
                .applyHeartbeat(
                        limited.machine("n-1"),
                        heartbeat("n-1", 1, 2, 5, new TaskStatus("req-000001/1", 4, State.EXITED, "done")),
                        true,
                        200);
        limited.runSchedulingCycle(200);
        assertEquals(0, limited.job("req-000002").assignments.size());
    }

    /**
     * A heartbeat made before this term may be of any age: its tasks may have ended, and others may have been started
     * elsewhere, before the last leader's term ended.
     */
    @Test
    void heartbeatWithOlderTokenFreesNoQuota() {
        Scheduler limited = schedulerWithOneMachineWithoutHeartbeats(true, 4);
        Machine machine = limited.machine("n-1");
        limited.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5), true, 200);
        limited.runSchedulingCycle(200);
        assertEquals(0, limited.job("req-000002").assignments.size());
    }

    /**
     * Tasks of a job that was cancelled just before the last leader's term ended count against the quota until they are
     * killed, although they aren't tasks of a live job.
     */
    @Test
    void tasksOfUnknownJobsCountAgainstQuotaUntilTheyAreNoLongerReported() {
        Scheduler limited =
                new Scheduler(5, SETTINGS_WITH_QUOTA, 0.3, new WorkerLeases(SETTINGS_WITH_QUOTA, List.of(), 0, true));
        Machine machine = limited.addMachine("n-1", TYPE, "a", true, true, 0);
        limited.addMachine("n-3", TYPE, "a", true, false, 0).markRegistered();
        limited.addJob(spec("req-000002", 4, false), 6, 5);
        limited.heartbeats().applyHeartbeat(limited.machine("n-3"), heartbeat("n-3", 1, 1, 5), true, 50);
        limited.heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat("n-1", 1, 1, 5, running("req-000009/0", 3), running("req-000009/1", 4)),
                        true,
                        100);
        limited.runSchedulingCycle(100);
        assertEquals(
                1,
                limited.job("req-000002").assignments.size(),
                "2 cores of 10, since the first machine's 8 may all be the cancelled job's");
        limited.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5), true, 200);
        limited.runSchedulingCycle(200);
        assertEquals(4, limited.job("req-000002").assignments.size());
    }

    /**
     * Arrays kept taking the quota that their own completed tasks freed, on spot machines that services may not use,
     * while services waited although other machines had free capacity.
     */
    @Test
    void servicesPrecedeArraysWhereOnlyTheQuotaBlocksThem() {
        Scheduler limited =
                new Scheduler(5, SETTINGS_WITH_QUOTA, 0.3, new WorkerLeases(SETTINGS_WITH_QUOTA, List.of(), 0, true));
        Machine spot = limited.addMachine(
                "n-1", new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b")), "a", true, false, 0);
        spot.markRegistered();
        limited.heartbeats().applyHeartbeat(spot, heartbeat("n-1", 1, 1, 5), true, 0);
        Job array = limited.addJob(spec("req-000001", 9, false), 1, 5);
        limited.runSchedulingCycle(0);
        assertEquals(5, array.assignments.size(), "the whole quota");
        Machine ordinary = limited.addMachine("n-2", TYPE, "a", false, false, 0);
        ordinary.markRegistered();
        limited.heartbeats().applyHeartbeat(ordinary, heartbeat("n-2", 1, 1, 5), true, 0);
        Job service = limited.addJob(
                new JobSpec(
                        "req-000002",
                        "k",
                        "team",
                        true,
                        JobSpec.Priority.PRODUCTION,
                        2,
                        2,
                        0,
                        4,
                        null,
                        null,
                        false,
                        false,
                        false,
                        "img",
                        1,
                        10,
                        0,
                        0,
                        Double.NaN),
                2,
                5);
        limited.runSchedulingCycle(2_000);
        assertEquals(0, service.assignments.size());
        Assignment[] assigned = array.assignments.values().toArray(new Assignment[0]);
        TaskStatus[] statuses = new TaskStatus[assigned.length];
        for (int i = 0; i < assigned.length; i++) {
            statuses[i] = new TaskStatus(
                    assigned[i].taskId,
                    assigned[i].attempt,
                    i == 0 ? State.EXITED : State.RUNNING,
                    i == 0 ? "done" : null);
        }
        limited.heartbeats().applyHeartbeat(spot, heartbeat("n-1", 1, 2, 5, statuses), true, 2_500);
        limited.scheduleOn(spot, 2_500);
        assertEquals(4, array.assignments.size(), "the array doesn't get the quota that its task freed");
        limited.runSchedulingCycle(3_000);
        assertEquals(1, service.assignments.size());
    }
}
