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

/** Chooses a machine for a task: what is allowed, what is best, and what may be stopped for it. */
public final class MachineSelector {
    private MachineSelector() {}

    /** A machine and the tasks to stop on it first. */
    public record Choice(Machine machine, List<Assignment> victims) {}

    /** Whether the job's tasks may start here, given where its other tasks may be; room is another question. */
    public static boolean allowed(Job job, JobSpec spec, Machine m) {
        if (!m.type.fits(spec) || (spec.zone() != null && !spec.zone().equals(m.zone)) || (m.spot && !spec.spot())) {
            return false;
        }
        if (spec.spread() && job.inZone(m.zone) + 1 > (spec.tasks() + 1) / 2) {
            return false;
        }
        return !spec.oneZone() || job.inZone(m.zone) == job.assignments.size();
    }

    /** Whether the machine gets new tasks at all now. */
    public static boolean takesTasks(Machine m, long now) {
        return m.schedulable() && now >= m.noRoomUntil && !(m.validity.isOnTrial() && m.startingTasks() > 0);
    }

    private static boolean possible(Job job, JobSpec spec, Machine m, long now) {
        return takesTasks(m, now) && !m.failedJobs.contains(job.spec.id()) && allowed(job, spec, m);
    }

    /**
     * Whether a replica could go on at once on another machine of its zone: one with room and its image, and none of
     * its own job.
     */
    public static boolean canMove(Assignment p, Collection<Machine> machines, long now) {
        Object2IntOpenHashMap<Machine> replicas = replicas(p.job);
        for (Machine m : machines) {
            if (m != p.machine
                    && !m.spot
                    && m.zone.equals(p.machine.zone)
                    && takesTasks(m, now)
                    && m.hasRoom(p.job.spec)
                    && m.type.fits(p.job.spec)
                    && m.images.containsKey(p.job.spec.image())
                    && replicas.getInt(m) == 0) {
                return true;
            }
        }
        return false;
    }

    /** The best machine with room for a task of an array, or null; {@code spec}: what that task takes. */
    public static Machine choose(Job job, JobSpec spec, Collection<Machine> machines, long now) {
        Machine best = null;
        double bestScore = 0;
        for (Machine m : machines) {
            if (m.hasRoom(spec) && possible(job, spec, m, now)) {
                double score = arrayScore(spec, m);
                if (best == null || score > bestScore) {
                    best = m;
                    bestScore = score;
                }
            }
        }
        return best;
    }

    /** How many replicas of a service may be on each machine. */
    private static Object2IntOpenHashMap<Machine> replicas(Job job) {
        Object2IntOpenHashMap<Machine> on = new Object2IntOpenHashMap<>();
        job.assignments.values().forEach(p -> on.addTo(p.machine, 1));
        return on;
    }

    /** Higher is better: the image's fetch time first, then the right kind, tight packing. */
    private static double arrayScore(JobSpec spec, Machine m) {
        return -fetchS(spec, m)
                + 2 * m.usedCpus / m.type.cpus()
                + (m.spot ? 3 : 0)
                - (m.surplus ? AutoscalingConstants.SURPLUS_PENALTY_S : 0);
    }

    /**
     * Higher is better: the image's fetch time first, then replicas apart, no machine that will soon be emptied, and
     * none with a large share of all services: what is lost with it counts. Among very many machines no share is large,
     * and services fill one after the other.
     */
    private static double serviceScore(Job job, Machine m, int replicas, double allServices) {
        double share = (m.serviceCpus() - replicas * job.spec.cpus()) / Math.max(1, allServices);
        return -fetchS(job.spec, m)
                - replicas * SchedulingConstants.REPLICA_ANTI_AFFINITY_S
                - share * SchedulingConstants.SERVICE_SPREAD_S
                - (m.evictedNext ? AutoscalingConstants.DRAINED_NEXT_PENALTY_S : 0);
    }

    /** Seconds until the image is there, more if others are being fetched. */
    private static double fetchS(JobSpec spec, Machine m) {
        return m.images.containsKey(spec.image())
                ? 0
                : spec.imageGb() / m.type.fetchGbPerS() * (fetching(m, spec.image()) ? 0.6 : 1 + 0.5 * fetches(m));
    }

    private static boolean fetching(Machine m, String image) {
        if (m.startingTasks() > 0) {
            for (Assignment p : m.assignments.values()) {
                if (p.starting() && p.spec.image().equals(image)) {
                    return true;
                }
            }
        }
        return false;
    }

    private static int fetches(Machine m) {
        return Math.min(m.startingTasks(), 4);
    }

    /**
     * The best machine that has room or gets it by stopping work of lower priority, weighing what is lost; null if
     * there is none.
     */
    public static Choice preempt(Job job, Collection<Machine> machines, double allServices, long now) {
        Machine best = null;
        List<Assignment> bestVictims = List.of();
        double bestScore = 0;
        Object2IntOpenHashMap<Machine> replicas = replicas(job);
        for (Machine m : machines) {
            if (!possible(job, job.spec, m, now)) {
                continue;
            }
            double score = serviceScore(job, m, replicas.getInt(m), allServices);
            if (best != null && score <= bestScore) {
                continue; // what is lost only makes it worse
            }
            List<Assignment> victims = m.hasRoom(job.spec) ? List.of() : victims(job, m);
            if (victims == null) {
                continue;
            }
            double lost = 0;
            for (Assignment p : victims) {
                lost += p.state() == Assignment.State.RUNNING ? p.runtimeS(now) * p.spec.cpus() : 0;
            }
            score -= lost / SchedulingConstants.PREEMPTED_CORE_S_PER_FETCH_S;
            if (best == null || score > bestScore) {
                best = m;
                bestVictims = victims;
                bestScore = score;
            }
        }
        return best == null ? null : new Choice(best, bestVictims);
    }

    private static List<Assignment> victims(Job job, Machine m) {
        List<Assignment> lower = new ArrayList<>();
        for (Assignment p : m.assignments.values()) {
            if (p.mayExist()
                    && !p.stopRequested()
                    && !(p.state() == Assignment.State.LAUNCHING && p.launchMayStillExecute())
                    && p.job.priority().compareTo(job.priority()) > 0) {
                lower.add(p);
            }
        }
        lower.sort(Comparator.comparing((Assignment p) -> p.job.priority())
                .reversed()
                .thenComparingLong(p -> -p.startedAt));
        double cpus = m.type.cpus() - m.usedCpus;
        double gpus = m.type.gpus() - m.usedGpus;
        double memory = m.type.memory() - m.usedMemory;
        List<Assignment> chosen = new ArrayList<>();
        for (Assignment p : lower) {
            if (fits(job.spec, cpus, gpus, memory)) {
                break;
            }
            chosen.add(p);
            cpus += p.spec.cpus();
            gpus += p.spec.gpus();
            memory += p.spec.memory();
        }
        return fits(job.spec, cpus, gpus, memory) ? chosen : null;
    }

    private static boolean fits(JobSpec job, double cpus, double gpus, double memory) {
        double slack = 1e-6;
        return job.cpus() <= cpus + slack && job.gpus() <= gpus + slack && job.memory() <= memory + slack;
    }
}
