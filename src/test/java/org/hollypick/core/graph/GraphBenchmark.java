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
 * What a node costs beside a task of an array; not in CI, see CONTRIBUTING.md. Each figure is for all nodes together:
 * divide by their number.
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

    /** {@code chain}: every so many nodes a new chain begins; 1: all are independent. */
    private List<NodeSpec> newNodeSpecs(int chain) {
        JobSpec one = spec(1);
        List<NodeSpec> list = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            list.add(new NodeSpec("n" + i, one, i % chain == 0 ? List.of() : List.of("n" + (i - 1))));
        }
        return list;
    }

    /** Only what the benchmark needs: the others' worlds would be its collector's work. */
    @Setup(Level.Invocation)
    public void prepare(BenchmarkParams params) {
        switch (params.getBenchmark().substring(params.getBenchmark().lastIndexOf('.') + 1)) {
            case "validateAndAppend" -> nodeSpecs = newNodeSpecs(50);
            case "release" -> {
                sealedGraph = new Graph(3, i -> {});
                sealedGraph.append(newNodeSpecs(50), null, null);
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
                addGraph(chainScheduler, newNodeSpecs(50));
            }
        }
        System.gc();
    }

    private static Scheduler newScheduler() {
        Scheduler s = new Scheduler(5, SETTINGS, 0.3, new WorkerLeases(SETTINGS, List.of(), 0, true));
        for (int i = 0; i < 4; i++) {
            Machine machine = s.addMachine("m-" + i, MACHINE_TYPE, "a", true, false, 0);
            machine.markRegistered();
            s.heartbeats()
                    .applyHeartbeat(
                            machine,
                            new Heartbeat(machine.id, "w:1", "t", "a", true, 1, 1, 5, Double.NaN, List.of()),
                            true,
                            0);
        }
        return s;
    }

    private static void addGraph(Scheduler s, List<NodeSpec> nodes) {
        Job[] job = {null};
        Graph g = new Graph(3, i -> s.releaseTask(job[0], i));
        job[0] = s.addJob(spec(1), g, 1, 5);
        g.append(nodes, null, null);
        g.markDurable(nodes.size());
        g.seal();
    }

    /** Checked and taken in. */
    @Benchmark
    public int validateAndAppend() {
        Graph g = new Graph(3, i -> {});
        g.validate(nodeSpecs, null, null);
        g.append(nodeSpecs, null, null);
        g.markDurable(nodes);
        g.seal();
        return g.count();
    }

    /** All done, one level after the other: each releases the next. */
    @Benchmark
    public int release() {
        BitSet done = new BitSet(nodes);
        for (int level = 0; level < 50; level++) {
            for (int i = level; i < nodes; i += 50) {
                done.set(i);
            }
            sealedGraph.completionsCommitted(done);
        }
        return sealedGraph.count(NodeState.DONE);
    }

    /** Placed, run, reported and recorded: every task of an array. */
    @Benchmark
    public int arrayTasks() {
        return run(arrayScheduler);
    }

    /** The same for as many independent nodes. */
    @Benchmark
    public int independentNodes() {
        return run(graphScheduler);
    }

    /** The same for nodes in chains of fifty. */
    @Benchmark
    public int chainedNodes() {
        return run(chainScheduler);
    }

    private static int run(Scheduler s) {
        Job job = s.jobs().iterator().next();
        long now = 1_000;
        long tick = 1;
        int passes = 0;
        while (!job.isFinished()) {
            now += 1_000;
            passes++;
            s.runSchedulingCycle(now);
            for (Machine machine : s.machines()) {
                for (State state : List.of(State.RUNNING, State.EXITED)) {
                    List<TaskStatus> tasks = new ArrayList<>();
                    for (Assignment assignment : machine.assignments.values()) {
                        tasks.add(new TaskStatus(assignment.taskId, assignment.attempt, state, "done"));
                    }
                    s.heartbeats()
                            .applyHeartbeat(
                                    machine,
                                    new Heartbeat(machine.id, "w:1", "t", "a", true, 1, ++tick, 5, Double.NaN, tasks),
                                    true,
                                    now);
                }
                s.heartbeats()
                        .applyHeartbeat(
                                machine,
                                new Heartbeat(machine.id, "w:1", "t", "a", true, 1, ++tick, 5, Double.NaN, List.of()),
                                true,
                                now);
            }
            job.markCompletionsDurable();
            s.assignments().completionsCommitted(job);
        }
        return passes;
    }

    /** Heap a node takes. */
    public static void main(String[] args) {
        for (int n : new int[] {1_000, 10_000, 100_000}) {
            GraphBenchmark b = new GraphBenchmark();
            b.nodes = n;
            List<NodeSpec> specs = b.newNodeSpecs(50);
            System.gc();
            long before = usedHeapBytes();
            Graph g = new Graph(3, i -> {});
            g.append(specs, null, null);
            g.markDurable(n);
            g.seal();
            System.gc();
            System.out.println(
                    n + " nodes: " + (usedHeapBytes() - before) / n + " bytes a node, without their ids; " + g.count());
        }
    }

    private static long usedHeapBytes() {
        Runtime vm = Runtime.getRuntime();
        return vm.totalMemory() - vm.freeMemory();
    }
}
