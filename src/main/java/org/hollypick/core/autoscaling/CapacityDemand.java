package org.hollypick.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.core.Job;
import org.hollypick.core.JobSpec;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Assignment;

/**
 * The capacity that ready jobs need within the teams' quotas, which services take before job arrays. Jobs that only run
 * on on-demand instances count as services here. Confined to the event loop.
 */
final class CapacityDemand {
    /** Failures of a job in a row beyond which its pending tasks no longer count as demand. */
    private static final int MAX_CONSECUTIVE_FAILURES = 2;

    /** Lower bound of a running task's remaining time, as a share of its expected run time. */
    private static final double MIN_REMAINING_SHARE = 0.1;

    private final Scheduler scheduler;
    private final List<String> zones;
    private final Set<String> partitionedZones;
    private final long now;
    private final QuotaBudget budget;
    private final Map<String, Double> serviceCoresByZone = new HashMap<>();
    /** Work of the pending and reachable running tasks of job arrays, by team. */
    private final Object2DoubleOpenHashMap<String> arrayCoreSecondsByTeam = new Object2DoubleOpenHashMap<>();
    /** Cores of the pending and reachable running tasks of job arrays that the quotas allow, by team. */
    private final Object2DoubleOpenHashMap<String> allowedArrayCoresByTeam = new Object2DoubleOpenHashMap<>();

    private QuotaBudget budgetAfterServices;
    private double arrayCores;
    private boolean hasPendingArrays;
    private JobSpec serviceSpec;
    private JobSpec arraySpec;
    private boolean arraySpecIsAllowed;
    /** The pending tasks of job arrays that the quotas allow. */
    private final TaskPacking allowedTasks = new TaskPacking();

    private CapacityDemand(Scheduler scheduler, List<String> zones, Set<String> partitionedZones, long now) {
        this.scheduler = scheduler;
        this.zones = zones;
        this.partitionedZones = partitionedZones;
        this.now = now;
        this.budget = new QuotaBudget(scheduler.quotas());
    }

    /** Adds up the demand of the scheduler's ready jobs. */
    static CapacityDemand of(Scheduler scheduler, List<String> zones, Set<String> partitionedZones, long now) {
        CapacityDemand demand = new CapacityDemand(scheduler, zones, partitionedZones, now);
        List<Job> services = new ArrayList<>();
        List<Job> arrays = new ArrayList<>();
        for (Job job : scheduler.jobs()) {
            if (job.ready()) {
                (job.spec.service() || !job.spec.spotAllowed() ? services : arrays).add(job);
            }
        }
        services.forEach(demand::addRunningReplicas);
        services.forEach(demand::addPendingReplicas);
        demand.budgetAfterServices = demand.budget.copy();
        arrays.forEach(demand::addRunningTasks);
        arrays.forEach(demand::addPendingTasks);
        return demand;
    }

    private static int pendingTasks(Job job) {
        return job.consecutiveFailures() > MAX_CONSECUTIVE_FAILURES ? 0 : job.pendingTasks.cardinality();
    }

    // ---- services ----

    private void addRunningReplicas(Job job) {
        serviceSpec = job.spec;
        budget.takeUnconditionally(job.spec, job.assignments.size());
        for (Assignment assignment : job.assignments.values()) {
            serviceCoresByZone.merge(assignment.machine.zone, job.spec.cpus(), Double::sum);
        }
    }

    /**
     * Adds the pending replicas of a service. Those that only partitioned zones can take count as demand there but take
     * no quota: they can't start now, and other tasks may use the quota meanwhile.
     */
    private void addPendingReplicas(Job job) {
        int pending = pendingTasks(job);
        Map<String, Double> weights = zoneWeights(job);
        double reachableWeight = sumWeights(weights, true);
        boolean limitedByZone = job.spec.spreadOverZones() || reachableWeight <= 0;
        int startable = limitedByZone ? (int) Math.min(pending, reachableWeight) : pending;
        addPending(job.spec, weights, true, reachableWeight, budget.takeAvailable(job.spec, startable));
        addPending(job.spec, weights, false, sumWeights(weights, false), pending - startable);
    }

    private void addPending(
            JobSpec spec, Map<String, Double> weights, boolean reachable, double weightSum, int replicas) {
        if (weightSum <= 0) {
            return;
        }
        weights.forEach((zone, weight) -> {
            if (isReachable(zone) == reachable) {
                serviceCoresByZone.merge(zone, replicas * spec.cpus() * (weight / weightSum), Double::sum);
            }
        });
    }

    /**
     * The weight of each allowed zone in the distribution of pending replicas: for jobs that spread over zones the
     * number of replicas that the zone can still take, otherwise 1.
     */
    private Map<String, Double> zoneWeights(Job job) {
        JobSpec spec = job.spec;
        Map<String, Double> weights = new HashMap<>();
        for (String zone : zones) {
            if (spec.zone() == null || spec.zone().equals(zone)) {
                weights.put(
                        zone,
                        spec.spreadOverZones()
                                ? Math.max(0.0, (spec.tasks() + 1) / 2 - job.assignedInZone(zone))
                                : 1.0);
            }
        }
        return weights;
    }

    private double sumWeights(Map<String, Double> weights, boolean reachable) {
        double sum = 0;
        for (Map.Entry<String, Double> weight : weights.entrySet()) {
            sum += isReachable(weight.getKey()) == reachable ? weight.getValue() : 0;
        }
        return sum;
    }

    private boolean isReachable(String zone) {
        return !partitionedZones.contains(zone);
    }

    // ---- job arrays ----

    /** Adds running tasks in groups with the same description: a job may have thousands, most of them alike. */
    private void addRunningTasks(Job job) {
        RunningTasks tasks = null;
        for (Assignment assignment : job.assignments.values()) {
            if (tasks == null || tasks.spec != assignment.spec) {
                addRunningTasks(tasks);
                tasks = new RunningTasks(assignment.spec, scheduler.expectedRunS(assignment.spec));
            }
            tasks.add(assignment, isReachable(assignment.machine.zone), now);
        }
        addRunningTasks(tasks);
    }

    private void addRunningTasks(RunningTasks tasks) {
        if (tasks != null) {
            JobSpec spec = tasks.spec;
            arrayCores += tasks.unreachable * spec.cpus();
            budget.takeUnconditionally(spec, tasks.unreachable); // they hold quota until their leases expire
            arrayCoreSecondsByTeam.addTo(spec.team(), spec.cpus() * tasks.remainingS);
            addArrayTasks(spec, tasks.reachable);
        }
    }

    /** Running tasks of a job with the same description. */
    private static final class RunningTasks {
        private final JobSpec spec;
        private final double expectedS;
        private int reachable;
        private int unreachable;
        /** Sum of the expected remaining seconds of the reachable tasks. */
        private double remainingS;

        RunningTasks(JobSpec spec, double expectedS) {
            this.spec = spec;
            this.expectedS = expectedS;
        }

        void add(Assignment assignment, boolean isReachable, long now) {
            if (isReachable) {
                double elapsedS = assignment.runningAt() > 0 ? (now - assignment.runningAt()) / 1000.0 : 0;
                remainingS += Math.max(expectedS - elapsedS, expectedS * MIN_REMAINING_SHARE);
                reachable++;
            } else {
                unreachable++;
            }
        }
    }

    private void addPendingTasks(Job job) {
        boolean anyAllowed = false;
        if (pendingTasks(job) > 0) {
            hasPendingArrays = true;
            double allowedBefore = allowedArrayCoresByTeam.getDouble(job.spec.team());
            job.forEachPendingSpec(this::addPendingTasks);
            anyAllowed = allowedArrayCoresByTeam.getDouble(job.spec.team()) > allowedBefore;
        }
        chooseArraySpec(job, anyAllowed);
    }

    private void addPendingTasks(JobSpec spec, int count) {
        arrayCoreSecondsByTeam.addTo(spec.team(), count * spec.cpus() * scheduler.expectedRunS(spec));
        allowedTasks.add(spec, addArrayTasks(spec, count));
    }

    /** @return the number of tasks that the quota allows */
    private int addArrayTasks(JobSpec spec, int count) {
        arrayCores += count * spec.cpus();
        int allowed = budget.takeAvailable(spec, count);
        allowedArrayCoresByTeam.addTo(spec.team(), allowed * spec.cpus());
        return allowed;
    }

    /** Prefers a pending task that its quota allows, then any other pending task, then the first task of any job. */
    private void chooseArraySpec(Job job, boolean anyAllowed) {
        if (pendingTasks(job) > 0 && (anyAllowed || !arraySpecIsAllowed)) {
            arraySpec = job.spec(job.pendingTasks.nextSetBit(0));
            arraySpecIsAllowed = anyAllowed;
        } else if (arraySpec == null && job.tasks() > 0) {
            arraySpec = job.spec(0);
        }
    }

    // ---- results ----

    /** Cores that services need in a zone, including pending replicas as far as the quotas allow them. */
    double serviceCores(String zone) {
        return serviceCoresByZone.getOrDefault(zone, 0.0);
    }

    /** A service for which to choose machine types; null if there is none. */
    JobSpec serviceSpec() {
        return serviceSpec;
    }

    /** Cores left of the quotas of all teams after the services; infinity if a team has no limit. */
    double quotaCoresAfterServices() {
        return budgetAfterServices.remainingCpus();
    }

    /** A task of a job array for which to choose machine types, if possible a pending one; null if there is none. */
    JobSpec arraySpec() {
        return arraySpec;
    }

    /** Cores of pending and running tasks of job arrays. */
    double arrayCores() {
        return arrayCores;
    }

    /** Cores of pending and reachable running tasks of job arrays that the quotas allow after the services. */
    double allowedArrayCores() {
        double cores = 0;
        for (double teamCores : allowedArrayCoresByTeam.values()) {
            cores += teamCores;
        }
        return cores;
    }

    /**
     * The part of the runnable cores that job arrays can use. If tasks that the quotas allow fit on no machine, the
     * remaining free cores are too fragmented for them and don't count.
     */
    double packableArrayCores(double runnableCores, CapacitySupply supply) {
        if (!scheduler.quotas().anyLimited()) {
            return runnableCores;
        }
        double unplaced = allowedTasks.unplacedCores(supply.runnableMachines());
        return unplaced > 0 ? Math.min(runnableCores, allowedArrayCores() - unplaced) : runnableCores;
    }

    /**
     * Cores of reachable machines that job arrays can use: for a team with a limit what its quota allows, for any other
     * team as many as complete its work within {@code catchUpS} seconds.
     */
    double usableArrayCores(double catchUpS) {
        double cores = 0;
        for (String team : allowedArrayCoresByTeam.keySet()) {
            cores += scheduler.quotas().isLimited(team)
                    ? allowedArrayCoresByTeam.getDouble(team)
                    : arrayCoreSecondsByTeam.getDouble(team) / catchUpS;
        }
        return cores;
    }

    /**
     * Cores that have to be added to complete the current work of job arrays {@code catchUpS} seconds after the new
     * machines have booted; until then these contribute nothing. Work that a quota delays for longer counts only as far
     * as it can be completed by then.
     *
     * @param runnableCores existing cores that can run tasks of job arrays
     * @param bootS boot time of new machines in seconds
     */
    double missingArrayCores(double runnableCores, double bootS, double catchUpS) {
        if (!hasPendingArrays) {
            return 0;
        }
        double horizonS = bootS + catchUpS;
        double coreSeconds = 0;
        for (Object2DoubleMap.Entry<String> work : arrayCoreSecondsByTeam.object2DoubleEntrySet()) {
            boolean limited = scheduler.quotas().isLimited(work.getKey());
            double maxCoreSeconds =
                    limited ? allowedArrayCoresByTeam.getDouble(work.getKey()) * horizonS : Double.POSITIVE_INFINITY;
            coreSeconds += Math.min(work.getDoubleValue(), maxCoreSeconds);
        }
        return (coreSeconds - runnableCores * horizonS) / catchUpS;
    }

    /** The sum of cores for job arrays, each team's limited to what its quota leaves after the services. */
    double limitToQuotas(Map<String, Double> coresByTeam) {
        double cores = 0;
        for (Map.Entry<String, Double> team : coresByTeam.entrySet()) {
            cores += Math.min(team.getValue(), budgetAfterServices.remainingCpus(team.getKey()));
        }
        return cores;
    }
}
