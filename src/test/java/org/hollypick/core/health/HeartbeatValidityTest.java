package org.hollypick.core.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.SettingsBuilder;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.junit.jupiter.api.Test;

/**
 * Compares what the leader concludes from heartbeats with the known state of an agent: which responses it received,
 * which heartbeats are delayed copies, and when it restarted.
 */
class HeartbeatValidityTest {
    private static final long TOKEN = 7;

    private static Heartbeat heartbeat(long incarnation, long sequence, long token, TaskStatus... tasks) {
        return new Heartbeat("n-1", "addr:1", "t", "a", true, incarnation, sequence, token, Double.NaN, List.of(tasks));
    }

    /**
     * An agent receives some responses and loses others, and delayed copies of its heartbeats arrive in between. It
     * counts as unreachable inbound exactly when it has lost the last three responses; copies have no effect.
     */
    @Property(tries = 300, seed = "20261202")
    void agentIsUnreachableInboundAfterThreeLostResponses(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 0, max = 100) int receivedPercent) {
        Random random = new Random(seed);
        HeartbeatValidity validity = new HeartbeatValidity();
        List<Heartbeat> sent = new ArrayList<>();
        long token = 0;
        long attempt = 0;
        List<TaskStatus> tasks = new ArrayList<>();
        List<Command> pending = new ArrayList<>();
        int lostResponses = 0;
        for (int sequence = 1; sequence <= 40; sequence++) {
            long now = sequence * 5_000L;
            Heartbeat heartbeat = heartbeat(1, sequence, token, tasks.toArray(new TaskStatus[0]));
            for (int copies = random.nextInt(3); copies > 0 && !sent.isEmpty(); copies--) {
                assertEquals(
                        HeartbeatValidity.Freshness.OUTDATED,
                        validity.classify(sent.get(random.nextInt(sent.size())), now));
            }
            assertEquals(HeartbeatValidity.Freshness.NEW, validity.classify(heartbeat, now));
            assertEquals(HeartbeatValidity.Freshness.REPEATED, validity.classify(heartbeat, now + 1_000));
            assertEquals(
                    HeartbeatValidity.Freshness.OUTDATED,
                    validity.classify(heartbeat, now + ReachabilityConstants.HEARTBEAT_RESPONSE_TIMEOUT_MS));
            sent.add(heartbeat);
            pending.removeIf(command -> tasks.stream().anyMatch(status -> status.attempt() == command.attempt()));
            validity.heartbeatReceived(heartbeat, token == TOKEN, pending, now);
            assertEquals(
                    lostResponses >= ReachabilityConstants.UNACKNOWLEDGED_RESPONSE_THRESHOLD,
                    validity.isUnreachableInbound(),
                    "after " + lostResponses + " lost responses");
            pending.add(new Command(Command.Verb.LAUNCH, "req-1/" + attempt, ++attempt, 0));
            validity.responseSent(List.copyOf(pending));
            if (random.nextInt(100) < receivedPercent) {
                token = TOKEN;
                pending.forEach(command ->
                        tasks.add(new TaskStatus(command.task(), command.attempt(), Assignment.State.RUNNING, "")));
                lostResponses = 0;
            } else {
                lostResponses++;
            }
        }
    }

    // ---- effects on machines and jobs ----

    private static final long LEASE_MS = 20_000;
    private final Settings settings =
            new SettingsBuilder().leaseS(LEASE_MS / 1000.0).build();
    private final Scheduler scheduler =
            new Scheduler(TOKEN, settings, 0.3, new WorkerLeases(settings, List.of(), 0, true));

    private Machine machine(String id, boolean registered) {
        return scheduler.addMachine(
                id, new MachineType("t", 8, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a")), "a", true, registered, 0);
    }

    private Job job(long createdUnderToken) {
        return scheduler.addJob(
                new JobSpec(
                        "req-1",
                        "k",
                        "",
                        false,
                        JobSpec.Priority.LOW,
                        1,
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
                        Double.NaN),
                1,
                createdUnderToken);
    }

    /**
     * A machine whose incarnation ended again and again was never reconciled, since the wait for its lease started anew
     * with each incarnation, so that the failover never completed.
     */
    @Test
    void incarnationThatBeganInThisTermHoldsNoEarlierTasks() {
        Machine machine = machine("n-1", true);
        for (int incarnation = 1; incarnation < 4; incarnation++) {
            scheduler
                    .heartbeats()
                    .applyHeartbeat(machine, heartbeat(incarnation, incarnation, 3), true, 15_000L * incarnation);
            scheduler.expireLeases(15_000L * incarnation);
            assertEquals(incarnation > 1, scheduler.reconciliationComplete(), "in incarnation " + incarnation);
        }
    }

    /**
     * A delayed copy of a heartbeat listed the task on a machine where it no longer was, and the newer attempt, which
     * was running elsewhere, was stopped.
     */
    @Test
    void ofTwoReportedAttemptsTheNewerIsKept() {
        Job job = job(5);
        Machine previous = machine("n-1", true);
        Machine current = machine("n-2", true);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        previous,
                        heartbeat(1, 5, 3, new TaskStatus("req-1/0", 10, Assignment.State.RUNNING, "")),
                        true,
                        0);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        current,
                        heartbeat(1, 5, 3, new TaskStatus("req-1/0", 11, Assignment.State.RUNNING, "")),
                        true,
                        0);
        assertEquals(current, job.assignments.get(0).machine);
        assertTrue(scheduler.commands().pendingCommands(current).isEmpty());
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        previous,
                        heartbeat(1, 6, 3, new TaskStatus("req-1/0", 10, Assignment.State.RUNNING, "")),
                        true,
                        100);
        assertEquals(current, job.assignments.get(0).machine);
    }

    /** Starts the job's task on the machine, whose agent sends two heartbeats; the second one lists it as running. */
    private Assignment startTask(Machine machine, Job job, long sequence) {
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, sequence, TOKEN), true, 0);
        scheduler.runSchedulingCycle(0);
        Assignment assignment = job.assignments.get(0);
        Heartbeat second = heartbeat(1, sequence + 1, TOKEN, running(assignment));
        scheduler.heartbeats().applyHeartbeat(machine, second, true, 500);
        return assignment;
    }

    private static TaskStatus running(Assignment assignment) {
        return new TaskStatus(assignment.taskId, assignment.attempt, Assignment.State.RUNNING, "");
    }

    /**
     * A heartbeat from before a restart has a larger sequence number. Accepted as the newest, it made the tasks started
     * since seem lost, and they were started again elsewhere.
     */
    @Test
    void heartbeatWithAHigherSequenceAndALowerTokenIsRejected() {
        Machine machine = machine("n-1", true);
        Job job = job(TOKEN);
        Assignment assignment = startTask(machine, job, 5);
        assertFalse(scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, 99, 3), true, 2_000));
        assertEquals(assignment, job.assignments.get(0));
    }

    /**
     * After a lease had expired, commands for its incarnation were sent to an agent that had restarted with the same
     * incarnation, and the task ran there and elsewhere.
     */
    @Test
    void heartbeatsOfAnExpiredIncarnationAreIgnored() {
        Machine machine = machine("n-1", true);
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, 5, TOKEN), true, 0);
        scheduler.expireLeases(LEASE_MS + 2_000);
        assertTrue(machine.incarnationExpired() && !machine.schedulable());
        assertFalse(scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, 6, TOKEN), true, LEASE_MS + 3_000));
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat(2, 1, TOKEN), true, LEASE_MS + 4_000);
        assertTrue(machine.schedulable());
    }

    /**
     * When the response to a direct call shows that the agent has restarted, its tasks are lost, except those that a
     * launch command still in flight may start.
     */
    @Test
    void tasksOfARestartedAgentArePendingAgain() {
        Machine machine = machine("n-1", true);
        Job job = job(TOKEN);
        startTask(machine, job, 50);
        scheduler.heartbeats().applyAgentRestart(machine, heartbeat(1, 1, TOKEN), 1_000);
        assertTrue(job.pendingTasks.get(0));
        assertFalse(machine.schedulable());
    }

    /** Guards against late heartbeats from before a restart that pass for the restarted agent's newest one. */
    @Test
    void heartbeatsFromBeforeAFencedRestartAreIgnored() {
        Machine machine = machine("n-1", true);
        Job job = job(TOKEN);
        TaskStatus running = running(startTask(machine, job, 50));
        scheduler.heartbeats().applyFencedRestart(machine, heartbeat(1, 2, TOKEN + 1), 1_000);
        assertTrue(job.pendingTasks.get(0));
        assertTrue(machine.schedulable());
        assertFalse(scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, 52, TOKEN, running), true, 1_100));
        assertTrue(machine.assignments.isEmpty());
        assertTrue(scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, 3, TOKEN + 1), true, 1_200));
    }

    /** Guards against a task on a restarted agent that the leader neither lists nor kills until the lease expires. */
    @Test
    void taskThatACopyStartedOnAFencedAgentIsKilled() {
        Machine machine = machine("n-1", true);
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, 50, TOKEN), true, 0);
        TaskStatus running = new TaskStatus("req-9/0", 77, Assignment.State.RUNNING, "");
        scheduler.heartbeats().applyFencedRestart(machine, heartbeat(1, 2, TOKEN + 1, running), 1_000);
        assertEquals(
                List.of(new Command(Command.Verb.KILL, "req-9/0", 77, 0)),
                scheduler.commands().pendingCommands(machine));
    }

    /** Guards against restarts that stay unnoticed because a copy of a command has shown the agent a token. */
    @Test
    void lowSequenceNumbersSuggestARestart() {
        Machine machine = machine("n-1", true);
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat(2, 50, TOKEN), true, 0);
        assertTrue(machine.mayHaveRestarted(heartbeat(1, 1, 0)));
        assertTrue(machine.mayHaveRestarted(heartbeat(1, 2, TOKEN)));
        assertTrue(machine.mayHaveRestarted(heartbeat(2, 2, TOKEN - 1)));
        assertFalse(machine.mayHaveRestarted(heartbeat(2, 49, TOKEN)));
        assertFalse(machine.mayHaveRestarted(heartbeat(2, 51, TOKEN)));
        assertFalse(machine.mayHaveRestarted(heartbeat(3, 1, TOKEN)));
    }

    /** Guards against a second restart within a lease after which the agent's lease counted from the first one. */
    @Test
    void leaseOfAnAgentThatRestartsTwiceCountsFromTheLastRestart() {
        Machine machine = machine("n-1", true);
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, 50, TOKEN), true, 0);
        scheduler.heartbeats().applyAgentRestart(machine, heartbeat(1, 2, TOKEN), 1_000);
        scheduler.heartbeats().applyAgentRestart(machine, heartbeat(1, 2, TOKEN), 9_000);
        assertEquals(9_000, machine.leaseStartedAt());
        assertEquals(1_000, machine.incarnationExpiredAt());
    }

    /** Tasks were assigned to a machine that no longer existed, because a delayed copy of its heartbeat arrived. */
    @Test
    void machineIsSchedulableOnlyAfterItShowsTheCurrentToken() {
        Machine machine = machine("n-1", false);
        machine.markRegistered();
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, 5, 0), true, 0);
        assertFalse(machine.schedulable());
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat(1, 6, TOKEN), true, 500);
        assertTrue(machine.schedulable());
    }
}
