package org.hollypick.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Assignment.State;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.assignment.TaskStatus;
import org.junit.jupiter.api.Test;

/** Compares a scheduling cycle with a slow reference model that places each task separately and caches nothing. */
class SchedulingCycleTest {
    private static final MachineType SMALL = new MachineType("s", 8, 0, 64, 50, 1, 1, 0.4, 30, Set.of("a", "b"));
    private static final MachineType LARGE = new MachineType("l", 16, 0, 128, 50, 0.5, 2, 0.9, 30, Set.of("a", "b"));

    private static Scheduler randomScheduler(long seed) {
        Random random = new Random(seed);
        Settings settings = new SettingsBuilder()
                .zones(List.of("a", "b"))
                .team("team", random.nextBoolean() ? 0 : 60)
                .build();
        Scheduler scheduler = new Scheduler(5, settings, 0.3, new WorkerLeases(settings, List.of(), 0, true));
        int machines = 2 + random.nextInt(14);
        for (int i = 0; i < machines; i++) {
            addRandomMachine(scheduler, random, i);
        }
        // Two rounds, so that the second one has machines in use, jobs in the second partition and preemptible tasks.
        for (int round = 0; round < 2; round++) {
            for (int i = 0; i < 3 + random.nextInt(6); i++) {
                JobSpec spec = randomJob(random, "req-" + round + i);
                Job job = scheduler.addJob(spec, round * 100 + i, 5);
                if (!spec.service() && random.nextInt(3) == 0) {
                    job.moveToSecondPartition();
                }
            }
            if (round == 0) {
                scheduler.runSchedulingCycle(10);
                for (Machine machine : scheduler.machines()) {
                    scheduler
                            .heartbeats()
                            .applyHeartbeat(machine, heartbeat(machine, 2), true, 1_000 + random.nextInt(5_000));
                }
            }
        }
        return scheduler;
    }

    private static void addRandomMachine(Scheduler scheduler, Random random, int index) {
        Machine machine = scheduler.addMachine(
                "n-" + index,
                random.nextBoolean() ? SMALL : LARGE,
                random.nextBoolean() ? "a" : "b",
                random.nextBoolean(),
                false,
                0);
        if (random.nextInt(10) > 0) {
            machine.markRegistered();
        }
        scheduler.heartbeats().applyHeartbeat(machine, heartbeat(machine, 1), true, 0);
        for (int image = 0; image < 3; image++) {
            if (random.nextBoolean()) {
                machine.images.put("img-" + image, 0);
            }
        }
    }

    private static JobSpec randomJob(Random random, String id) {
        boolean isService = random.nextInt(3) == 0;
        return new JobSpec(
                id,
                isService ? "web" : "batch",
                "team",
                isService,
                isService
                        ? JobSpec.Priority.PRODUCTION
                        : random.nextBoolean() ? JobSpec.Priority.NORMAL : JobSpec.Priority.LOW,
                1 + random.nextInt(12),
                1 + random.nextInt(3),
                0,
                2,
                null,
                random.nextInt(6) == 0 ? "a" : null,
                !isService && random.nextInt(5) == 0,
                isService,
                !isService,
                "img-" + random.nextInt(3),
                1 + random.nextInt(3),
                10,
                0,
                0,
                Double.NaN);
    }

    private static Heartbeat heartbeat(Machine machine, long sequence) {
        TaskStatus[] tasks = machine.assignments.values().stream()
                .map(assignment -> new TaskStatus(assignment.taskId, assignment.attempt, State.RUNNING, ""))
                .toArray(TaskStatus[]::new);
        return new Heartbeat(
                machine.id,
                "w:1",
                machine.type.name(),
                machine.zone,
                machine.spot,
                1,
                sequence,
                5,
                Double.NaN,
                List.of(tasks));
    }

    @Test
    void schedulingCycleMakesTheSameDecisionsAsTheReferenceModel() {
        int started = 0;
        for (long seed = 0; seed < 3_000; seed++) {
            Scheduler tested = randomScheduler(seed);
            Scheduler reference = randomScheduler(seed);
            tested.runSchedulingCycle(9_000);
            // The model uses the partitions of the real cycle, since it doesn't compute them itself.
            tested.machines()
                    .forEach(
                            machine -> reference.machine(machine.id).setInFirstPartition(machine.isInFirstPartition()));
            runReferenceCycle(reference, 9_000);
            Map<String, String> placements = placements(tested);
            assertEquals(placements(reference), placements, "seed " + seed);
            started += placements.size();
        }
        assertTrue(started > 30_000, "too few tasks were placed for a meaningful comparison: " + started);
    }

    /**
     * Adds 120 machines one after the other and schedules on each of them alone, while a newer job of higher priority
     * has more pending tasks than they can hold. Returns how many of these machines the older job of low priority gets.
     */
    private static int machinesGivenToTheLowPriorityJob(int teams) {
        Map<String, Settings.Team> settingsByTeam = new TreeMap<>();
        for (int i = 0; i < teams; i++) {
            settingsByTeam.put("t" + i, new Settings.Team("t" + i, 0, 0, 0, 0));
        }
        Settings settings = new SettingsBuilder()
                .zones(List.of("a", "b"))
                .teams(settingsByTeam)
                .build();
        Scheduler scheduler = new Scheduler(5, settings, 0.3, new WorkerLeases(settings, List.of(), 0, true));
        Job lowPriorityJob = scheduler.addJob(arrayWithPriority("req-0", JobSpec.Priority.LOW), 0, 5);
        scheduler.addJob(arrayWithPriority("req-1", JobSpec.Priority.HIGH), 1, 5);
        scheduler.runSchedulingCycle(10);
        for (int i = 0; i < 120; i++) {
            Machine machine = scheduler.addMachine("n-" + i, SMALL, "a", false, false, 10);
            machine.markRegistered();
            scheduler.heartbeats().applyHeartbeat(machine, heartbeat(machine, 1), true, 10);
            scheduler.scheduleOn(machine, 10);
        }
        return lowPriorityJob.assignments.size() / 8;
    }

    private static JobSpec arrayWithPriority(String id, JobSpec.Priority priority) {
        return new JobSpec(
                id,
                "batch",
                "t0",
                false,
                priority,
                2_000,
                1,
                0,
                2,
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

    /**
     * Strict priority order starved jobs of lower priority for as long as jobs with higher priority were pending. With
     * a single team the order stays strict.
     */
    @Test
    void olderLowPriorityJobGetsAShareOfFreedMachinesIfThereAreSeveralTeams() {
        assertEquals(0, machinesGivenToTheLowPriorityJob(1));
        assertEquals(120 / SchedulingConstants.ARRIVAL_ORDER_MACHINE_INTERVAL, machinesGivenToTheLowPriorityJob(2));
    }

    private static Map<String, String> placements(Scheduler scheduler) {
        Map<String, String> placements = new TreeMap<>();
        scheduler
                .machines()
                .forEach(machine -> machine.assignments
                        .values()
                        .forEach(assignment -> placements.put(
                                assignment.taskId, machine.id + (assignment.stopRequested() ? " stopped" : ""))));
        return placements;
    }

    private static void runReferenceCycle(Scheduler scheduler, long now) {
        Comparator<Job> order = Comparator.<Job, Integer>comparing(
                        job -> job.spec.priority().ordinal())
                .thenComparing(job -> job.arrivalRevision);
        for (boolean secondPartition : new boolean[] {true, false}) {
            for (Job job : scheduler.jobs().stream()
                    .filter(job -> job.inSecondPartition() == secondPartition)
                    .sorted(order)
                    .toList()) {
                for (int i = 0; i < job.spec.tasks(); i++) {
                    if (job.pendingTasks.get(i)
                            && !(job.spec.service()
                                    ? startServiceTask(scheduler, job, i, now)
                                    : startArrayTask(scheduler, job, i, secondPartition, now))) {
                        break;
                    }
                }
            }
        }
    }

    private static List<Machine> allowedMachines(Scheduler scheduler, Job job) {
        if (!scheduler.quotas().withinLimit(job.spec)) {
            return List.of();
        }
        return scheduler.machines().stream()
                .filter(machine -> {
                    long inZone = job.assignments.values().stream()
                            .filter(assignment -> assignment.machine.zone.equals(machine.zone))
                            .count();
                    return machine.schedulable()
                            && machine.type.fits(job.spec)
                            && (job.spec.zone() == null || job.spec.zone().equals(machine.zone))
                            && (!machine.spot || job.spec.spotAllowed())
                            && (!job.spec.spreadOverZones() || inZone + 1 <= (job.spec.tasks() + 1) / 2)
                            && (!job.spec.oneZone() || inZone == job.assignments.size());
                })
                .toList();
    }

    private static double fetchSeconds(JobSpec spec, Machine machine) {
        long starting = machine.liveAssignments().stream()
                .filter(assignment ->
                        assignment.state() == State.LAUNCHING || assignment.state() == State.PULLING_IMAGE)
                .count();
        boolean alreadyFetching = machine.liveAssignments().stream()
                .anyMatch(assignment -> assignment.state() == State.LAUNCHING
                        && assignment.job.spec.image().equals(spec.image()));
        return machine.images.containsKey(spec.image())
                ? 0
                : spec.imageGb()
                        / machine.type.fetchGbPerS()
                        * (alreadyFetching ? 0.6 : 1 + 0.5 * Math.min(4, starting));
    }

    private static boolean startArrayTask(Scheduler scheduler, Job job, int index, boolean secondPartition, long now) {
        long idleMachinesInFirst = scheduler.machines().stream()
                .filter(machine -> machine.isInFirstPartition() && machine.schedulable() && machine.idle())
                .count();
        for (boolean ownPartition : new boolean[] {true, false}) {
            Machine best = null;
            double bestScore = 0;
            for (Machine machine : allowedMachines(scheduler, job)) {
                boolean lendable = !secondPartition
                        || idleMachinesInFirst - (machine.idle() ? 1 : 0)
                                >= SchedulingConstants.MIN_IDLE_FIRST_PARTITION_MACHINES;
                if (machine.isInFirstPartition() == secondPartition == ownPartition
                        || !machine.hasRoom(job.spec)
                        || (!ownPartition && !lendable)) {
                    continue;
                }
                double score = -fetchSeconds(job.spec, machine)
                        + 2 * machine.usedCpus() / machine.type.cpus()
                        + (machine.spot ? 3 : 0);
                if (best == null || score > bestScore) {
                    best = machine;
                    bestScore = score;
                }
            }
            if (best != null) {
                scheduler.assignments().start(job, index, best, now);
                return true;
            }
        }
        return false;
    }

    private static boolean startServiceTask(Scheduler scheduler, Job job, int index, long now) {
        Machine best = null;
        List<Assignment> bestVictims = List.of();
        double bestScore = 0;
        double serviceCpus = 0;
        for (Machine machine : scheduler.machines()) {
            // As of the start of the cycle: services placed by the cycle itself don't count.
            serviceCpus += machine.liveAssignments().stream()
                    .filter(assignment -> assignment.job.spec.service() && assignment.assignedAt < now)
                    .mapToDouble(assignment -> assignment.job.spec.cpus())
                    .sum();
        }
        for (Machine machine : allowedMachines(scheduler, job)) {
            List<Assignment> candidates = new ArrayList<>(machine.liveAssignments().stream()
                    .filter(assignment -> !assignment.stopRequested()
                            && !(assignment.state() == State.LAUNCHING && assignment.launchMayStillExecute())
                            && assignment.job.spec.priority().ordinal()
                                    > job.spec.priority().ordinal())
                    .toList());
            candidates.sort(Comparator.<Assignment, Integer>comparing(
                            assignment -> -assignment.job.spec.priority().ordinal())
                    .thenComparing(assignment -> -assignment.assignedAt));
            double freeCpus = machine.type.cpus() - machine.usedCpus();
            double lostCoreSeconds = 0;
            List<Assignment> victims = new ArrayList<>();
            for (Assignment assignment : candidates) {
                if (freeCpus + 1e-6 < job.spec.cpus()) {
                    victims.add(assignment);
                    freeCpus += assignment.job.spec.cpus();
                    lostCoreSeconds += assignment.state() == State.RUNNING
                            ? (now - assignment.runningAt()) / 1000.0 * assignment.job.spec.cpus()
                            : 0;
                }
            }
            if (freeCpus + 1e-6 < job.spec.cpus()) {
                continue;
            }
            long replicas = machine.liveAssignments().stream()
                    .filter(assignment -> assignment.job == job)
                    .count();
            double otherServiceCpus = machine.liveAssignments().stream()
                    .filter(assignment -> assignment.job != job && assignment.job.spec.service())
                    .mapToDouble(assignment -> assignment.job.spec.cpus())
                    .sum();
            double score = -fetchSeconds(job.spec, machine)
                    - replicas * SchedulingConstants.REPLICA_ANTI_AFFINITY_PENALTY_S
                    - otherServiceCpus / Math.max(1, serviceCpus) * SchedulingConstants.SERVICE_CONCENTRATION_PENALTY_S
                    - lostCoreSeconds / SchedulingConstants.PREEMPTED_CORE_S_PER_FETCH_S;
            if (best == null || score > bestScore) {
                best = machine;
                bestVictims = victims;
                bestScore = score;
            }
        }
        if (best == null) {
            return false;
        }
        bestVictims.forEach(assignment -> scheduler.assignments().stop(assignment, 0));
        scheduler.assignments().start(job, index, best, now);
        return true;
    }
}
