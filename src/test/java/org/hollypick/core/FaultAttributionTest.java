package org.hollypick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.hollypick.config.Settings;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.hollypick.core.tyrex.Cutoff;
import org.hollypick.core.tyrex.Tyrex;
import org.junit.jupiter.api.Test;

/**
 * Runs jobs that fail on every machine beside machines on which every task fails. The test knows which of them are
 * faulty; the scheduler only sees failures.
 */
class FaultAttributionTest {
    private static final MachineType TYPE = new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b"));
    private static final int MACHINES = 12;

    /** A simulated cluster that counts how the scheduler treats healthy and faulty machines. */
    private static final class SimulatedCluster {
        private final Settings settings =
                new SettingsBuilder().zones(List.of("a", "b")).build();
        private final Scheduler scheduler =
                new Scheduler(5, settings, 0.3, new WorkerLeases(settings, List.of(), 0, true));
        private final Random random;
        private final Set<String> faultyMachines = new HashSet<>();
        private final Set<String> failingJobs = new HashSet<>();
        private final Set<String> wronglyQuarantined = new HashSet<>();
        private final Set<String> detectedFaulty = new HashSet<>();
        private long heartbeatSequence;
        private long now = 1_000;
        /** Machine-seconds that healthy machines spent in quarantine. */
        private double wrongQuarantineS;
        /** The most tasks that one job, known to fail everywhere, had assigned at once after the first minute. */
        private int maxFailingJobTasks;

        private int completedTasks;

        SimulatedCluster(long seed, int faultyMachineCount, int failingJobPercent) {
            random = new Random(seed);
            for (int i = 0; i < MACHINES; i++) {
                Machine machine = scheduler.addMachine("n-" + i, TYPE, i % 2 == 0 ? "a" : "b", true, false, 0);
                machine.markRegistered();
                sendHeartbeat(machine);
            }
            for (int i = 0; i < 200; i++) {
                if (now < 120_000 && i % 2 == 0) {
                    String id = "req-" + i;
                    scheduler.addJob(
                            new JobSpec(
                                    id,
                                    "k",
                                    "",
                                    false,
                                    JobSpec.Priority.LOW,
                                    1 + random.nextInt(30),
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
                            i + 1,
                            5);
                    if (random.nextInt(100) < failingJobPercent) {
                        failingJobs.add(id);
                    }
                }
                if (i == 40) {
                    while (faultyMachines.size() < faultyMachineCount) {
                        faultyMachines.add("n-" + random.nextInt(MACHINES));
                    }
                }
                advanceOneSecond();
            }
        }

        private void advanceOneSecond() {
            now += 1_000;
            scheduler.runSchedulingCycle(now);
            for (Machine machine : scheduler.machines()) {
                machine.acknowledgeHeartbeat(now);
                sendHeartbeat(machine);
                if (machine.faults.isQuarantined() && faultyMachines.contains(machine.id)) {
                    detectedFaulty.add(machine.id);
                } else if (machine.faults.isQuarantined()) {
                    wronglyQuarantined.add(machine.id);
                    wrongQuarantineS++;
                }
            }
            scheduler.expireLeases(now);
            if (now > 60_000) {
                maxFailingJobTasks = Math.max(
                        maxFailingJobTasks,
                        failingJobs.stream()
                                .mapToInt(id -> scheduler.job(id).failsEverywhere()
                                        ? scheduler.job(id).assignments.size()
                                        : 0)
                                .max()
                                .orElse(0));
            }
        }

        /** Sends the machine's heartbeat. Each task runs for some ten seconds, or fails at once. */
        private void sendHeartbeat(Machine machine) {
            List<TaskStatus> tasks = new ArrayList<>();
            for (Assignment assignment : machine.assignments.values()) {
                boolean fails = (faultyMachines.contains(machine.id) && assignment.assignedAt > 41_000)
                        || failingJobs.contains(assignment.job.spec.id());
                boolean ends = now - assignment.assignedAt > 6_000 + random.nextInt(8_000);
                if (assignment.state() != State.EXITED) {
                    completedTasks += !fails && ends ? 1 : 0;
                    tasks.add(new TaskStatus(
                            assignment.taskId,
                            assignment.attempt,
                            fails || ends ? State.EXITED : State.RUNNING,
                            fails ? "error" : ends ? "done" : ""));
                }
            }
            scheduler
                    .heartbeats()
                    .applyHeartbeat(
                            machine,
                            new Heartbeat(
                                    machine.id,
                                    "addr:1",
                                    "t",
                                    machine.zone,
                                    true,
                                    1,
                                    ++heartbeatSequence,
                                    5,
                                    Double.NaN,
                                    tasks),
                            true,
                            now);
        }
    }

    /** Two failing jobs whose first failures happened on the same healthy machine kept it in quarantine for 90 s. */
    @Property(tries = 30, seed = "20261202")
    void failingJobsLeaveHealthyMachinesSchedulable(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 1, max = 40) int failingJobPercent) {
        SimulatedCluster cluster = new SimulatedCluster(seed, 0, failingJobPercent);
        assertTrue(
                cluster.wrongQuarantineS <= 0.02 * MACHINES * 200,
                "machine-seconds of healthy machines in quarantine: " + cluster.wrongQuarantineS + " on "
                        + cluster.wronglyQuarantined.size());
        assertTrue(
                cluster.maxFailingJobTasks <= 1,
                "a job that fails everywhere has " + cluster.maxFailingJobTasks + " tasks assigned");
        assertTrue(cluster.completedTasks > 100);
    }

    /** Machines on which every task fails are quarantined while failing jobs run. */
    @Property(tries = 30, seed = "20261202")
    void faultyMachinesAreDetectedWhileJobsFail(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 1, max = 3) int faultyMachineCount,
            @ForAll @IntRange(min = 0, max = 30) int failingJobPercent) {
        SimulatedCluster cluster = new SimulatedCluster(seed, faultyMachineCount, failingJobPercent);
        assertTrue(
                cluster.detectedFaulty.size() >= faultyMachineCount - 1,
                cluster.detectedFaulty.size() + " of " + faultyMachineCount + " faulty machines were detected");
    }

    /**
     * Jobs that fail everywhere have an attained service of zero. Counting them raised the variation above its limit,
     * and other jobs were demoted that stay in the first partition without them.
     */
    @Test
    void jobsFailingEverywhereDoNotDemoteOthers() {
        SimulatedCluster cluster = new SimulatedCluster(1, 0, 0);
        List<Job> jobs = new ArrayList<>();
        double[] attainedServiceS = {260, 30, 18, 0, 0, 0, 0};
        for (int i = 0; i < attainedServiceS.length; i++) {
            Job job = cluster.scheduler.addJob(
                    new JobSpec(
                            "req-9" + i,
                            "k",
                            "",
                            false,
                            JobSpec.Priority.LOW,
                            4,
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
                    900 + i,
                    5);
            job.restoreAttainedService(attainedServiceS[i]);
            jobs.add(job);
        }
        assertEquals(6.2, Cutoff.findBalanced(attainedServiceS).orElse(0), 0.1);
        assertEquals(
                3,
                Tyrex.selectJobsToDemote(jobs).size(),
                "with the failing jobs counted, all three that ran are demoted");
        jobs.subList(3, 7).forEach(job -> job.failedMachines.addAll(List.of("n-1", "n-2", "n-3")));
        assertEquals(List.of(), Tyrex.selectJobsToDemote(jobs));
    }
}
