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
 * Jobs that fail on every machine beside machines that fail every task. The truth is known here; the scheduler only
 * sees failures.
 */
class FaultAttributionTest {
    private static final MachineType TYPE = new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b"));
    private static final int MACHINES = 12;

    /** One stretch of work: what the scheduler did to sound and to sick machines. */
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
        /**
         * Machine-seconds of sound machines in quarantine, and the most tasks of broken jobs under way at once after a
         * minute.
         */
        private double wrongQuarantineS;

        private int maxFailingJobTasks;
        private int completedTasks;

        SimulatedCluster(long seed, int sickMachines, int brokenPercent) {
            random = new Random(seed);
            for (int i = 0; i < MACHINES; i++) {
                Machine machine = scheduler.addMachine("n-" + i, TYPE, i % 2 == 0 ? "a" : "b", true, false, 0);
                machine.markRegistered();
                report(machine);
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
                    if (random.nextInt(100) < brokenPercent) {
                        failingJobs.add(id);
                    }
                }
                if (i == 40) {
                    while (faultyMachines.size() < sickMachines) {
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
                report(machine);
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

        /** Each task runs for some ten seconds, or fails at once. */
        private void report(Machine machine) {
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

    /**
     * Two broken jobs whose first failures fell on the same sound machine kept it from work for a minute and a half.
     */
    @Property(tries = 30, seed = "20261202")
    void failingJobsLeaveHealthyMachinesSchedulable(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed, @ForAll @IntRange(min = 1, max = 40) int percent) {
        SimulatedCluster s = new SimulatedCluster(seed, 0, percent);
        assertTrue(
                s.wrongQuarantineS <= 0.02 * MACHINES * 200,
                "machine-seconds lost: " + s.wrongQuarantineS + " on " + s.wronglyQuarantined.size());
        assertTrue(
                s.maxFailingJobTasks <= 1,
                "a job that fails everywhere has " + s.maxFailingJobTasks + " tasks under way");
        assertTrue(s.completedTasks > 100);
    }

    /** Machines that fail all they start are found while such jobs run. */
    @Property(tries = 30, seed = "20261202")
    void faultyMachinesAreDetectedWhileJobsFail(
            @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
            @ForAll @IntRange(min = 1, max = 3) int sick,
            @ForAll @IntRange(min = 0, max = 30) int percent) {
        SimulatedCluster s = new SimulatedCluster(seed, sick, percent);
        assertTrue(s.detectedFaulty.size() >= sick - 1, s.detectedFaulty.size() + " of " + sick + " were found");
    }

    /** Their sizes of zero raised the variation above its limit and moved jobs on that stay without them. */
    @Test
    void jobsFailingEverywhereDoNotDemoteOthers() {
        SimulatedCluster s = new SimulatedCluster(1, 0, 0);
        List<Job> jobs = new ArrayList<>();
        double[] ran = {260, 30, 18, 0, 0, 0, 0};
        for (int i = 0; i < ran.length; i++) {
            Job job = s.scheduler.addJob(
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
            job.restoreAttainedService(ran[i]);
            jobs.add(job);
        }
        assertEquals(6.2, Cutoff.findBalanced(ran).orElse(0), 0.1);
        assertEquals(3, Tyrex.selectJobsToDemote(jobs).size(), "with them all three that ran are moved");
        jobs.subList(3, 7).forEach(j -> j.failedMachines.addAll(List.of("n-1", "n-2", "n-3")));
        assertEquals(List.of(), Tyrex.selectJobsToDemote(jobs));
    }
}
