package org.hollypick.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Assignment;

/** The capacity that the live jobs need. Jobs that only run on on-demand instances count as services here. */
final class CapacityDemand {
    /** Failures of a job after which its pending tasks need no capacity any more. */
    private static final int MAX_FAILURES = 2;

    /** The share of its expected run time that a running task has left at least. */
    private static final double MIN_REMAINING_SHARE = 0.1;

    private final Scheduler scheduler;
    private final List<String> zones;
    private final long now;
    private final Map<String, Double> serviceCoresByZone = new HashMap<>();
    private final Object2DoubleOpenHashMap<String> serviceCoresByTeam = new Object2DoubleOpenHashMap<>();
    private final Object2DoubleOpenHashMap<String> arrayCoresByTeam = new Object2DoubleOpenHashMap<>();
    private double arrayCoreSeconds;
    private double arrayCores;
    private boolean hasPendingArrays;
    private JobSpec serviceSpec;
    private JobSpec arraySpec;

    private CapacityDemand(Scheduler scheduler, List<String> zones, long now) {
        this.scheduler = scheduler;
        this.zones = zones;
        this.now = now;
    }

    /** Adds up the ready jobs of the scheduler. */
    static CapacityDemand of(Scheduler scheduler, List<String> zones, long now) {
        CapacityDemand demand = new CapacityDemand(scheduler, zones, now);
        for (Job job : scheduler.jobs()) {
            if (job.ready()) {
                demand.add(job);
            }
        }
        return demand;
    }

    private void add(Job job) {
        int pendingTasks = job.failures() > MAX_FAILURES ? 0 : job.pendingTasks.cardinality();
        if (job.spec.service() || !job.spec.spotAllowed()) {
            addService(job, pendingTasks);
        } else {
            addArray(job, pendingTasks);
        }
    }

    private void addService(Job job, int pendingTasks) {
        JobSpec spec = job.spec;
        serviceSpec = spec;
        serviceCoresByTeam.addTo(spec.team(), (pendingTasks + job.assignments.size()) * spec.cpus());
        for (Assignment assignment : job.assignments.values()) {
            serviceCoresByZone.merge(assignment.machine.zone, spec.cpus(), Double::sum);
        }
        zoneShares(job)
                .forEach((zone, share) ->
                        serviceCoresByZone.merge(zone, pendingTasks * spec.cpus() * share, Double::sum));
    }

    private void addArray(Job job, int pendingTasks) {
        String team = job.spec.team();
        if (pendingTasks > 0) {
            job.forEachWaiting((spec, count) -> {
                arrayCoreSeconds += count * spec.cpus() * scheduler.expectedRunS(spec);
                arrayCores += count * spec.cpus();
                arrayCoresByTeam.addTo(team, count * spec.cpus());
            });
        }
        for (Assignment assignment : job.assignments.values()) {
            double expectedS = scheduler.expectedRunS(assignment.spec);
            double elapsedS = assignment.runningAt() > 0 ? (now - assignment.runningAt()) / 1000.0 : 0;
            double remainingS = Math.max(expectedS - elapsedS, expectedS * MIN_REMAINING_SHARE);
            arrayCoreSeconds += assignment.spec.cpus() * remainingS;
            arrayCores += assignment.spec.cpus();
            arrayCoresByTeam.addTo(team, assignment.spec.cpus());
        }
        hasPendingArrays |= pendingTasks > 0;
        if (pendingTasks > 0) {
            arraySpec = job.spec(job.pendingTasks.nextSetBit(0));
        } else if (arraySpec == null && job.tasks() > 0) {
            arraySpec = job.spec(0);
        }
    }

    /** How the pending tasks of a job will spread over the zones: only where they may still go. */
    private Map<String, Double> zoneShares(Job job) {
        JobSpec spec = job.spec;
        Map<String, Double> shares = new HashMap<>();
        double sum = 0;
        for (String zone : zones) {
            if (spec.zone() == null || spec.zone().equals(zone)) {
                double tasks = spec.spreadOverZones() ? Math.max(0, (spec.tasks() + 1) / 2 - job.inZone(zone)) : 1;
                shares.put(zone, tasks);
                sum += tasks;
            }
        }
        double positiveSum = Math.max(sum, 1e-9);
        shares.replaceAll((zone, tasks) -> tasks / positiveSum);
        return shares;
    }

    /** Cores that services need in a zone. */
    double serviceCores(String zone) {
        return serviceCoresByZone.getOrDefault(zone, 0.0);
    }

    /** One of the services, by which machine types are chosen; null if there are none. */
    JobSpec serviceSpec() {
        return serviceSpec;
    }

    /** A task of a job array, if possible a pending one, by which machine types are chosen; null if there is none. */
    JobSpec arraySpec() {
        return arraySpec;
    }

    /** Cores of pending and running tasks of job arrays. */
    double arrayCores() {
        return arrayCores;
    }

    /** Cores that the teams' quotas let services and job arrays use. */
    double usableCores() {
        return scheduler.quotas().usableCores(serviceCoresByTeam, arrayCoresByTeam);
    }

    /**
     * Cores that are missing to have the present work of job arrays done {@code catchUpS} seconds after new machines
     * are up; before that they can't help.
     */
    double missingArrayCores(double supplyCores, double bootS, double catchUpS) {
        return hasPendingArrays ? (arrayCoreSeconds - supplyCores * (bootS + catchUpS)) / catchUpS : 0;
    }
}
