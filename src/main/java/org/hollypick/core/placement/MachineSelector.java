package org.hollypick.core.placement;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.config.constants.SchedulingConstants;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Machine;

/**
 * Chooses a machine for a task: checks placement constraints, scores the machines, and selects the tasks to preempt.
 * Times are milliseconds of the event loop's clock. Stateless; reads jobs and machines, so it must be called on the
 * event loop.
 */
public final class MachineSelector {
    /** Score of a fully used machine over an empty one, in seconds of image fetching. */
    private static final double PACKING_BONUS_S = 2;
    /** Score of a spot instance over an on-demand one for job arrays, in seconds of image fetching. */
    private static final double SPOT_BONUS_S = 3;
    /** Average share of the fetch time that remains if the image is already being fetched. */
    private static final double REMAINING_FETCH_SHARE = 0.6;
    /** Share of its own fetch time by which an image is delayed by each other fetch in progress. */
    private static final double CONCURRENT_FETCH_SHARE = 0.5;

    /** Maximum number of concurrent fetches that lengthen the estimate. */
    private static final int MAX_CONCURRENT_FETCHES = 4;

    private MachineSelector() {}

    /** A machine and the tasks to preempt on it before the new one starts. */
    public record Placement(Machine machine, List<Assignment> victims) {}

    /**
     * Whether the job's constraints allow one of its tasks on the machine, given where its other tasks may be: machine
     * type, zone, spot instances, and replicas spread over zones or all in one zone. Ignores free resources.
     */
    public static boolean isAllowed(Job job, JobSpec spec, Machine machine) {
        if (!machine.type.fits(spec)
                || (spec.zone() != null && !spec.zone().equals(machine.zone))
                || (machine.spot && !spec.spotAllowed())) {
            return false;
        }
        if (spec.spreadOverZones() && job.assignedInZone(machine.zone) + 1 > (spec.tasks() + 1) / 2) {
            return false;
        }
        return !spec.oneZone() || job.assignedInZone(machine.zone) == job.assignments.size();
    }

    /**
     * Whether the machine accepts new tasks now. While it is unconfirmed that commands reach the agent, only one task
     * may be starting at a time.
     */
    public static boolean acceptsTasks(Machine machine, long now) {
        return machine.schedulable()
                && !machine.reportedNoRoom(now)
                && !(machine.validity.isDeliveryUnconfirmed() && machine.startingTasks() > 0);
    }

    private static boolean isCandidate(Job job, JobSpec spec, Machine machine, long now) {
        return acceptsTasks(machine, now)
                && !machine.faults.failedJobs.contains(job.spec.id())
                && isAllowed(job, spec, machine);
    }

    /**
     * Whether a replica of a service could start at once on another on-demand machine of its zone: one that has free
     * resources and the image, and no replica of the same job.
     */
    public static boolean canMove(Assignment assignment, Collection<Machine> machines, long now) {
        Object2IntOpenHashMap<Machine> replicas = replicasByMachine(assignment.job);
        for (Machine machine : machines) {
            if (machine != assignment.machine
                    && !machine.spot
                    && machine.zone.equals(assignment.machine.zone)
                    && acceptsTasks(machine, now)
                    && machine.hasRoom(assignment.job.spec)
                    && machine.type.fits(assignment.job.spec)
                    && machine.images.containsKey(assignment.job.spec.image())
                    && replicas.getInt(machine) == 0) {
                return true;
            }
        }
        return false;
    }

    /**
     * The best machine with free resources for a task of a job array.
     *
     * @param spec the task's own specification, which may differ from the job's
     * @return null if there is none
     */
    public static Machine chooseForArray(Job job, JobSpec spec, Collection<Machine> machines, long now) {
        Machine best = null;
        double bestScore = 0;
        for (Machine machine : machines) {
            if (machine.hasRoom(spec) && isCandidate(job, spec, machine, now)) {
                double score = arrayScore(spec, machine);
                if (best == null || score > bestScore) {
                    best = machine;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** The number of a service's replicas that may exist on each machine. */
    private static Object2IntOpenHashMap<Machine> replicasByMachine(Job job) {
        Object2IntOpenHashMap<Machine> replicas = new Object2IntOpenHashMap<>();
        job.assignments.values().forEach(assignment -> replicas.addTo(assignment.machine, 1));
        return replicas;
    }

    /**
     * The score of a machine for a task of a job array, in seconds of image fetching; higher is better. Prefers a short
     * fetch, then spot instances, then well-filled machines, and avoids surplus machines.
     */
    private static double arrayScore(JobSpec spec, Machine machine) {
        return -fetchSeconds(spec, machine)
                + PACKING_BONUS_S * machine.usedCpus() / machine.type.cpus()
                + (machine.spot ? SPOT_BONUS_S : 0)
                - (machine.isSurplus() ? AutoscalingConstants.SURPLUS_MACHINE_PENALTY_S : 0);
    }

    /**
     * The score of a machine for a replica of a service, in seconds of image fetching; higher is better. Prefers a
     * short fetch, and avoids machines with replicas of the same job, machines that are evicted next, and machines with
     * a large share of all services, which would all be lost if the machine failed. With very many machines no share is
     * large, so services fill one machine after the other.
     *
     * @param replicas the number of the job's replicas that may exist on the machine
     */
    private static double serviceScore(Job job, Machine machine, int replicas, double allServiceCpus) {
        double share = (machine.serviceCpus() - replicas * job.spec.cpus()) / Math.max(1, allServiceCpus);
        return -fetchSeconds(job.spec, machine)
                - replicas * SchedulingConstants.REPLICA_ANTI_AFFINITY_PENALTY_S
                - share * SchedulingConstants.SERVICE_CONCENTRATION_PENALTY_S
                - (machine.isEvictedNext() ? AutoscalingConstants.EVICTED_NEXT_PENALTY_S : 0);
    }

    /** Estimated seconds until the machine has the image; other fetches in progress lengthen the estimate. */
    private static double fetchSeconds(JobSpec spec, Machine machine) {
        if (machine.images.containsKey(spec.image())) {
            return 0;
        }
        double aloneSeconds = spec.imageGb() / machine.type.fetchGbPerS();
        return aloneSeconds
                * (isFetching(machine, spec.image())
                        ? REMAINING_FETCH_SHARE
                        : 1 + CONCURRENT_FETCH_SHARE * concurrentFetches(machine));
    }

    private static boolean isFetching(Machine machine, String image) {
        if (machine.startingTasks() > 0) {
            for (Assignment assignment : machine.assignments.values()) {
                if (assignment.starting() && assignment.spec.image().equals(image)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static int concurrentFetches(Machine machine) {
        return Math.min(machine.startingTasks(), MAX_CONCURRENT_FETCHES);
    }

    /**
     * The best machine for a replica of a service, which has free resources or gets them by preempting tasks with a
     * lower priority. The work that would be lost lowers the machine's score.
     *
     * @param allServiceCpus the cores of all services on all machines
     * @return null if there is none
     */
    public static Placement chooseForService(Job job, Collection<Machine> machines, double allServiceCpus, long now) {
        Machine best = null;
        List<Assignment> bestVictims = List.of();
        double bestScore = 0;
        Object2IntOpenHashMap<Machine> replicas = replicasByMachine(job);
        for (Machine machine : machines) {
            if (!isCandidate(job, job.spec, machine, now)) {
                continue;
            }
            double score = serviceScore(job, machine, replicas.getInt(machine), allServiceCpus);
            if (best != null && score <= bestScore) {
                continue; // preemption can only lower the score
            }
            List<Assignment> victims = machine.hasRoom(job.spec) ? List.of() : victims(job, machine);
            if (victims == null) {
                continue;
            }
            score -= lostCoreSeconds(victims, now) / SchedulingConstants.PREEMPTED_CORE_S_PER_FETCH_S;
            if (best == null || score > bestScore) {
                best = machine;
                bestVictims = victims;
                bestScore = score;
            }
        }
        return best == null ? null : new Placement(best, bestVictims);
    }

    /** The core-seconds of work that are lost if these tasks are preempted. */
    private static double lostCoreSeconds(List<Assignment> victims, long now) {
        double lost = 0;
        for (Assignment assignment : victims) {
            lost += assignment.state() == Assignment.State.RUNNING
                    ? assignment.runtimeS(now) * assignment.spec.cpus()
                    : 0;
        }
        return lost;
    }

    /**
     * Selects the tasks to preempt so that a task of the job fits, among those with a lower priority: the lowest
     * priority first, then the latest assigned.
     *
     * @return null if preempting all of them wouldn't free enough resources
     */
    private static List<Assignment> victims(Job job, Machine machine) {
        List<Assignment> lower = new ArrayList<>();
        for (Assignment assignment : machine.assignments.values()) {
            if (assignment.mayExist()
                    && !assignment.stopRequested()
                    && !(assignment.state() == Assignment.State.LAUNCHING && assignment.launchMayStillExecute())
                    && assignment.job.priority().compareTo(job.priority()) > 0) {
                lower.add(assignment);
            }
        }
        lower.sort(Comparator.comparing((Assignment assignment) -> assignment.job.priority())
                .reversed()
                .thenComparingLong(assignment -> -assignment.assignedAt));
        double cpus = machine.type.cpus() - machine.usedCpus();
        double gpus = machine.type.gpus() - machine.usedGpus();
        double memoryGb = machine.type.memoryGb() - machine.usedMemoryGb();
        List<Assignment> chosen = new ArrayList<>();
        for (Assignment assignment : lower) {
            if (fits(job.spec, cpus, gpus, memoryGb)) {
                break;
            }
            chosen.add(assignment);
            cpus += assignment.spec.cpus();
            gpus += assignment.spec.gpus();
            memoryGb += assignment.spec.memoryGb();
        }
        return fits(job.spec, cpus, gpus, memoryGb) ? chosen : null;
    }

    private static boolean fits(JobSpec spec, double cpus, double gpus, double memoryGb) {
        return spec.cpus() <= cpus + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE
                && spec.gpus() <= gpus + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE
                && spec.memoryGb() <= memoryGb + SchedulingConstants.RESOURCE_ROUNDING_TOLERANCE;
    }
}
