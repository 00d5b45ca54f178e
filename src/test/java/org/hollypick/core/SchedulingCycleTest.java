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

/** Compares a scheduling cycle with a slow reference model that goes task by task and keeps nothing between them. */
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
        // Two rounds, so that the second finds machines in use, jobs that moved and tasks that may be preempted.
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

    private static Heartbeat heartbeat(Machine m, long tick) {
        TaskStatus[] tasks = m.assignments.values().stream()
                .map(p -> new TaskStatus(p.taskId, p.attempt, State.RUNNING, ""))
                .toArray(TaskStatus[]::new);
        return new Heartbeat(m.id, "w:1", m.type.name(), m.zone, m.spot, 1, tick, 5, Double.NaN, List.of(tasks));
    }

    @Test
    void schedulingCycleMakesTheSameDecisionsAsTheReferenceModel() {
        int started = 0;
        for (long seed = 0; seed < 3_000; seed++) {
            Scheduler real = randomScheduler(seed);
            Scheduler plain = randomScheduler(seed);
            real.runSchedulingCycle(9_000);
            // The partitions are the real pass's, or the model would have to repeat them.
            real.machines().forEach(m -> plain.machine(m.id).setInFirstPartition(m.isInFirstPartition()));
            runReferenceCycle(plain, 9_000);
            Map<String, String> where = placements(real);
            assertEquals(placements(plain), where, "seed " + seed);
            started += where.size();
        }
        assertTrue(started > 30_000, "little was placed: " + started);
    }

    /**
     * Of the machines that come free one after the other, how many go to older work of lower rank beside a flood of
     * higher rank.
     */
    private static int machinesGivenToTheLowPriorityJob(int teams) {
        Map<String, Settings.Team> of = new TreeMap<>();
        for (int i = 0; i < teams; i++) {
            of.put("t" + i, new Settings.Team("t" + i, 0, 0, 0, 0));
        }
        Settings settings =
                new SettingsBuilder().zones(List.of("a", "b")).teams(of).build();
        Scheduler s = new Scheduler(5, settings, 0.3, new WorkerLeases(settings, List.of(), 0, true));
        Job lower = s.addJob(arrayWithPriority("req-0", JobSpec.Priority.LOW), 0, 5);
        s.addJob(arrayWithPriority("req-1", JobSpec.Priority.HIGH), 1, 5);
        s.runSchedulingCycle(10);
        for (int i = 0; i < 120; i++) {
            Machine m = s.addMachine("n-" + i, SMALL, "a", false, false, 10);
            m.markRegistered();
            s.heartbeats().applyHeartbeat(m, heartbeat(m, 1), true, 10);
            s.scheduleOn(m, 10);
        }
        return lower.assignments.size() / 8;
    }

    private static JobSpec arrayWithPriority(String id, JobSpec.Priority rank) {
        return new JobSpec(
                id,
                "batch",
                "t0",
                false,
                rank,
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

    /** Strict rank gave a lower class nothing for as long as a flood lasted; with one team nothing may change. */
    @Test
    void olderLowPriorityJobGetsAShareOfFreedMachinesIfThereAreSeveralTeams() {
        assertEquals(0, machinesGivenToTheLowPriorityJob(1));
        assertEquals(120 / SchedulingConstants.ARRIVAL_ORDER_EVERY, machinesGivenToTheLowPriorityJob(2));
    }

    private static Map<String, String> placements(Scheduler s) {
        Map<String, String> where = new TreeMap<>();
        s.machines()
                .forEach(m -> m.assignments
                        .values()
                        .forEach(p -> where.put(p.taskId, m.id + (p.stopRequested() ? " stopped" : ""))));
        return where;
    }

    private static void runReferenceCycle(Scheduler s, long now) {
        Comparator<Job> order = Comparator.<Job, Integer>comparing(
                        j -> j.spec.priority().ordinal())
                .thenComparing(j -> j.arrivalRevision);
        for (boolean second : new boolean[] {true, false}) {
            for (Job job : s.jobs().stream()
                    .filter(j -> j.inSecondPartition() == second)
                    .sorted(order)
                    .toList()) {
                for (int i = 0; i < job.spec.tasks(); i++) {
                    if (job.pendingTasks.get(i)
                            && !(job.spec.service()
                                    ? startServiceTask(s, job, i, now)
                                    : startArrayTask(s, job, i, second, now))) {
                        break;
                    }
                }
            }
        }
    }

    private static List<Machine> allowedMachines(Scheduler s, Job job) {
        if (!s.quotas().withinLimit(job.spec)) {
            return List.of();
        }
        return s.machines().stream()
                .filter(m -> {
                    long inZone = job.assignments.values().stream()
                            .filter(p -> p.machine.zone.equals(m.zone))
                            .count();
                    return m.schedulable()
                            && m.type.fits(job.spec)
                            && (job.spec.zone() == null || job.spec.zone().equals(m.zone))
                            && (!m.spot || job.spec.spotAllowed())
                            && (!job.spec.spreadOverZones() || inZone + 1 <= (job.spec.tasks() + 1) / 2)
                            && (!job.spec.oneZone() || inZone == job.assignments.size());
                })
                .toList();
    }

    private static double fetchSeconds(JobSpec spec, Machine m) {
        long starting = m.liveAssignments().stream()
                .filter(p -> p.state() == State.LAUNCHING || p.state() == State.PULLING_IMAGE)
                .count();
        boolean same = m.liveAssignments().stream()
                .anyMatch(
                        p -> p.state() == State.LAUNCHING && p.job.spec.image().equals(spec.image()));
        return m.images.containsKey(spec.image())
                ? 0
                : spec.imageGb() / m.type.fetchGbPerS() * (same ? 0.6 : 1 + 0.5 * Math.min(4, starting));
    }

    private static boolean startArrayTask(Scheduler s, Job job, int index, boolean second, long now) {
        long idleFirst = s.machines().stream()
                .filter(m -> m.isInFirstPartition() && m.schedulable() && m.idle())
                .count();
        for (boolean own : new boolean[] {true, false}) {
            Machine best = null;
            double bestScore = 0;
            for (Machine m : allowedMachines(s, job)) {
                boolean lent =
                        !second || idleFirst - (m.idle() ? 1 : 0) >= SchedulingConstants.FIRST_PARTITION_FREE_MACHINES;
                if (m.isInFirstPartition() == second == own || !m.hasRoom(job.spec) || (!own && !lent)) {
                    continue;
                }
                double score = -fetchSeconds(job.spec, m) + 2 * m.usedCpus() / m.type.cpus() + (m.spot ? 3 : 0);
                if (best == null || score > bestScore) {
                    best = m;
                    bestScore = score;
                }
            }
            if (best != null) {
                s.assignments().start(job, index, best, now);
                return true;
            }
        }
        return false;
    }

    private static boolean startServiceTask(Scheduler s, Job job, int index, long now) {
        Machine best = null;
        List<Assignment> bestVictims = List.of();
        double bestScore = 0;
        double all = 0;
        for (Machine m : s.machines()) {
            // As of the pass's start: what this pass places itself doesn't count.
            all += m.liveAssignments().stream()
                    .filter(p -> p.job.spec.service() && p.assignedAt < now)
                    .mapToDouble(p -> p.job.spec.cpus())
                    .sum();
        }
        for (Machine m : allowedMachines(s, job)) {
            List<Assignment> lower = new ArrayList<>(m.liveAssignments().stream()
                    .filter(p -> !p.stopRequested()
                            && !(p.state() == State.LAUNCHING && p.launchMayStillExecute())
                            && p.job.spec.priority().ordinal()
                                    > job.spec.priority().ordinal())
                    .toList());
            lower.sort(Comparator.<Assignment, Integer>comparing(
                            p -> -p.job.spec.priority().ordinal())
                    .thenComparing(p -> -p.assignedAt));
            double room = m.type.cpus() - m.usedCpus();
            double lost = 0;
            List<Assignment> victims = new ArrayList<>();
            for (Assignment p : lower) {
                if (room + 1e-6 < job.spec.cpus()) {
                    victims.add(p);
                    room += p.job.spec.cpus();
                    lost += p.state() == State.RUNNING ? (now - p.runningAt()) / 1000.0 * p.job.spec.cpus() : 0;
                }
            }
            if (room + 1e-6 < job.spec.cpus()) {
                continue;
            }
            long mine = m.liveAssignments().stream().filter(p -> p.job == job).count();
            double others = m.liveAssignments().stream()
                    .filter(p -> p.job != job && p.job.spec.service())
                    .mapToDouble(p -> p.job.spec.cpus())
                    .sum();
            double score = -fetchSeconds(job.spec, m)
                    - mine * SchedulingConstants.REPLICA_ANTI_AFFINITY_S
                    - others / Math.max(1, all) * SchedulingConstants.SERVICE_SPREAD_S
                    - lost / SchedulingConstants.PREEMPTED_CORE_S_PER_FETCH_S;
            if (best == null || score > bestScore) {
                best = m;
                bestVictims = victims;
                bestScore = score;
            }
        }
        if (best == null) {
            return false;
        }
        bestVictims.forEach(p -> s.assignments().stop(p, 0));
        s.assignments().start(job, index, best, now);
        return true;
    }
}
