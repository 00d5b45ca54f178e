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

/** What is rented, returned and emptied; each test is a cause of waiting or waste that was found. */
class AutoscalerTest {
    private static final MachineType TYPE = new MachineType("t", 16, 0, 64, 50, 1, 1, 0.4, 50, Set.of("a", "b"));
    private static final Map<String, MachineType> TYPES = Map.of("t", TYPE);
    private static final List<String> ZONES = List.of("a", "b");

    private static final Settings SETTINGS = new SettingsBuilder().zones(ZONES).build();

    private final Scheduler scheduler = new Scheduler(5, SETTINGS, 0.3, new WorkerLeases(SETTINGS, List.of(), 0, true));
    private final Autoscaler autoscaler = new Autoscaler(OperatorSettings.defaults(), true);
    private int machines;

    private Machine machine(String zone, boolean spot, long now) {
        Machine m = scheduler.addMachine(String.format("n-%03d", machines++), TYPE, zone, spot, false, now);
        m.markRegistered();
        m.images.put("img", now);
        scheduler
                .heartbeats()
                .applyHeartbeat(
                        m, new Heartbeat(m.id, "w:1", "t", zone, spot, 1, 1, 5, Double.NaN, List.of()), true, now);
        return m;
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
                .filter(r -> r.pool().zone().equals(zone) && r.pool().spot() == spot)
                .mapToInt(Autoscaler.ScaleOut::count)
                .sum();
    }

    private void reportAllTasksRunning(long now) {
        for (Machine m : scheduler.machines()) {
            TaskStatus[] tasks = m.assignments.values().stream()
                    .map(p -> new TaskStatus(p.taskId, p.attempt, State.RUNNING, ""))
                    .toArray(TaskStatus[]::new);
            scheduler
                    .heartbeats()
                    .applyHeartbeat(
                            m,
                            new Heartbeat(m.id, "w:1", "t", m.zone, m.spot, 1, now, 5, Double.NaN, List.of(tasks)),
                            true,
                            now);
        }
    }

    /**
     * What waits was split evenly over the zones, though one held its half already: the other stayed short by half of
     * it.
     */
    @Test
    void pendingReplicasOfASpreadServiceCountInTheZonesThatCanStillTakeThem() {
        machine("a", false, 0);
        Job job = service("req-1", 32);
        scheduler.runSchedulingCycle(0);
        assertEquals(16, job.assignments.size());
        Autoscaler.Plan plan = autoscaler.plan(scheduler, TYPES, ZONES, 1_000);
        assertEquals(1, requestedMachines(plan, "a", false), "only room for services to come");
        assertEquals(2, requestedMachines(plan, "b", false), "all sixteen that wait, and room for services to come");
    }

    /** Machines that boot for long counted as room to come, so a zone stayed short for as long as they took. */
    @Test
    void machinesThatBootTooSlowlyDoNotCountAsCapacity() {
        service("req-1", 8);
        scheduler.addMachine("n-a", TYPE, "a", false, false, 0);
        scheduler.addMachine("n-b", TYPE, "b", false, false, 0);
        assertTrue(autoscaler.plan(scheduler, TYPES, ZONES, 1_000).scaleOut().isEmpty());
        assertEquals(1, requestedMachines(autoscaler.plan(scheduler, TYPES, ZONES, 90_000), "a", false));
    }

    /** At equal prices one zone got all of them, and the other had no slack for services. */
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

    /** All that waited at a term's start was taken for the usual load, and far too much was kept. */
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
     * The mean forgets over minutes: after the last job of a day, machines for jobs that no longer came cost a third of
     * it.
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
                autoscaler.plan(scheduler, TYPES, ZONES, now + 8_000).scaleIn().isEmpty(), "a pause");
        autoscaler.submissionsUnavailable(now + 20_000);
        assertTrue(
                autoscaler.plan(scheduler, TYPES, ZONES, now + 30_000).scaleIn().size() < 4, "nobody could submit");
        now += 20_000;
        assertEquals(
                4,
                autoscaler.plan(scheduler, TYPES, ZONES, now + 30_000).scaleIn().size());
        // A single late one brought all that room back, booting machines for nothing.
        array("req-late", 1);
        assertTrue(autoscaler
                .plan(scheduler, TYPES, ZONES, now + 31_000)
                .scaleOut()
                .isEmpty());
    }

    /** Services end one by one: without moves all machines stay, each nearly empty. */
    @Test
    void replicasMoveOffTheEmptiestMachinesAfterTheirMinimumRunTime() {
        for (int i = 0; i < 12; i++) {
            machine(i % 2 == 0 ? "a" : "b", false, 0);
            service("req-" + i, 2);
        }
        scheduler.runSchedulingCycle(0);
        // Spread by hand: one replica a machine and more, as ends leave them.
        reportAllTasksRunning(1_000);
        assertTrue(autoscaler.plan(scheduler, TYPES, ZONES, 10_000).moves().isEmpty(), "they have only just started");
        Autoscaler.Plan plan = autoscaler.plan(scheduler, TYPES, ZONES, 100_000);
        assertFalse(plan.moves().isEmpty());
        plan.moves().forEach(p -> {
            assertTrue(p.machine.isEvicting());
            assertFalse(p.machine.schedulable(), "nothing new goes to a machine that is emptied");
        });
        // Without the image elsewhere a move would cost a fetch.
        scheduler.machines().forEach(m -> m.images.clear());
        assertTrue(autoscaler.plan(scheduler, TYPES, ZONES, 101_000).moves().isEmpty());
    }

    /**
     * Moved replicas went to the emptiest machines, those to be emptied next: most moves were for nothing. Among few
     * machines spread counts more.
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
                .forEach(p -> scheduler.assignments().stop(p, 0));
        assertTrue(scheduler.machines().stream().anyMatch(m -> m.isEvictedNext() && m.schedulable()));
        Job late = service("req-late", 2);
        scheduler.runSchedulingCycle(101_000);
        late.assignments.values().forEach(p -> assertFalse(p.machine.isEvictedNext()));
        assertEquals(2, late.assignments.size());
    }

    /**
     * A third of all machines stood idle: what waited for nothing but its team's limit was rented for, again and again.
     */
    @Test
    void tasksBeyondATeamsQuotaCauseNoScaleOut() {
        Settings limited = new SettingsBuilder().zones(ZONES).team("team", 64).build();
        Scheduler few = new Scheduler(5, limited, 0.3, new WorkerLeases(limited, List.of(), 0, true));
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
        few.addJob(array, 1, 5);
        Autoscaler.Plan plan = new Autoscaler(OperatorSettings.defaults(), true).plan(few, TYPES, ZONES, 1_000);
        assertEquals(
                4, plan.scaleOut().stream().mapToInt(Autoscaler.ScaleOut::count).sum(), "64 cores");
        scheduler.addJob(array, 1, 5);
        plan = autoscaler.plan(scheduler, TYPES, ZONES, 1_000);
        assertTrue(plan.scaleOut().stream().mapToInt(Autoscaler.ScaleOut::count).sum() > 4, "without a limit");
    }

    /** A scheduler whose only team may use that many cores. */
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
                .mapToDouble(r -> r.count() * TYPE.cpus())
                .sum();
    }

    /** Plans until the mean load of arrays is known: one of 30 tasks, 1,800 core-seconds, arrives each second. */
    private static long planUntilArrayLoadIsKnown(Autoscaler autoscaler, Scheduler scheduler) {
        long now = 0;
        for (; now < 200_000; now += 1_000) {
            scheduler.jobs().clear();
            addArray(scheduler, "req-" + now, 30);
            autoscaler.plan(scheduler, TYPES, ZONES, now);
        }
        return now;
    }

    /** Room for the mean load was rented far beyond what the limits let run: twice the limits, a third of it idle. */
    @Test
    void headroomForFutureArraysStaysWithinTheQuotas() {
        Scheduler limited = withLimit(320);
        Autoscaler autoscaler = new Autoscaler(OperatorSettings.defaults(), true);
        long now = planUntilArrayLoadIsKnown(autoscaler, limited);
        assertTrue(autoscaler.meanArrayLoadCores() > 1_000, "mean load " + autoscaler.meanArrayLoadCores());
        assertEquals(320, requestedCores(autoscaler.plan(limited, TYPES, ZONES, now)), "all of the limit");
        addService(limited, "req-service", 160);
        double requestedCores = requestedCores(autoscaler.plan(limited, TYPES, ZONES, now + 1_000));
        double wholeMachines = ZONES.size() * TYPE.cpus(); // the last one of each zone is rented whole
        assertTrue(
                requestedCores >= 320 && requestedCores <= 320 + wholeMachines,
                "services, room for more, and arrays: " + requestedCores);
        addService(limited, "req-more", 160);
        Autoscaler.Plan plan = autoscaler.plan(limited, TYPES, ZONES, now + 2_000);
        assertEquals(320, requestedCores(plan), "services take all of the limit");
    }

    /** What services await beyond their team's limit can't start either. */
    @Test
    void pendingServicesBeyondTheQuotaCauseNoScaleOut() {
        Scheduler limited = withLimit(320);
        addService(limited, "req-1", 400);
        assertEquals(
                320,
                requestedCores(new Autoscaler(OperatorSettings.defaults(), true).plan(limited, TYPES, ZONES, 1_000)));
    }

    /**
     * A quota of GPUs alone counted as no limit: with room for four GPUs' worth of tasks in the quota, machines were
     * rented for all that waited.
     */
    @Test
    void tasksBeyondATeamsGpuQuotaCauseNoScaleOut() {
        MachineType gpuType = new MachineType("g", 16, 4, 64, 50, 1, 1, 0.4, 50, Set.of("a", "b"));
        Settings limited = new SettingsBuilder()
                .zones(ZONES)
                .teams(Map.of("team", new Settings.Team("team", 0, 0, 0, 8)))
                .build();
        Scheduler few = new Scheduler(5, limited, 0.3, new WorkerLeases(limited, List.of(), 0, true));
        few.addJob(
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
            // Each plan counts the machines of the one before: the first goes by cores, the next see the GPUs taken.
            for (Autoscaler.ScaleOut request :
                    autoscaler.plan(few, Map.of("g", gpuType), ZONES, now).scaleOut()) {
                for (int i = 0; i < request.count(); i++) {
                    few.addMachine("n-" + machines++, gpuType, request.pool().zone(), true, false, now);
                }
            }
        }
        double gpus = few.machines().size() * gpuType.gpus();
        assertTrue(gpus >= 8, "room for the quota: " + gpus);
        assertTrue(gpus <= 8 + ZONES.size() * gpuType.gpus(), "GPUs rented: " + gpus);
    }
}
