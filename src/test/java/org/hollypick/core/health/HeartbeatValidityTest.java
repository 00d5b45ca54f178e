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
 * What a report is worth, against an agent whose truth is known: which answers it took, which of its reports are
 * copies, and when it began again.
 */
class HeartbeatValidityTest {
    private static final long TOKEN = 7;

    private static Heartbeat report(long session, long tick, long token, TaskStatus... tasks) {
        return new Heartbeat("n-1", "addr:1", "t", "a", true, session, tick, token, Double.NaN, List.of(tasks));
    }

    /**
     * An agent that takes some answers and loses others, and whose older reports come again in between: deaf is one
     * that took none of the last three, never one that took the one before the present report; and copies change
     * nothing.
     */
    @Property(tries = 300, seed = "20261202")
    void agentIsUnreachableInboundAfterThreeLostResponses(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll @IntRange(min = 0, max = 100) int taken) {
        Random random = new Random(seed);
        HeartbeatValidity validity = new HeartbeatValidity();
        List<Heartbeat> sent = new ArrayList<>();
        long token = 0;
        long attempt = 0;
        List<TaskStatus> tasks = new ArrayList<>();
        List<Command> wanted = new ArrayList<>();
        int missed = 0;
        for (int tick = 1; tick <= 40; tick++) {
            long now = tick * 5_000L;
            Heartbeat heartbeat = report(1, tick, token, tasks.toArray(new TaskStatus[0]));
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
            wanted.removeIf(o -> tasks.stream().anyMatch(t -> t.attempt() == o.attempt()));
            validity.heartbeatReceived(heartbeat, token == TOKEN, wanted, now);
            assertEquals(
                    missed >= ReachabilityConstants.UNACKNOWLEDGED_RESPONSES,
                    validity.isUnreachableInbound(),
                    "after " + missed + " lost answers");
            wanted.add(new Command(Command.Verb.LAUNCH, "req-1/" + attempt, ++attempt, 0));
            validity.responseSent(List.copyOf(wanted));
            if (random.nextInt(100) < taken) {
                token = TOKEN;
                wanted.forEach(o -> tasks.add(new TaskStatus(o.task(), o.attempt(), Assignment.State.RUNNING, "")));
                missed = 0;
            } else {
                missed++;
            }
        }
    }

    // ---- what the leader concludes ----

    private static final long LEASE_MS = 20_000;
    private final Settings settings =
            new SettingsBuilder().leaseS(LEASE_MS / 1000.0).build();
    private final Scheduler scheduler =
            new Scheduler(TOKEN, settings, 0.3, new WorkerLeases(settings, List.of(), 0, true));

    private Machine machine(String id, boolean registered) {
        return scheduler.addMachine(
                id, new MachineType("t", 8, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a")), "a", true, registered, 0);
    }

    private Job job(long under) {
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
                under);
    }

    /**
     * Its session ends again and again, and each new one was counted from when it was heard of: the failover never
     * ended.
     */
    @Test
    void incarnationThatBeganInThisTermHoldsNoEarlierTasks() {
        Machine machine = machine("n-1", true);
        for (int session = 1; session < 4; session++) {
            scheduler.heartbeats().applyHeartbeat(machine, report(session, session, 3), true, 15_000L * session);
            scheduler.expireLeases(15_000L * session);
            assertEquals(session > 1, scheduler.reconciliationComplete(), "in session " + session);
        }
    }

    /** A late copy showed the task on a machine where it had been; the newer attempt, which runs, was told to end. */
    @Test
    void ofTwoReportedAttemptsTheNewerIsKept() {
        Job job = job(5);
        Machine old = machine("n-1", true);
        Machine now = machine("n-2", true);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        old, report(1, 5, 3, new TaskStatus("req-1/0", 10, Assignment.State.RUNNING, "")), true, 0);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        now, report(1, 5, 3, new TaskStatus("req-1/0", 11, Assignment.State.RUNNING, "")), true, 0);
        assertEquals(now, job.assignments.get(0).machine);
        assertTrue(scheduler.commands().pendingCommands(now).isEmpty());
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        old, report(1, 6, 3, new TaskStatus("req-1/0", 10, Assignment.State.RUNNING, "")), true, 100);
        assertEquals(now, job.assignments.get(0).machine);
    }

    /**
     * A report of an earlier life has larger counts: taken for the newest it made tasks of the present one seem gone,
     * and they were started again elsewhere.
     */
    @Test
    void heartbeatWithAHigherSequenceAndALowerTokenIsRejected() {
        Machine machine = machine("n-1", true);
        scheduler.heartbeats().applyHeartbeat(machine, report(1, 5, TOKEN), true, 0);
        Job job = job(TOKEN);
        scheduler.runSchedulingCycle(0);
        Assignment assignment = job.assignments.get(0);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        report(
                                1,
                                6,
                                TOKEN,
                                new TaskStatus(assignment.taskId, assignment.attempt, Assignment.State.RUNNING, "")),
                        true,
                        1_000);
        assertFalse(scheduler.heartbeats().applyHeartbeat(machine, report(1, 99, 3), true, 2_000));
        assertEquals(assignment, job.assignments.get(0));
    }

    /**
     * After a lease that had ended, orders under its session went to an agent that had begun again with that session:
     * the task ran there and elsewhere.
     */
    @Test
    void heartbeatsOfAnExpiredIncarnationAreIgnored() {
        Machine machine = machine("n-1", true);
        scheduler.heartbeats().applyHeartbeat(machine, report(1, 5, TOKEN), true, 0);
        scheduler.expireLeases(LEASE_MS + 2_000);
        assertTrue(machine.incarnationExpired() && !machine.schedulable());
        assertFalse(scheduler.heartbeats().applyHeartbeat(machine, report(1, 6, TOKEN), true, LEASE_MS + 3_000));
        scheduler.heartbeats().applyHeartbeat(machine, report(2, 1, TOKEN), true, LEASE_MS + 4_000);
        assertTrue(machine.schedulable());
    }

    /**
     * Begun again, as the answer to a question shows: what it had is gone, but for what an order under way may bring.
     */
    @Test
    void tasksOfARestartedAgentArePendingAgain() {
        Machine machine = machine("n-1", true);
        scheduler.heartbeats().applyHeartbeat(machine, report(1, 50, TOKEN), true, 0);
        Job job = job(TOKEN);
        scheduler.runSchedulingCycle(0);
        Assignment assignment = job.assignments.get(0);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        report(
                                1,
                                51,
                                TOKEN,
                                new TaskStatus(assignment.taskId, assignment.attempt, Assignment.State.RUNNING, "")),
                        true,
                        500);
        scheduler.heartbeats().applyAgentRestart(machine, report(1, 1, TOKEN), 1_000);
        assertTrue(job.pendingTasks.get(0));
        assertFalse(machine.schedulable());
    }

    /** A machine that nobody knows of, by a late copy of a report: it isn't there, and took tasks. */
    @Test
    void machineIsSchedulableOnlyAfterItShowsTheCurrentToken() {
        Machine machine = machine("n-1", false);
        machine.markRegistered();
        scheduler.heartbeats().applyHeartbeat(machine, report(1, 5, 0), true, 0);
        assertFalse(machine.schedulable());
        scheduler.heartbeats().applyHeartbeat(machine, report(1, 6, TOKEN), true, 500);
        assertTrue(machine.schedulable());
    }
}
