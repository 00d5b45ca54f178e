package org.hollypick.core.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.JobSpecBuilder;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.SettingsBuilder;
import org.hollypick.core.WorkerLeases;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.junit.jupiter.api.Test;

/**
 * Scale-out, scale-in and eviction plans. Each test guards against a fault that made tasks wait or left machines idle.
 */
class AutoscalerTest {
    private static final MachineType TYPE = new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 50, Set.of("a", "b"));
    private static final Map<String, MachineType> TYPES = Map.of("t", TYPE);
    private static final List<String> ZONES = List.of("a", "b");

    private static final Settings SETTINGS = new SettingsBuilder().zones(ZONES).build();

    private final Scheduler scheduler = new Scheduler(5, SETTINGS, 0.3, new WorkerLeases(SETTINGS, List.of(), 0, true));
    private final Autoscaler autoscaler = new Autoscaler(OperatorSettings.defaults(), true);
    private int machines;

    private Machine machine(String zone, boolean spot, long now) {
        Machine machine = scheduler.addMachine(String.format("n-%03d", machines++), TYPE, zone, spot, false, now);
        machine.markRegistered();
        machine.images.put("img", now);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        machine,
                        new Heartbeat(machine.id, "w:1", "t", zone, spot, 1, 1, 5, Double.NaN, List.of()),
                        true,
                        now);
        return machine;
    }

    private Job service(String id, int tasks) {
        return scheduler.addJob(
                new JobSpec(
                        id,
                        "web",
                        "team",
                        true,
                        JobSpec.Priority.PRODUCTION,
                        tasks,
                        1,
                        0,
                        1,
                        null,
                        null,
                        false,
                        true,
                        false,
                        "img",
                        1,
                        0,
                        0,
                        0,
                        Double.NaN),
                machines,
                5);
    }

    private Job array(String id, int tasks) {
        return scheduler.addJob(
                new JobSpec(
                        id,
                        "batch",
                        "team",
                        false,
                        JobSpec.Priority.NORMAL,
                        tasks,
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
                        30,
                        0,
                        0,
                        Double.NaN),
                machines,
                5);
    }

    private static int requestedMachines(Autoscaler.Plan plan, String zone, boolean spot) {
        return plan.scaleOut().stream()
                .filter(request ->
                        request.pool().zone().equals(zone) && request.pool().spot() == spot)
                .mapToInt(Autoscaler.ScaleOut::count)
                .sum();
    }

    private void reportAllTasksRunning(long now) {
        for (Machine machine : scheduler.machines()) {
            TaskStatus[] tasks = machine.assignments.values().stream()
                    .map(assignment -> new TaskStatus(assignment.taskId, assignment.attempt, State.RUNNING, ""))
                    .toArray(TaskStatus[]::new);
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
                                    now,
                                    5,
                                    Double.NaN,
                                    List.of(tasks)),
                            true,
                            now);
        }
    }

    /**
     * Pending replicas of a spread service were divided evenly over the zones, although one zone already ran its half:
     * the other one got capacity for only half of them.
     */
    @Test
    void pendingReplicasOfASpreadServiceCountInTheZonesThatCanStillTakeThem() {
        machine("a", false, 0);
        Job job = service("req-1", 32);
        scheduler.runSchedulingCycle(0);
        assertEquals(16, job.assignments.size());
        Autoscaler.Plan plan = autoscaler.plan(scheduler, TYPES, ZONES, 1_000);
        assertEquals(1, requestedMachines(plan, "a", false), "only standby capacity");
        assertEquals(2, requestedMachines(plan, "b", false), "all 16 pending replicas, and standby capacity");
    }

    /** Machines that booted too slowly still counted as capacity, so a zone had too little until they were up. */
    @Test
    void machinesThatBootTooSlowlyDoNotCountAsCapacity() {
        service("req-1", 8);
        scheduler.addMachine("n-a", TYPE, "a", false, false, 0);
        scheduler.addMachine("n-b", TYPE, "b", false, false, 0);
        assertTrue(autoscaler.plan(scheduler, TYPES, ZONES, 1_000).scaleOut().isEmpty());
        assertEquals(1, requestedMachines(autoscaler.plan(scheduler, TYPES, ZONES, 90_000), "a", false));
    }

    /** At equal prices one zone got all new machines, and the other had no spare capacity for services. */
    @Test
    void scaleOutIsBalancedOverZonesAtEqualPrices() {
        machine("a", true, 0);
        array("req-1", 2_000);
        Autoscaler.Plan plan = autoscaler.plan(scheduler, TYPES, ZONES, 1_000);
        assertTrue(
                requestedMachines(plan, "a", true) > 0 && requestedMachines(plan, "b", true) > 0,
                plan.scaleOut().toString());
        assertTrue(
                Math.abs(requestedMachines(plan, "a", true) - requestedMachines(plan, "b", true)) <= 50,
                plan.scaleOut().toString());
    }

    /** Jobs pending at the start of a term were counted into the mean load, and far too much capacity was kept. */
    @Test
    void submissionsDuringWarmUpAreNotCountedIntoTheMeanLoad() {
        array("req-1", 1_000);
        autoscaler.plan(scheduler, TYPES, ZONES, 1_000);
        for (long now = 2_000; now < 60_000; now += 1_000) {
            autoscaler.plan(scheduler, TYPES, ZONES, now);
        }
        assertEquals(0, autoscaler.meanArrayLoadCores());
        for (long now = 60_000; now < 400_000; now += 1_000) {
            if (now % 10_000 == 0) {
                array("req-" + now, 10);
            }
            autoscaler.plan(scheduler, TYPES, ZONES, now);
        }
        assertEquals(60, autoscaler.meanArrayLoadCores(), 12, "one job of 600 core-seconds each 10 s");
    }

    /**
     * The mean load decreases over minutes: machines that were kept for further jobs after the last job of a day made
     * up a third of the day's cost.
     */
    @Test
    void spareArrayCapacityIsTerminatedWhenArraysStopArriving() {
        for (int i = 0; i < 4; i++) {
            machine(i % 2 == 0 ? "a" : "b", true, 0);
        }
        long now = 0;
        for (; now < 200_000; now += 1_000) {
            scheduler.jobs().clear();
            array("req-" + now, 1);
            assertTrue(autoscaler.plan(scheduler, TYPES, ZONES, now).scaleIn().isEmpty() || now < 60_000);
        }
        scheduler.jobs().clear();
        assertTrue(
                autoscaler.plan(scheduler, TYPES, ZONES, now + 8_000).scaleIn().isEmpty(), "a short pause");
        autoscaler.submissionsUnavailable(now + 20_000);
        assertTrue(
                autoscaler.plan(scheduler, TYPES, ZONES, now + 30_000).scaleIn().size() < 4, "users could not submit");
        now += 20_000;
        assertEquals(
                4,
                autoscaler.plan(scheduler, TYPES, ZONES, now + 30_000).scaleIn().size());
        // A single late job restored all of that capacity and started machines for nothing.
        array("req-late", 1);
        assertTrue(autoscaler
                .plan(scheduler, TYPES, ZONES, now + 31_000)
                .scaleOut()
                .isEmpty());
    }

    /** Services end one at a time: without moves all machines are kept, each of them nearly empty. */
    @Test
    void replicasMoveOffTheEmptiestMachinesAfterTheirMinimumRunTime() {
        for (int i = 0; i < 12; i++) {
            machine(i % 2 == 0 ? "a" : "b", false, 0);
            service("req-" + i, 2);
        }
        scheduler.runSchedulingCycle(0);
        // 24 replicas on 12 machines: few on each, as after other services have ended.
        reportAllTasksRunning(1_000);
        assertTrue(
                autoscaler.plan(scheduler, TYPES, ZONES, 10_000).moves().isEmpty(),
                "the replicas have only just started");
        Autoscaler.Plan plan = autoscaler.plan(scheduler, TYPES, ZONES, 100_000);
        assertFalse(plan.moves().isEmpty());
        plan.moves().forEach(assignment -> {
            assertTrue(assignment.machine.isEvicting());
            assertFalse(assignment.machine.schedulable(), "no new tasks on a machine that is being evicted");
        });
        // No machine holds the image any more: a move would have to fetch it.
        scheduler.machines().forEach(machine -> machine.images.clear());
        assertTrue(autoscaler.plan(scheduler, TYPES, ZONES, 101_000).moves().isEmpty());
    }

    /**
     * Moved replicas went to the machines with the fewest replicas, which were evicted next: most moves were useless.
     * With few machines, spreading replicas is more important.
     */
    @Test
    void newReplicasAvoidMachinesToBeEvictedNextInLargeClusters() {
        for (int i = 0; i < 60; i++) {
            machine(i % 2 == 0 ? "a" : "b", false, 0);
            service("req-" + i, 8);
        }
        scheduler.runSchedulingCycle(0);
        reportAllTasksRunning(1_000);
        autoscaler.plan(scheduler, TYPES, ZONES, 10_000);
        autoscaler
                .plan(scheduler, TYPES, ZONES, 100_000)
                .moves()
                .forEach(assignment -> scheduler.assignments().stop(assignment, 0));
        assertTrue(scheduler.machines().stream().anyMatch(machine -> machine.isEvictedNext() && machine.schedulable()));
        Job late = service("req-late", 2);
        scheduler.runSchedulingCycle(101_000);
        late.assignments.values().forEach(assignment -> assertFalse(assignment.machine.isEvictedNext()));
        assertEquals(2, late.assignments.size());
    }

    /**
     * A third of all machines were idle: machines were started again and again for tasks that only waited for their
     * team's quota.
     */
    @Test
    void tasksBeyondATeamsQuotaCauseNoScaleOut() {
        Settings limited = new SettingsBuilder().zones(ZONES).team("team", 64).build();
        Scheduler limitedScheduler = new Scheduler(5, limited, 0.3, new WorkerLeases(limited, List.of(), 0, true));
        JobSpec array = new JobSpec(
                "req-1",
                "batch",
                "team",
                false,
                JobSpec.Priority.NORMAL,
                900,
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
                30,
                0,
                0,
                Double.NaN);
        limitedScheduler.addJob(array, 1, 5);
        Autoscaler.Plan plan =
                new Autoscaler(OperatorSettings.defaults(), true).plan(limitedScheduler, TYPES, ZONES, 1_000);
        assertEquals(
                4, plan.scaleOut().stream().mapToInt(Autoscaler.ScaleOut::count).sum(), "64 cores");
        scheduler.addJob(array, 1, 5);
        plan = autoscaler.plan(scheduler, TYPES, ZONES, 1_000);
        assertTrue(plan.scaleOut().stream().mapToInt(Autoscaler.ScaleOut::count).sum() > 4, "without a limit");
    }

    /** A scheduler whose only team may use {@code cores} cores. */
    private static Scheduler withLimit(double cores) {
        Settings limited =
                new SettingsBuilder().zones(ZONES).team("team", cores).build();
        return new Scheduler(5, limited, 0.3, new WorkerLeases(limited, List.of(), 0, true));
    }

    private static Job addService(Scheduler to, String id, int tasks) {
        return to.addJob(
                new JobSpec(
                        id,
                        "web",
                        "team",
                        true,
                        JobSpec.Priority.PRODUCTION,
                        tasks,
                        1,
                        0,
                        1,
                        null,
                        null,
                        false,
                        true,
                        false,
                        "img",
                        1,
                        0,
                        0,
                        0,
                        Double.NaN),
                1,
                5);
    }

    private static Job addArray(Scheduler to, String id, int tasks) {
        return to.addJob(
                new JobSpec(
                        id,
                        "batch",
                        "team",
                        false,
                        JobSpec.Priority.NORMAL,
                        tasks,
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
                        30,
                        0,
                        0,
                        Double.NaN),
                1,
                5);
    }

    private static double requestedCores(Autoscaler.Plan plan) {
        return plan.scaleOut().stream()
                .mapToDouble(request -> request.count() * TYPE.cpus())
                .sum();
    }

    /** Plans until the mean load is known: each second an array of 30 tasks, 1,800 core-seconds, arrives. */
    private static long planUntilArrayLoadIsKnown(Autoscaler autoscaler, Scheduler scheduler) {
        long now = 0;
        for (; now < 200_000; now += 1_000) {
            scheduler.jobs().clear();
            addArray(scheduler, "req-" + now, 30);
            autoscaler.plan(scheduler, TYPES, ZONES, now);
        }
        return now;
    }

    /** Capacity for the mean load was requested far beyond the quotas: twice as much, and a third of it was idle. */
    @Test
    void headroomForFutureArraysStaysWithinTheQuotas() {
        Scheduler limited = withLimit(320);
        Autoscaler autoscaler = new Autoscaler(OperatorSettings.defaults(), true);
        long now = planUntilArrayLoadIsKnown(autoscaler, limited);
        assertTrue(autoscaler.meanArrayLoadCores() > 1_000, "mean load " + autoscaler.meanArrayLoadCores());
        assertEquals(320, requestedCores(autoscaler.plan(limited, TYPES, ZONES, now)), "all of the quota");
        addService(limited, "req-service", 160);
        double requestedCores = requestedCores(autoscaler.plan(limited, TYPES, ZONES, now + 1_000));
        double wholeMachines = ZONES.size() * TYPE.cpus(); // the last one of each zone may exceed the quota
        assertTrue(
                requestedCores >= 320 && requestedCores <= 320 + wholeMachines,
                "services, standby capacity and arrays: " + requestedCores);
        addService(limited, "req-more", 160);
        Autoscaler.Plan plan = autoscaler.plan(limited, TYPES, ZONES, now + 2_000);
        assertEquals(320, requestedCores(plan), "services take all of the quota");
    }

    /** Replicas beyond their team's quota can't start, whatever capacity there is. */
    @Test
    void pendingServicesBeyondTheQuotaCauseNoScaleOut() {
        Scheduler limited = withLimit(320);
        addService(limited, "req-1", 400);
        assertEquals(
                320,
                requestedCores(new Autoscaler(OperatorSettings.defaults(), true).plan(limited, TYPES, ZONES, 1_000)));
    }

    /**
     * A quota of GPUs without one of cores was treated as no limit: although it allowed tasks for only four more GPUs,
     * machines were started for all pending tasks.
     */
    @Test
    void tasksBeyondATeamsGpuQuotaCauseNoScaleOut() {
        MachineType gpuType = new MachineType("g", 16, 4, 64, 50, 1, 1, 0.4, 50, Set.of("a", "b"));
        Settings limited = new SettingsBuilder()
                .zones(ZONES)
                .teams(Map.of("team", new Settings.Team("team", 0, 0, 0, 8)))
                .build();
        Scheduler limitedScheduler = new Scheduler(5, limited, 0.3, new WorkerLeases(limited, List.of(), 0, true));
        limitedScheduler.addJob(
                JobSpecBuilder.array("req-1")
                        .tasks(400)
                        .cpus(2)
                        .gpus(1)
                        .estimateS(300)
                        .build(),
                1,
                5);
        Autoscaler autoscaler = new Autoscaler(OperatorSettings.defaults(), true);
        for (long now = 1_000; now <= 3_000; now += 1_000) {
            // Each plan counts the machines of the previous one: the first is sized by cores, later ones also by GPUs.
            for (Autoscaler.ScaleOut request : autoscaler
                    .plan(limitedScheduler, Map.of("g", gpuType), ZONES, now)
                    .scaleOut()) {
                for (int i = 0; i < request.count(); i++) {
                    limitedScheduler.addMachine(
                            "n-" + machines++, gpuType, request.pool().zone(), true, false, now);
                }
            }
        }
        double gpus = limitedScheduler.machines().size() * gpuType.gpus();
        assertTrue(gpus >= 8, "GPUs for the whole quota: " + gpus);
        assertTrue(gpus <= 8 + ZONES.size() * gpuType.gpus(), "GPUs requested: " + gpus);
    }
}
