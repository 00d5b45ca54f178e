package org.hollypick.core.graph;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.hollypick.config.Settings;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.SettingsBuilder;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.junit.jupiter.api.Test;

/**
 * A graph of n independent, equal nodes is scheduled exactly like an array of n tasks: the order of starts, the
 * machines, the attained service and the use of the team's limit are the same.
 */
class GraphArrayEquivalenceTest {
    private static final MachineType MACHINE_TYPE = new MachineType("t", 8, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b"));

    /** A simulated run of the scheduler with random events drawn from a seed, which records the decisions. */
    private static final class SchedulingRun {
        private final Random random;
        private final boolean asGraph;
        private final Scheduler scheduler;
        private final List<String> trace = new ArrayList<>();
        private final List<Job> jobs = new ArrayList<>();
        private long nowMillis = 1_000;
        private long heartbeatSequence;

        SchedulingRun(long seed, boolean asGraph) {
            this.random = new Random(seed);
            this.asGraph = asGraph;
            Settings settings = new SettingsBuilder()
                    .zones(List.of("a", "b"))
                    .team("team", random.nextBoolean() ? 0 : 14)
                    .build();
            this.scheduler = new Scheduler(5, settings, 0.3, new WorkerLeases(settings, List.of(), nowMillis, true));
        }

        private void addRandomJob(int number) {
            int tasks = 1 + random.nextInt(12);
            boolean drawnAsGraph = random.nextInt(2) == 0;
            JobSpec.Priority priority = JobSpec.Priority.values()[1 + random.nextInt(3)];
            JobSpec taskSpec = new JobSpec(
                    "req-" + number,
                    "c",
                    "team",
                    false,
                    priority,
                    1,
                    1 + random.nextInt(3),
                    0,
                    1,
                    null,
                    random.nextInt(4) == 0 ? "a" : null,
                    false,
                    false,
                    random.nextBoolean(),
                    "img-" + random.nextInt(2),
                    1,
                    10,
                    0,
                    0,
                    Double.NaN);
            if (asGraph && drawnAsGraph) {
                Job[] job = {null};
                // An array's tasks are retried without limit.
                Graph graph = new Graph(Integer.MAX_VALUE, i -> scheduler.releaseTask(job[0], i));
                job[0] = scheduler.addJob(taskSpec, graph, number, 5);
                List<NodeSpec> nodes = new ArrayList<>();
                for (int i = 0; i < tasks; i++) {
                    nodes.add(new NodeSpec("n" + i, taskSpec, List.of()));
                }
                graph.append(nodes, null, null);
                graph.markDurable(tasks);
                graph.seal();
                jobs.add(job[0]);
            } else {
                JobSpec arraySpec = new JobSpec(
                        taskSpec.id(),
                        taskSpec.jobClass(),
                        taskSpec.team(),
                        false,
                        priority,
                        tasks,
                        taskSpec.cpus(),
                        0,
                        1,
                        null,
                        taskSpec.zone(),
                        false,
                        false,
                        taskSpec.spotAllowed(),
                        taskSpec.image(),
                        1,
                        10,
                        0,
                        0,
                        Double.NaN);
                jobs.add(scheduler.addJob(arraySpec, number, 5));
            }
        }

        private void addMachine(int number) {
            Machine machine = scheduler.addMachine(
                    "m-" + number,
                    MACHINE_TYPE,
                    random.nextBoolean() ? "a" : "b",
                    random.nextBoolean(),
                    false,
                    nowMillis);
            machine.markRegistered();
            sendHeartbeat(machine, List.of());
        }

        private void sendHeartbeat(Machine machine, List<TaskStatus> tasks) {
            scheduler
                    .heartbeats()
                    .applyHeartbeat(
                            machine,
                            new Heartbeat(
                                    machine.id,
                                    "w:1",
                                    "t",
                                    machine.zone,
                                    machine.spot,
                                    1,
                                    ++heartbeatSequence,
                                    5,
                                    Double.NaN,
                                    tasks),
                            true,
                            nowMillis);
        }

        /** Sends a heartbeat from every machine, in which tasks start to run, complete or fail at random. */
        private void sendHeartbeats() {
            for (Machine machine : List.copyOf(scheduler.machines())) {
                List<TaskStatus> tasks = new ArrayList<>();
                for (Assignment assignment : List.copyOf(machine.assignments.values())) {
                    int outcome = random.nextInt(10);
                    if (assignment.stopRequested() && assignment.mayExist()) {
                        tasks.add(new TaskStatus(assignment.taskId, assignment.attempt, State.EXITED, "stopped"));
                    } else if (assignment.state() == State.RUNNING && outcome < 4) {
                        tasks.add(new TaskStatus(
                                assignment.taskId, assignment.attempt, State.EXITED, outcome == 0 ? "error" : "done"));
                    } else if (assignment.mayExist()) {
                        tasks.add(new TaskStatus(assignment.taskId, assignment.attempt, State.RUNNING, ""));
                    }
                }
                sendHeartbeat(machine, tasks);
            }
            for (Job job : jobs) {
                job.markCompletionsDurable();
                scheduler.assignments().completionsCommitted(job);
            }
        }

        List<String> run() {
            for (int i = 0; i < 4; i++) {
                addMachine(i);
            }
            for (int step = 0; step < 60; step++) {
                nowMillis += 500 + random.nextInt(2_000);
                if (random.nextInt(3) == 0) {
                    addRandomJob(step + 1);
                }
                if (random.nextInt(12) == 0) {
                    addMachine(100 + step);
                } else if (random.nextInt(20) == 0 && scheduler.machines().size() > 2) {
                    scheduler.markTerminated(scheduler.machines().iterator().next().id);
                }
                if (random.nextInt(25) == 0 && !jobs.isEmpty()) {
                    Job job = jobs.get(random.nextInt(jobs.size()));
                    scheduler.removeJob(job.spec.id());
                    scheduler.markCancelled(job);
                }
                scheduler.expireLeases(nowMillis);
                scheduler.runSchedulingCycle(nowMillis);
                for (Machine machine : scheduler.machines()) {
                    for (Assignment assignment : machine.assignments.values()) {
                        if (assignment.assignedAt == nowMillis) {
                            trace.add(step + " " + assignment.taskId + " on " + machine.id + " attempt "
                                    + assignment.attempt);
                        }
                    }
                    trace.add(step + " " + machine.id + " uses " + machine.usedCpus());
                }
                trace.add(step + " attained service " + new TreeMap<>(scheduler.attainedService()));
                sendHeartbeats();
            }
            return trace;
        }
    }

    @Test
    void independentEqualNodesAreScheduledLikeAnArray() {
        int starts = 0;
        for (int seed = 1; seed <= 300; seed++) {
            List<String> array = new SchedulingRun(seed, false).run();
            List<String> graph = new SchedulingRun(seed, true).run();
            for (int i = 0; i < array.size(); i++) {
                assertEquals(array.get(i), graph.get(i), "seed " + seed + " at " + i);
            }
            assertEquals(array.size(), graph.size());
            starts += (int) array.stream().filter(line -> line.contains(" on ")).count();
        }
        assertTrue(starts > 300 * 20, "too few task starts in all runs: " + starts);
    }
}
