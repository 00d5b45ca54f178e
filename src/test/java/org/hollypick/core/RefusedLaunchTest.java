package org.hollypick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hollypick.config.Settings;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.junit.jupiter.api.Test;

/**
 * Launches that agents refuse are repeated at growing intervals.
 *
 * <p>Guards against launches that are repeated in every scheduling cycle. In a simulation whose agents knew the jobs
 * differently from the controllers, they used up a term's million attempt numbers between 500 and 704 s
 * (docs/results/combined-faults.md). The delay after a refusal as {@code unknown} was 0 ms, as after a job's first
 * failure, since only tasks that end with an error count as failures: one such task was launched 1,200 times in a
 * minute of scheduling cycles 50 ms apart. A refusal as {@code full} or {@code busy} delayed launches on the machine by
 * a second, but the task went on to the next machine.
 */
class RefusedLaunchTest {
    private static final MachineType TYPE = new MachineType("t", 8, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b"));
    private static final int MACHINES = 40;
    private static final long STEP_MS = 50;
    private static final long MINUTE_MS = 60_000;
    /** Two attempts at once, then one after 1, 2, 4, 8 and 16 s, or every 8 s after that if machines lack capacity. */
    private static final int ATTEMPTS_IN_A_MINUTE = 12;

    private final Scheduler scheduler = scheduler();
    private final Set<Long> attempts = new HashSet<>();
    private long sequence;
    private long now = 1_000;

    private static Scheduler scheduler() {
        Settings settings = new SettingsBuilder().zones(List.of("a", "b")).build();
        return new Scheduler(5, settings, 0.3, new WorkerLeases(settings, List.of(), 0, true));
    }

    private Job addMachinesAndJob() {
        for (int i = 0; i < MACHINES; i++) {
            scheduler.addMachine("n-" + i, TYPE, "a", true, false, 0).markRegistered();
        }
        heartbeats(State.RUNNING, "");
        return scheduler.addJob(JobSpecBuilder.array("req-1").cpus(2).build(), 1, 5);
    }

    /** All machines report their assignments as being in that state. */
    private void heartbeats(State state, String reason) {
        sequence++;
        for (Machine machine : scheduler.machines()) {
            List<TaskStatus> tasks = new ArrayList<>();
            for (Assignment assignment : machine.assignments.values()) {
                if (assignment.mayExist()) {
                    tasks.add(new TaskStatus(assignment.taskId, assignment.attempt, state, reason));
                }
            }
            machine.acknowledgeHeartbeat(now);
            scheduler
                    .heartbeats()
                    .applyHeartbeat(
                            machine,
                            new Heartbeat(machine.id, "w:1", "t", "a", true, 1, sequence, 5, Double.NaN, tasks),
                            true,
                            now);
        }
    }

    /** A scheduling cycle, and the agents' heartbeats after it. */
    private void step(Job job, State state, String reason) {
        now += STEP_MS;
        scheduler.runSchedulingCycle(now);
        job.assignments.values().forEach(assignment -> attempts.add(assignment.attempt));
        heartbeats(state, reason);
    }

    private int attemptsInAMinute(String reason) {
        Job job = addMachinesAndJob();
        for (long elapsed = 0; elapsed < MINUTE_MS; elapsed += STEP_MS) {
            step(job, State.EXITED, reason);
        }
        return attempts.size();
    }

    @Test
    void launchesRefusedAsUnknownBackOff() {
        int count = attemptsInAMinute("unknown");
        assertTrue(count <= ATTEMPTS_IN_A_MINUTE, count + " attempts");
    }

    @Test
    void launchesRefusedAsFullBackOff() {
        int count = attemptsInAMinute("full");
        assertTrue(count <= ATTEMPTS_IN_A_MINUTE, count + " attempts");
    }

    @Test
    void launchesRefusedAsBusyBackOff() {
        int count = attemptsInAMinute("busy");
        assertTrue(count <= ATTEMPTS_IN_A_MINUTE, count + " attempts");
    }

    /** The cause of a refusal may be brief: the next attempt follows at once, on another machine if necessary. */
    @Test
    void firstRefusalIsRetriedWithoutDelay() {
        Job job = addMachinesAndJob();
        step(job, State.EXITED, "full");
        step(job, State.RUNNING, "");
        assertEquals(2, attempts.size());
        assertEquals(1, job.assignments.size());
    }

    /** Once the task has run, the next refusal counts as its first one. */
    @Test
    void refusalCountIsResetOnceTheTaskRuns() {
        Job job = addMachinesAndJob();
        for (int i = 0; i < 4; i++) {
            step(job, State.EXITED, "full");
            step(job, State.RUNNING, "");
            step(job, State.EXITED, "reclaimed");
        }
        assertEquals(8, attempts.size());
    }
}
