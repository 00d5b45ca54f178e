package org.hollypick.core.graph;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.infra.BenchmarkParams;

/**
 * Compares the costs of a graph's nodes with those of an array's tasks. Not run in CI, see CONTRIBUTING.md. Each result
 * is the time for all nodes together: divide it by their number.
 */
@org.openjdk.jmh.annotations.State(Scope.Thread)
@BenchmarkMode(Mode.SingleShotTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 6)
@Measurement(iterations = 10)
@Fork(1)
public class GraphBenchmark {
    private static final MachineType MACHINE_TYPE =
            new MachineType("t", 1_000, 0, 100_000, 50, 1, 1, 0.4, 30, Set.of("a"));
    private static final int CHAIN_LENGTH = 50;
    private static final Settings SETTINGS = new SettingsBuilder().build();

    @Param({"1000", "10000", "100000"})
    private int nodes;

    private List<NodeSpec> nodeSpecs;
    private Graph sealedGraph;
    private Scheduler arrayScheduler;
    private Scheduler graphScheduler;
    private Scheduler chainScheduler;

    private static JobSpec spec(int tasks) {
        return new JobSpec(
                "req-1",
                "c",
                "",
                false,
                JobSpec.Priority.NORMAL,
                tasks,
                1,
                0,
                1,
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

    /** Creates nodes in chains of {@code chainLength}; with 1, all nodes are independent. */
    private List<NodeSpec> newNodeSpecs(int chainLength) {
        JobSpec taskSpec = spec(1);
        List<NodeSpec> specs = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            specs.add(new NodeSpec("n" + i, taskSpec, i % chainLength == 0 ? List.of() : List.of("n" + (i - 1))));
        }
        return specs;
    }

    /**
     * Creates only the state that the benchmark needs, since other objects would add to the garbage collector's work.
     */
    @Setup(Level.Invocation)
    public void prepare(BenchmarkParams params) {
        switch (params.getBenchmark().substring(params.getBenchmark().lastIndexOf('.') + 1)) {
            case "validateAndAppend" -> nodeSpecs = newNodeSpecs(CHAIN_LENGTH);
            case "release" -> {
                sealedGraph = new Graph(3, i -> {});
                sealedGraph.append(newNodeSpecs(CHAIN_LENGTH), null, null);
                sealedGraph.markDurable(nodes);
                sealedGraph.seal();
            }
            case "arrayTasks" -> {
                arrayScheduler = newScheduler();
                arrayScheduler.addJob(spec(nodes), 1, 5);
            }
            case "independentNodes" -> {
                graphScheduler = newScheduler();
                addGraph(graphScheduler, newNodeSpecs(1));
            }
            default -> {
                chainScheduler = newScheduler();
                addGraph(chainScheduler, newNodeSpecs(CHAIN_LENGTH));
            }
        }
        System.gc();
    }

    private static Scheduler newScheduler() {
        Scheduler scheduler = new Scheduler(5, SETTINGS, 0.3, new WorkerLeases(SETTINGS, List.of(), 0, true));
        for (int i = 0; i < 4; i++) {
            Machine machine = scheduler.addMachine("m-" + i, MACHINE_TYPE, "a", true, false, 0);
            machine.markRegistered();
            scheduler
                    .heartbeats()
                    .applyHeartbeat(
                            machine,
                            new Heartbeat(machine.id, "w:1", "t", "a", true, 1, 1, 5, Double.NaN, List.of()),
                            true,
                            0);
        }
        return scheduler;
    }

    private static void addGraph(Scheduler scheduler, List<NodeSpec> nodes) {
        Job[] job = {null};
        Graph graph = new Graph(3, i -> scheduler.releaseTask(job[0], i));
        job[0] = scheduler.addJob(spec(1), graph, 1, 5);
        graph.append(nodes, null, null);
        graph.markDurable(nodes.size());
        graph.seal();
    }

    /** Validates, appends and seals a graph. */
    @Benchmark
    public int validateAndAppend() {
        Graph graph = new Graph(3, i -> {});
        graph.validate(nodeSpecs, null, null);
        graph.append(nodeSpecs, null, null);
        graph.markDurable(nodes);
        graph.seal();
        return graph.count();
    }

    /** Completes all nodes level by level; each level releases the next one. */
    @Benchmark
    public int release() {
        BitSet done = new BitSet(nodes);
        for (int level = 0; level < CHAIN_LENGTH; level++) {
            for (int i = level; i < nodes; i += CHAIN_LENGTH) {
                done.set(i);
            }
            sealedGraph.completionsCommitted(done);
        }
        return sealedGraph.count(NodeState.DONE);
    }

    /** Schedules an array's tasks, and processes their heartbeats and completions. */
    @Benchmark
    public int arrayTasks() {
        return run(arrayScheduler);
    }

    /** Does the same for the same number of independent nodes. */
    @Benchmark
    public int independentNodes() {
        return run(graphScheduler);
    }

    /** Does the same for nodes in chains of {@link #CHAIN_LENGTH}. */
    @Benchmark
    public int chainedNodes() {
        return run(chainScheduler);
    }

    private static int run(Scheduler scheduler) {
        Job job = scheduler.jobs().iterator().next();
        long nowMillis = 1_000;
        long sequence = 1;
        int cycles = 0;
        while (!job.isFinished()) {
            nowMillis += 1_000;
            cycles++;
            scheduler.runSchedulingCycle(nowMillis);
            for (Machine machine : scheduler.machines()) {
                for (State state : List.of(State.RUNNING, State.EXITED)) {
                    List<TaskStatus> tasks = new ArrayList<>();
                    for (Assignment assignment : machine.assignments.values()) {
                        tasks.add(new TaskStatus(assignment.taskId, assignment.attempt, state, "done"));
                    }
                    scheduler
                            .heartbeats()
                            .applyHeartbeat(
                                    machine,
                                    new Heartbeat(
                                            machine.id, "w:1", "t", "a", true, 1, ++sequence, 5, Double.NaN, tasks),
                                    true,
                                    nowMillis);
                }
                scheduler
                        .heartbeats()
                        .applyHeartbeat(
                                machine,
                                new Heartbeat(
                                        machine.id, "w:1", "t", "a", true, 1, ++sequence, 5, Double.NaN, List.of()),
                                true,
                                nowMillis);
            }
            job.markCompletionsDurable();
            scheduler.assignments().completionsCommitted(job);
        }
        return cycles;
    }

    /** Prints the heap memory per node. */
    public static void main(String[] args) {
        for (int n : new int[] {1_000, 10_000, 100_000}) {
            GraphBenchmark benchmark = new GraphBenchmark();
            benchmark.nodes = n;
            List<NodeSpec> specs = benchmark.newNodeSpecs(CHAIN_LENGTH);
            System.gc();
            long before = usedHeapBytes();
            Graph graph = new Graph(3, i -> {});
            graph.append(specs, null, null);
            graph.markDurable(n);
            graph.seal();
            System.gc();
            System.out.println(n + " nodes: " + (usedHeapBytes() - before) / n
                    + " bytes per node, without the ids; count " + graph.count());
        }
    }

    private static long usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
