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
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.junit.jupiter.api.Test;

/** What may be where: each test is a failure that was found, or that the argument in docs/safety.md rests on. */
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

    /** A new machine of this term that is registered and has reported. */
    private Machine reportingMachine() {
        Machine machine = machine("n-1", false);
        machine.markRegistered();
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 1, 5), true, 0);
        return machine;
    }

    private static Heartbeat heartbeat(String id, long session, long tick, long token, TaskStatus... tasks) {
        return new Heartbeat(id, "addr:1", "t", "a", true, session, tick, token, Double.NaN, List.of(tasks));
    }

    private Assignment assignFirstTask(Job job, Machine machine, long now) {
        scheduler.runSchedulingCycle(now);
        Assignment p = job.assignments.get(0);
        assertNotNull(p);
        assertEquals(machine, p.machine);
        return p;
    }

    private static long countClears(List<Command> commands) {
        return commands.stream().filter(o -> o.verb() == Command.Verb.CLEAR).count();
    }

    /**
     * A new session was heard of through a direct answer after an outage; counting from the last answered report lost
     * its tasks.
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
        Assignment p = assignFirstTask(job, machine, 0);
        List<Command> commands = scheduler.commands().pendingCommands(machine);
        scheduler.commands().sentDirectly(machine, commands);
        scheduler.commands().directCallCompleted(machine, commands, 1, false);
        TaskStatus failed = new TaskStatus(p.taskId, p.attempt, State.EXITED, "error");
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5, failed), true, 1_000);
        assertEquals(0, countClears(scheduler.commands().pendingCommands(machine)));
        assertTrue(job.pendingTasks.get(0), "an exited attempt can't start again, so the task is free");
    }

    /** The answer to a report may still be under way when a direct order has run and ended the same attempt. */
    @Test
    void attemptIsNotClearedWhileHeartbeatResponseWithItsLaunchIsInFlight() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Assignment p = assignFirstTask(job, machine, 0);
        scheduler
                .commands()
                .sentInHeartbeatResponse(machine, scheduler.commands().pendingCommands(machine));
        TaskStatus failed = new TaskStatus(p.taskId, p.attempt, State.EXITED, "error");
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5, failed), false, 100);
        assertEquals(0, countClears(scheduler.commands().pendingCommands(machine)));
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 3, 5, failed), true, 3_000);
        assertEquals(1, countClears(scheduler.commands().pendingCommands(machine)));
    }

    @Test
    void completedAttemptIsClearedOnlyOnceCompletionIsDurable() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Assignment p = assignFirstTask(job, machine, 0);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat("n-1", 1, 2, 5, new TaskStatus(p.taskId, p.attempt, State.EXITED, "done")),
                        true,
                        100);
        assertTrue(job.isFinished());
        assertEquals(0, countClears(scheduler.commands().pendingCommands(machine)));
        scheduler.markDone(job);
        assertEquals(1, countClears(scheduler.commands().pendingCommands(machine)));
    }

    @Test
    void olderJobsWaitForAllRegisteredMachinesAfterFailover() {
        Machine heard = machine("n-1", true);
        Machine silent = machine("n-2", true);
        scheduler.heartbeats().applyHeartbeat(heard, heartbeat("n-1", 1, 1, 5), true, 0);
        Job older = scheduler.addJob(spec("req-1", 1, false), 1, 4);
        Job younger = scheduler.addJob(spec("req-2", 1, false), 6, 5);
        scheduler.runSchedulingCycle(0);
        assertNull(older.assignments.get(0));
        assertNotNull(younger.assignments.get(0));
        // a report made before the new token was seen proves nothing: an older order may still be executed
        scheduler.heartbeats().applyHeartbeat(silent, heartbeat("n-2", 1, 1, 4), true, 1_000);
        scheduler.runSchedulingCycle(1_000);
        assertNull(older.assignments.get(0));
        scheduler.heartbeats().applyHeartbeat(silent, heartbeat("n-2", 1, 2, 5), true, 2_000);
        scheduler.runSchedulingCycle(2_000);
        assertNotNull(older.assignments.get(0));
    }

    @Test
    void reconciliationCompletesOnceLeaseOfSilentMachineHasExpired() {
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
        Assignment p = assignFirstTask(job, machine, 0);
        scheduler.expireLeases(LEASE_MS + 2_000);
        assertFalse(scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat("n-1", 1, 9, 5, new TaskStatus(p.taskId, p.attempt, State.RUNNING, "")),
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
     * A held-back launch of a cancelled job could be executed long after its user was told: until the machine shows it,
     * nobody may be told.
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
        scheduler.commands().directCallCompleted(machine, commands, 1, false);
        assertTrue(scheduler.commands().directLaunchPending(job));
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 20, 5), true, 20_000);
        assertTrue(scheduler.commands().directLaunchPending(job), "a report that doesn't show it proves nothing");
        Assignment p = job.assignments.get(0);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat("n-1", 1, 21, 5, new TaskStatus(p.taskId, p.attempt, State.PULLING_IMAGE, "")),
                        true,
                        21_000);
        assertFalse(scheduler.commands().directLaunchPending(job));
        assertEquals(
                List.of(new Command(Command.Verb.KILL, p.taskId, p.attempt, 0)),
                scheduler.commands().pendingCommands(machine));
    }

    /** A machine that waits for an image starts the task when it is there, whoever was told meanwhile. */
    @Test
    void launchOfCancelledJobMayExecuteUntilItsMachineReportsTheExit() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Assignment p = assignFirstTask(job, machine, 0);
        scheduler.cancel(job);
        assertFalse(scheduler.launchMayStillExecute(job), "it was never sent");
        scheduler
                .commands()
                .sentInHeartbeatResponse(machine, List.of(new Command(Command.Verb.LAUNCH, p.taskId, p.attempt, 0)));
        assertTrue(scheduler.launchMayStillExecute(job), "the answer may be on its way");
        TaskStatus fetching = new TaskStatus(p.taskId, p.attempt, State.PULLING_IMAGE, "");
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 20, 5, fetching), true, 2_000);
        assertTrue(scheduler.launchMayStillExecute(job), "it starts once the image is there");
        TaskStatus stopped = new TaskStatus(p.taskId, p.attempt, State.EXITED, "stopped");
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 21, 5, stopped), true, 3_000);
        assertFalse(scheduler.launchMayStillExecute(job));
    }

    /** Its session has ended, and the launch with it. */
    @Test
    void newIncarnationEndsPendingDirectLaunch() {
        Machine machine = reportingMachine();
        Job job = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        assignFirstTask(job, machine, 0);
        List<Command> commands = scheduler.commands().pendingCommands(machine);
        scheduler.commands().sentDirectly(machine, commands);
        scheduler.commands().directCallCompleted(machine, commands, 1, false);
        scheduler.cancel(job);
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 2, 2, 5), true, 21_000);
        assertFalse(scheduler.commands().directLaunchPending(job));
        assertFalse(job.hasPendingTasks(), "it isn't started again");
    }

    @Test
    void servicePreemptsLowerPriorityAndItsLaunchFollowsTheKill() {
        Machine machine = reportingMachine();
        Job low = scheduler.addJob(spec("req-1", 4, false), 1, 5);
        scheduler.runSchedulingCycle(0);
        TaskStatus[] running = low.assignments.values().stream()
                .map(p -> new TaskStatus(p.taskId, p.attempt, State.RUNNING, ""))
                .toArray(TaskStatus[]::new);
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5, running), true, 100);
        scheduler.addJob(spec("req-2", 1, true), 2, 5);
        scheduler.runSchedulingCycle(100);
        List<Command> commands = scheduler.commands().pendingCommands(machine);
        assertEquals(Command.Verb.KILL, commands.get(0).verb());
        assertEquals(Command.Verb.LAUNCH, commands.get(commands.size() - 1).verb());
        assertTrue(commands.get(commands.size() - 1).task().startsWith("req-2/"));
    }

    private void reportError(Machine machine, Job job, long tick, long now) {
        Assignment p = job.assignments.values().iterator().next();
        assertEquals(machine, p.machine);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat(machine.id, 1, tick, 5, new TaskStatus(p.taskId, p.attempt, State.EXITED, "error")),
                        true,
                        now);
    }

    /** Two jobs that fail on one machine alone speak against the machine; what runs there goes on. */
    @Test
    void errorsOfSeveralJobsQuarantineMachineButStopNoTask() {
        Machine machine = reportingMachine();
        Job one = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        Job two = scheduler.addJob(spec("req-2", 1, false), 2, 5);
        Job good = scheduler.addJob(spec("req-3", 1, true), 3, 5);
        scheduler.runSchedulingCycle(0);
        Assignment running = good.assignments.get(0);
        Assignment a = one.assignments.get(0);
        Assignment b = two.assignments.get(0);
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
                                new TaskStatus(a.taskId, a.attempt, State.EXITED, "error"),
                                new TaskStatus(b.taskId, b.attempt, State.EXITED, "error")),
                        true,
                        100);
        assertTrue(machine.faults.isQuarantined());
        assertFalse(running.stopRequested());
        scheduler.expireLeases(200_000);
        assertFalse(machine.faults.isQuarantined());
    }

    /** A job that fails on every machine must not take the machines down with it. */
    @Test
    void jobFailingOnEveryMachineQuarantinesNone() {
        Machine machine = reportingMachine();
        Machine n = machine("n-2", false);
        Job one = scheduler.addJob(spec("req-1", 1, false), 1, 5);
        scheduler.runSchedulingCycle(0);
        reportError(machine, one, 2, 100);
        n.markRegistered();
        scheduler.heartbeats().applyHeartbeat(n, heartbeat("n-2", 1, 1, 5), true, 200);
        scheduler.runSchedulingCycle(10_000);
        reportError(n, one, 2, 10_100);
        Job two = scheduler.addJob(spec("req-2", 1, false), 2, 5);
        scheduler.runSchedulingCycle(10_200);
        reportError(two.assignments.get(0).machine, two, 3, 10_300);
        assertFalse(machine.faults.isQuarantined());
        assertFalse(n.faults.isQuarantined());
    }

    /** A machine that went while its record was written got a task, which then waited for it for ever. */
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

    // ---- limits while machines of earlier terms are unheard ----

    private static final Settings SETTINGS_WITH_QUOTA =
            settings(Map.of("team", new Settings.Team("team", 0, 10, 0, 0)));

    private static TaskStatus running(String task, long attempt) {
        return new TaskStatus(task, attempt, State.RUNNING, null);
    }

    /**
     * A leader before this one started those; one machine reports, the other, as large as the limit, doesn't. A new job
     * of the team waits.
     */
    private static Scheduler schedulerWithOneSilentMachine(boolean olderKept, long token) {
        Scheduler s =
                new Scheduler(5, SETTINGS_WITH_QUOTA, 0.3, new WorkerLeases(SETTINGS_WITH_QUOTA, List.of(), 0, true));
        if (olderKept) {
            s.quotas().setEarlierLeadersEnforcedLimits();
        }
        s.addJob(spec("req-000001", 3, false), 1, 2);
        Machine machine = s.addMachine("n-1", TYPE, "a", true, true, 0);
        s.addMachine("n-2", new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b")), "a", true, true, 0);
        s.addJob(spec("req-000002", 4, false), 6, 5);
        s.heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat("n-1", 1, 1, token, running("req-000001/0", 3), running("req-000001/1", 4)),
                        true,
                        100);
        s.runSchedulingCycle(100);
        return s;
    }

    /**
     * With a partitioned zone a team with a limit started nothing for as long as a lease and more, on machines that
     * were heard, and half of all work ended.
     */
    @Test
    void completedTasksOfATeamFreeItsQuotaBeforeReconciliationCompletes() {
        Scheduler s = schedulerWithOneSilentMachine(true, 5);
        Job waiting = s.job("req-000002");
        assertEquals(0, waiting.assignments.size(), "up to the limit of 10 cores may be anywhere");
        Machine machine = s.machine("n-1");
        s.heartbeats()
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
        s.runSchedulingCycle(200);
        assertEquals(1, waiting.assignments.size(), "the room of the one that ended");
        s.runSchedulingCycle(300);
        assertEquals(1, waiting.assignments.size());
        s.markTerminated("n-2");
        s.runSchedulingCycle(400);
        assertEquals(
                4,
                waiting.assignments.size() + s.job("req-000001").assignments.size(),
                "all is known: the whole machine is used");
    }

    /** Earlier leaders may have kept a higher limit: nothing is known of what they started. */
    @Test
    void completedTasksFreeNoQuotaIfEarlierLeadersHadOtherLimits() {
        Scheduler s = schedulerWithOneSilentMachine(false, 5);
        s.heartbeats()
                .applyHeartbeat(
                        s.machine("n-1"),
                        heartbeat("n-1", 1, 2, 5, new TaskStatus("req-000001/1", 4, State.EXITED, "done")),
                        true,
                        200);
        s.runSchedulingCycle(200);
        assertEquals(0, s.job("req-000002").assignments.size());
    }

    /**
     * A report from before this term may be of any time: its tasks may have ended, and others been started elsewhere,
     * before the last leader did.
     */
    @Test
    void heartbeatWithOlderTokenFreesNoQuota() {
        Scheduler s = schedulerWithOneSilentMachine(true, 4);
        Machine machine = s.machine("n-1");
        s.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5), true, 200);
        s.runSchedulingCycle(200);
        assertEquals(0, s.job("req-000002").assignments.size());
    }

    /**
     * Tasks of a job that was cancelled just before the last leader's end still take room until they have been told to
     * go: they weren't counted.
     */
    @Test
    void tasksOfUnknownJobsTakeQuotaUntilTheyAreGone() {
        Scheduler s =
                new Scheduler(5, SETTINGS_WITH_QUOTA, 0.3, new WorkerLeases(SETTINGS_WITH_QUOTA, List.of(), 0, true));
        Machine machine = s.addMachine("n-1", TYPE, "a", true, true, 0);
        s.addMachine("n-3", TYPE, "a", true, false, 0).markRegistered();
        s.addJob(spec("req-000002", 4, false), 6, 5);
        s.heartbeats().applyHeartbeat(s.machine("n-3"), heartbeat("n-3", 1, 1, 5), true, 50);
        s.heartbeats()
                .applyHeartbeat(
                        machine,
                        heartbeat("n-1", 1, 1, 5, running("req-000009/0", 3), running("req-000009/1", 4)),
                        true,
                        100);
        s.runSchedulingCycle(100);
        assertEquals(
                1,
                s.job("req-000002").assignments.size(),
                "2 cores of 10, since the first machine's 8 may all be the cancelled job's");
        s.heartbeats().applyHeartbeat(machine, heartbeat("n-1", 1, 2, 5), true, 200);
        s.runSchedulingCycle(200);
        assertEquals(4, s.job("req-000002").assignments.size());
    }

    /**
     * Arrays took again and again what their own tasks left of the limit on machines that services may not use, while
     * services waited beside free room.
     */
    @Test
    void servicesPrecedeArraysWhereOnlyTheQuotaBlocksThem() {
        Scheduler s =
                new Scheduler(5, SETTINGS_WITH_QUOTA, 0.3, new WorkerLeases(SETTINGS_WITH_QUOTA, List.of(), 0, true));
        Machine spot = s.addMachine(
                "n-1", new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b")), "a", true, false, 0);
        spot.markRegistered();
        s.heartbeats().applyHeartbeat(spot, heartbeat("n-1", 1, 1, 5), true, 0);
        Job array = s.addJob(spec("req-000001", 9, false), 1, 5);
        s.runSchedulingCycle(0);
        assertEquals(5, array.assignments.size(), "the whole limit");
        Machine ordinary = s.addMachine("n-2", TYPE, "a", false, false, 0);
        ordinary.markRegistered();
        s.heartbeats().applyHeartbeat(ordinary, heartbeat("n-2", 1, 1, 5), true, 0);
        Job service = s.addJob(
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
        s.runSchedulingCycle(2_000);
        assertEquals(0, service.assignments.size());
        Assignment[] there = array.assignments.values().toArray(new Assignment[0]);
        TaskStatus[] one = new TaskStatus[there.length];
        for (int i = 0; i < there.length; i++) {
            one[i] = new TaskStatus(
                    there[i].taskId, there[i].attempt, i == 0 ? State.EXITED : State.RUNNING, i == 0 ? "done" : null);
        }
        s.heartbeats().applyHeartbeat(spot, heartbeat("n-1", 1, 2, 5, one), true, 2_500);
        s.scheduleOn(spot, 2_500);
        assertEquals(4, array.assignments.size(), "what its task left isn't the array's");
        s.runSchedulingCycle(3_000);
        assertEquals(1, service.assignments.size());
    }
}
