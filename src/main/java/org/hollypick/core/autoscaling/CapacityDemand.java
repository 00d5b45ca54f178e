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
 * The capacity that the live jobs need, as far as the teams' quotas let them run: services first, then job arrays. Jobs
 * that only run on on-demand instances count as services here. Confined to the event loop.
 */
final class CapacityDemand {
    /** Failures of a job after which its pending tasks need no capacity any more. */
    private static final int MAX_FAILURES = 2;

    /** The share of its expected run time that a running task has left at least. */
    private static final double MIN_REMAINING_SHARE = 0.1;

    private final Scheduler scheduler;
    private final List<String> zones;
    private final Set<String> partitionedZones;
    private final long now;
    private final QuotaBudget budget;
    private final Map<String, Double> serviceCoresByZone = new HashMap<>();
    /** The arrays' work that capacity within reach has to do, by team. */
    private final Object2DoubleOpenHashMap<String> arrayCoreSecondsByTeam = new Object2DoubleOpenHashMap<>();
    /** Cores of the arrays' tasks that the quotas allow on capacity within reach, by team. */
    private final Object2DoubleOpenHashMap<String> allowedArrayCoresByTeam = new Object2DoubleOpenHashMap<>();

    private QuotaBudget budgetAfterServices;
    private double arrayCores;
    private boolean hasPendingArrays;
    private JobSpec serviceSpec;
    private JobSpec arraySpec;
    private boolean arraySpecIsAllowed;
    /** The pending tasks of arrays that the quotas allow. */
    private final TaskPacking allowedTasks = new TaskPacking();

    private CapacityDemand(Scheduler scheduler, List<String> zones, Set<String> partitionedZones, long now) {
        this.scheduler = scheduler;
        this.zones = zones;
        this.partitionedZones = partitionedZones;
        this.now = now;
        this.budget = new QuotaBudget(scheduler.quotas());
    }

    /** Adds up the ready jobs of the scheduler. */
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
        return job.consecutiveFailures() > MAX_FAILURES ? 0 : job.pendingTasks.cardinality();
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
     * Replicas that may only go to a partitioned zone need capacity there, and hold none of the quota: they can't start
     * now, and others may use it meanwhile.
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

    /** How the pending replicas spread over the zones where they may still go: for spread jobs, how many may. */
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

    /** The running tasks of a job are added up by what they take, most often the same: there are thousands. */
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
            budget.takeUnconditionally(
                    spec, tasks.unreachable); // they hold their quota there until their leases have expired
            arrayCoreSecondsByTeam.addTo(spec.team(), spec.cpus() * tasks.remainingS);
            addArrayTasks(spec, tasks.reachable);
        }
    }

    /** Running tasks that take the same. */
    private static final class RunningTasks {
        private final JobSpec spec;
        private final double expectedS;
        private int reachable;
        private int unreachable;
        /** Seconds that the reachable tasks have left, added up. */
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

    /** @return how many of them the quota allows */
    private int addArrayTasks(JobSpec spec, int count) {
        arrayCores += count * spec.cpus();
        int allowed = budget.takeAvailable(spec, count);
        allowedArrayCoresByTeam.addTo(spec.team(), allowed * spec.cpus());
        return allowed;
    }

    /** Prefers a pending task that its quota allows to other pending ones, and these to running ones. */
    private void chooseArraySpec(Job job, boolean anyAllowed) {
        if (pendingTasks(job) > 0 && (anyAllowed || !arraySpecIsAllowed)) {
            arraySpec = job.spec(job.pendingTasks.nextSetBit(0));
            arraySpecIsAllowed = anyAllowed;
        } else if (arraySpec == null && job.tasks() > 0) {
            arraySpec = job.spec(0);
        }
    }

    // ---- results ----

    /** Cores that services need in a zone, the pending ones included as far as the quotas allow. */
    double serviceCores(String zone) {
        return serviceCoresByZone.getOrDefault(zone, 0.0);
    }

    /** A service by which machine types are chosen; null if there is none. */
    JobSpec serviceSpec() {
        return serviceSpec;
    }

    /** Cores that the quotas of all teams leave beside the services; infinity if a team has no limit. */
    double quotaCoresAfterServices() {
        return budgetAfterServices.remainingCpus();
    }

    /** A task of a job array, if possible a pending one, by which machine types are chosen; null if there is none. */
    JobSpec arraySpec() {
        return arraySpec;
    }

    /** Cores of pending and running tasks of job arrays. */
    double arrayCores() {
        return arrayCores;
    }

    /** Cores of the job arrays' tasks that the quotas allow on capacity within reach, beside the services. */
    double allowedArrayCores() {
        double cores = 0;
        for (double teamCores : allowedArrayCoresByTeam.values()) {
            cores += teamCores;
        }
        return cores;
    }

    /**
     * The part of the runnable cores that the arrays' tasks can use: where tasks that the quotas allow find no room on
     * any machine, the cores left on each are too few for them.
     */
    double packableArrayCores(double runnableCores, CapacitySupply supply) {
        if (!scheduler.quotas().anyLimited()) {
            return runnableCores;
        }
        double unplaced = allowedTasks.unplacedCores(supply.runnableMachines());
        return unplaced > 0 ? Math.min(runnableCores, allowedArrayCores() - unplaced) : runnableCores;
    }

    /**
     * Cores within reach that job arrays can use: of a team with a limit what its quota allows, of another one as many
     * as have its work done in {@code catchUpS} seconds.
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
     * Cores that are missing to have the present work of job arrays done {@code catchUpS} seconds after new machines
     * are up; before that they can't help. Work that a quota keeps waiting for longer counts only as far as it can be
     * done by then.
     *
     * @param runnableCores cores that can run tasks of job arrays
     */
    double missingArrayCores(double runnableCores, double bootS, double catchUpS) {
        if (!hasPendingArrays) {
            return 0;
        }
        double horizonS = bootS + catchUpS;
        double coreSeconds = 0;
        for (Object2DoubleMap.Entry<String> work : arrayCoreSecondsByTeam.object2DoubleEntrySet()) {
            boolean limited = scheduler.quotas().isLimited(work.getKey());
            double most =
                    limited ? allowedArrayCoresByTeam.getDouble(work.getKey()) * horizonS : Double.POSITIVE_INFINITY;
            coreSeconds += Math.min(work.getDoubleValue(), most);
        }
        return (coreSeconds - runnableCores * horizonS) / catchUpS;
    }

    /** What of the given cores of job arrays, by team, the quotas allow beside the services. */
    double limitToQuotas(Map<String, Double> coresByTeam) {
        double cores = 0;
        for (Map.Entry<String, Double> team : coresByTeam.entrySet()) {
            cores += Math.min(team.getValue(), budgetAfterServices.remainingCpus(team.getKey()));
        }
        return cores;
    }
}
