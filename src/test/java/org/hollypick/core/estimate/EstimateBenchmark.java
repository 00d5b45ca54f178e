package org.hollypick.core.estimate;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hollypick.config.Settings;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.SettingsBuilder;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Costs of observing runs and of predictions with 1,000 machines and 500 live jobs. Not run in CI, see CONTRIBUTING.md.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
@Fork(1)
public class EstimateBenchmark {
    private static final MachineType MACHINE_TYPE = new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a"));
    private static final Settings SETTINGS = new SettingsBuilder().build();

    private final Random random = new Random(1);
    private Scheduler scheduler;
    private Job lastJob;
    private JobSpec spec;

    @Setup
    public void prepare() {
        scheduler = new Scheduler(5, SETTINGS, 0.3, new WorkerLeases(SETTINGS, List.of(), 0, true), true);
        for (int i = 0; i < 1_000; i++) {
            Machine machine = scheduler.addMachine("m-" + i, MACHINE_TYPE, "a", true, false, 0);
            machine.markRegistered();
            scheduler
                    .heartbeats()
                    .applyHeartbeat(
                            machine,
                            new Heartbeat(machine.id, "w:1", "t", "a", true, 1, 1, 5, Double.NaN, new ArrayList<>()),
                            true,
                            0);
        }
        for (int i = 0; i < 500; i++) {
            spec = new JobSpec(
                    "req-" + i,
                    "kind-" + i % 20,
                    "team",
                    false,
                    JobSpec.Priority.NORMAL,
                    60,
                    2,
                    0,
                    1,
                    null,
                    null,
                    false,
                    false,
                    true,
                    "img",
                    1,
                    25,
                    0,
                    0,
                    Double.NaN);
            lastJob = scheduler.addJob(spec, i, 5);
            observe();
        }
        scheduler.runSchedulingCycle(1_000);
    }

    /** Records the run of one task. */
    @Benchmark
    public void observe() {
        scheduler
                .estimates()
                .observe(
                        spec,
                        "m-" + random.nextInt(1_000),
                        25 * Math.exp(random.nextGaussian() * 0.4),
                        random.nextInt(20) == 0);
    }

    @Benchmark
    public PredictionInterval interval() {
        return scheduler.estimates().interval(spec, 10);
    }

    /** Answers one query for the completion time of a job. */
    @Benchmark
    public CompletionEstimate.Answer estimateCompletion() {
        return new CompletionEstimate(scheduler, scheduler.estimates(), id -> List.of(), 10_000).of(lastJob);
    }
}
