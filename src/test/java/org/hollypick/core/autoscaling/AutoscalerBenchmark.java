package org.hollypick.core.autoscaling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.core.JobSpec;
import org.hollypick.core.JobSpecBuilder;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.SettingsBuilder;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures one autoscaling plan and one scheduling cycle with six teams at their quotas, all machines full and many
 * pending tasks: four tasks were submitted per core.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class AutoscalerBenchmark {
    private static final MachineType TYPE = new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 50, Set.of("a", "b"));
    private static final List<String> ZONES = List.of("a", "b");
    private static final int TEAMS = 6;
    private static final int TASKS_PER_JOB = 90;
    private static final int TASKS_PER_CORE = 4;

    /** Number of machines, all of them full. */
    @Param({"1100", "4000"})
    public int machines;

    private Scheduler scheduler;
    private Autoscaler autoscaler;
    private long now = 2_000;

    /** Fills all machines and leaves further jobs pending. */
    @Setup
    public void fill() {
        Map<String, Settings.Team> teams = new HashMap<>();
        for (int i = 0; i < TEAMS; i++) {
            teams.put("team-" + i, new Settings.Team("team-" + i, 0, machines * TYPE.cpus() / TEAMS, 0, 0));
        }
        Settings settings = new SettingsBuilder().zones(ZONES).teams(teams).build();
        scheduler = new Scheduler(5, settings, 0.3, new WorkerLeases(settings, List.of(), 0, true));
        autoscaler = new Autoscaler(OperatorSettings.defaults(), true);
        for (int i = 0; i < machines; i++) {
            Machine machine = scheduler.addMachine("n-" + i, TYPE, ZONES.get(i % 2), true, false, 0);
            machine.markRegistered();
            scheduler
                    .heartbeats()
                    .applyHeartbeat(
                            machine,
                            new Heartbeat(machine.id, "w:1", "t", machine.zone, true, 1, 1, 5, Double.NaN, List.of()),
                            true,
                            0);
        }
        int jobs = (int) (TASKS_PER_CORE * machines * TYPE.cpus() / TASKS_PER_JOB);
        for (int i = 0; i < jobs; i++) {
            scheduler.addJob(spec(i), i, 5);
        }
        scheduler.runSchedulingCycle(1_000);
    }

    private static JobSpec spec(int number) {
        return JobSpecBuilder.array("req-" + number)
                .team("team-" + number % TEAMS)
                .tasks(TASKS_PER_JOB)
                .cpus(1 + number % 4)
                .estimateS(60)
                .build();
    }

    /** One plan. */
    @Benchmark
    public Autoscaler.Plan plan() {
        now++;
        return autoscaler.plan(scheduler, Map.of("t", TYPE), ZONES, now);
    }

    /** One full scheduling cycle that starts nothing. */
    @Benchmark
    public void schedulingCycle() {
        now++;
        scheduler.runSchedulingCycle(now);
    }
}
