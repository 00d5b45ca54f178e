package org.hollypick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.hollypick.config.Settings;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.junit.jupiter.api.Test;

/** An agent lists an attempt as running after it had listed the same attempt as exited. */
class ReappearedAttemptTest {
    private static final long TOKEN = 5;
    private static final MachineType TYPE = new MachineType("t", 8, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b"));
    private static final Settings SETTINGS = new SettingsBuilder()
            .zones(List.of("a", "b"))
            .team("team", 4)
            .leaseS(20)
            .build();

    private final Scheduler scheduler =
            new Scheduler(TOKEN, SETTINGS, 0.3, new WorkerLeases(SETTINGS, List.of(), 0, true));
    private final Machine first = reportingMachine("n-1");

    private Machine reportingMachine(String id) {
        Machine machine = scheduler.addMachine(id, TYPE, "a", true, false, 0);
        machine.markRegistered();
        report(machine, 1, 0);
        return machine;
    }

    private void report(Machine machine, long sequence, long now, TaskStatus... tasks) {
        Heartbeat heartbeat =
                new Heartbeat(machine.id, "addr:1", "t", "a", true, 1, sequence, TOKEN, Double.NaN, List.of(tasks));
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat, true, now);
    }

    private static TaskStatus status(Assignment assignment, State state, String exitReason) {
        return new TaskStatus(assignment.taskId, assignment.attempt, state, exitReason);
    }

    private static JobSpec spec(String id) {
        return JobSpecBuilder.array(id).cpus(2).build();
    }

    /** Starts the job's only task, lets it fail on the first machine, and returns the failed attempt. */
    private Assignment failedAttempt(Job job) {
        scheduler.runSchedulingCycle(0);
        Assignment attempt = job.assignments.get(0);
        report(first, 2, 1_000, status(attempt, State.RUNNING, ""));
        report(first, 3, 2_000, status(attempt, State.EXITED, "error"));
        return attempt;
    }

    private List<Command> killsOf(Machine machine) {
        return scheduler.commands().pendingCommands(machine).stream()
                .filter(command -> command.verb() == Command.Verb.KILL)
                .toList();
    }

    @Test
    void attemptThatRunsAgainAfterItsExitIsStoppedWhenItsJobIsCancelled() {
        Job job = scheduler.addJob(spec("req-1"), 1, TOKEN);
        Assignment attempt = failedAttempt(job);
        scheduler.cancel(job);
        report(first, 4, 3_000, status(attempt, State.RUNNING, ""));
        assertEquals(List.of(new Command(Command.Verb.KILL, attempt.taskId, attempt.attempt, 0)), killsOf(first));
    }

    @Test
    void attemptThatRunsAgainAfterItsTaskMovedIsStopped() {
        Job job = scheduler.addJob(spec("req-1"), 1, TOKEN);
        Assignment attempt = failedAttempt(job);
        Machine second = reportingMachine("n-2");
        scheduler.runSchedulingCycle(60_000);
        assertEquals(second, job.assignments.get(0).machine);
        report(first, 4, 61_000, status(attempt, State.RUNNING, ""));
        assertEquals(List.of(new Command(Command.Verb.KILL, attempt.taskId, attempt.attempt, 0)), killsOf(first));
        assertEquals(second, job.assignments.get(0).machine);
    }

    @Test
    void attemptThatRunsAgainCountsAgainstTheTeamsLimitUntilItExits() {
        Job job = scheduler.addJob(spec("req-1"), 1, TOKEN);
        Assignment attempt = failedAttempt(job);
        reportingMachine("n-2");
        scheduler.runSchedulingCycle(60_000);
        report(first, 4, 61_000, status(attempt, State.RUNNING, ""));
        assertFalse(scheduler.quotas().withinLimit(spec("req-2")), "two attempts of 2 cores each reach the limit of 4");
        report(first, 5, 62_000, status(attempt, State.EXITED, "stopped"));
        assertTrue(scheduler.quotas().withinLimit(spec("req-2")));
    }

    @Test
    void attemptThatRunsAgainWhileItsTaskIsPendingIsTheTasksAttempt() {
        Job job = scheduler.addJob(spec("req-1"), 1, TOKEN);
        Assignment attempt = failedAttempt(job);
        report(first, 4, 3_000, status(attempt, State.RUNNING, ""));
        assertEquals(attempt, job.assignments.get(0));
        assertFalse(job.pendingTasks.get(0), "the task runs, so it must not be started a second time");
        assertEquals(List.of(), killsOf(first));
    }
}
