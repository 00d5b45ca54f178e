package org.hollypick.core.autoscaling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Machine;

/**
 * Plans scale out and scale in. On-demand machines are kept per zone for services, with some standby capacity; job
 * arrays run on spot machines, and on on-demand ones while the cloud refuses spot machines. Confined to the event loop.
 */
public final class Autoscaler {
    /** A machine type that the cloud offers in a zone, as spot or on-demand instances. */
    public record CapacityPool(String type, String zone, boolean spot) {}

    /** A request to start {@code count} machines of one pool. */
    public record ScaleOut(CapacityPool pool, int count) {}

    /**
     * The actions that the leader should take now.
     *
     * @param scaleOut the machines to start
     * @param scaleIn the machines to terminate
     * @param moves the replicas to stop, so that they start again on another machine
     * @param decision the figures on which the scale-out is based
     */
    public record Plan(
            List<ScaleOut> scaleOut, List<Machine> scaleIn, List<Assignment> moves, ScaleOutDecision decision) {}

    private final OperatorSettings operator;
    private final LoadEstimate load;
    private final InstanceSelector instanceSelector = new InstanceSelector();
    private final ScaleInPlanner scaleInPlanner;

    /**
     * Creates the autoscaler of a leader term.
     *
     * @param firstTerm whether there was no leader before: then the burst of first submissions isn't counted as load
     */
    public Autoscaler(OperatorSettings operator, boolean firstTerm) {
        this.operator = operator;
        this.load = new LoadEstimate(firstTerm ? AutoscalingConstants.FIRST_TERM_WARM_UP_MS : 0);
        this.scaleInPlanner = new ScaleInPlanner(operator);
    }

    /** Records that users can't submit jobs now, so that missing arrivals don't count as a lower load. */
    public void submissionsUnavailable(long now) {
        load.submissionsUnavailable(now);
    }

    /** Stops requests from the pool for a while, since the cloud had too few machines of it. */
    public void recordRefusal(CapacityPool pool, long now) {
        instanceSelector.recordRefusal(pool, now);
    }

    /** Mean number of cores that arriving job arrays keep busy. */
    public double meanArrayLoadCores() {
        return load.meanArrayCores();
    }

    /** Plans scale out and scale in while all zones are reachable. */
    public Plan plan(Scheduler scheduler, Map<String, MachineType> types, List<String> zones, long now) {
        return plan(scheduler, types, zones, Set.of(), now);
    }

    /**
     * Plans scale out and scale in.
     *
     * @param types the machine types that the cloud offers, by name
     * @param partitionedZones zones that can't be reached: their machines count as capacity, since most will recover,
     *     but none are started there
     */
    public Plan plan(
            Scheduler scheduler,
            Map<String, MachineType> types,
            List<String> zones,
            Set<String> partitionedZones,
            long now) {
        CapacityDemand demand = CapacityDemand.of(scheduler, zones, partitionedZones, now);
        load.update(scheduler, now);
        instanceSelector.startPlan(types, now);
        CapacitySupply supply = CapacitySupply.of(
                scheduler.machines(),
                partitionedZones,
                now,
                machine -> instanceSelector.addMachines(
                        new CapacityPool(machine.type.name(), machine.zone, machine.spot), 1));
        double supplyCores = supply.cores();
        double runnableCores = supply.runnableCores();
        List<ScaleOut> scaleOut = new ArrayList<>();
        ServiceCapacity services = planServices(demand, supply, zones, partitionedZones, scaleOut);
        ArrayCapacity arrays = arrayCapacity(demand, supply, services);
        if (demand.arraySpec() != null) {
            List<String> reachableZones = zones.stream()
                    .filter(zone -> !partitionedZones.contains(zone))
                    .toList();
            scaleOut.addAll(scaleOutForArrays(demand, supply, reachableZones, arrays));
        }
        ScaleOutDecision decision = new ScaleOutDecision(
                services.neededCores,
                demand.arrayCores(),
                arrays.usableCores(),
                arrays.reservedCores(),
                supplyCores,
                runnableCores,
                instanceSelector.requestedCores(scaleOut));
        return scaleIn(scheduler, demand, services, arrays, scaleOut, decision, now);
    }

    /** On-demand capacity that services need, and what they leave to job arrays. */
    private static final class ServiceCapacity {
        /** Cores that services need in all zones, including their standby capacity. */
        private double neededCores;
        /** Cores of runnable on-demand machines that services don't need. */
        private double runnableSpareCores;
        /** Cores that the teams' quotas leave after the services and their standby capacity. */
        private double quotaCores;
        /** On-demand cores that services don't need, by zone; negative where services need more. */
        private final Map<String, Double> spareCoresByZone = new HashMap<>();
    }

    /**
     * The capacity of job arrays.
     *
     * @param supplyCores cores of all machines that count as capacity, less those that services need
     * @param runnableCores the part of them that can run tasks
     * @param usableCores cores that job arrays can use within the teams' quotas
     * @param reservedCores cores to reserve for the mean load, within the teams' quotas
     */
    private record ArrayCapacity(double supplyCores, double runnableCores, double usableCores, double reservedCores) {}

    /** Requests the on-demand machines that services need, zone by zone. */
    private ServiceCapacity planServices(
            CapacityDemand demand,
            CapacitySupply supply,
            List<String> zones,
            Set<String> partitionedZones,
            List<ScaleOut> scaleOut) {
        ServiceCapacity services = new ServiceCapacity();
        services.quotaCores = demand.quotaCoresAfterServices();
        for (String zone : zones) {
            boolean reachable = !partitionedZones.contains(zone);
            double standbyCores = Math.min(standbyCores(demand, zone, zones.size()), services.quotaCores);
            double zoneNeededCores = demand.serviceCores(zone) + standbyCores;
            double missingCores = zoneNeededCores - supply.onDemandCores(zone);
            services.neededCores += zoneNeededCores;
            services.spareCoresByZone.put(zone, -missingCores);
            if (reachable) {
                services.quotaCores -= standbyCores;
                if (missingCores > 0 && demand.serviceSpec() != null) {
                    scaleOut.addAll(instanceSelector
                            .select(demand.serviceSpec(), List.of(zone), false, missingCores)
                            .requests());
                    supply.addOnDemand(zone, missingCores, true);
                }
                services.runnableSpareCores += Math.max(0, supply.runnableOnDemandCores(zone) - zoneNeededCores);
            }
        }
        return services;
    }

    /**
     * Computes the capacity of job arrays. Unreachable machines may recover, so they count towards the cores reserved
     * for the mean load. But no task can start on them now, so the quotas only limit the capacity that can run tasks:
     * unreachable machines don't take up any of that limit.
     */
    private ArrayCapacity arrayCapacity(CapacityDemand demand, CapacitySupply supply, ServiceCapacity services) {
        double reservedCores =
                demand.limitToQuotas(load.reservedArrayCoresByTeam(AutoscalingConstants.ARRAY_CAPACITY_HEADROOM_RATIO));
        return new ArrayCapacity(
                supply.spotCores() + Math.max(0, supply.onDemandCores() - services.neededCores),
                supply.runnableSpotCores() + services.runnableSpareCores,
                Math.min(
                        demand.usableArrayCores(AutoscalingConstants.BACKLOG_COMPLETION_TARGET_S), services.quotaCores),
                Math.min(reservedCores, services.quotaCores));
    }

    /** Cores to keep free in a zone for future services. */
    private double standbyCores(CapacityDemand demand, String zone, int zones) {
        if (demand.serviceSpec() == null) {
            return 0;
        }
        double arrivingCores = load.arrivingServiceCoresPerSecond() * AutoscalingConstants.STANDBY_ARRIVALS_S / zones;
        double shareOfServices = demand.serviceCores(zone) * AutoscalingConstants.STANDBY_SERVICE_SHARE;
        return Math.max(operator.standbyCores(), Math.max(arrivingCores, shareOfServices));
    }

    private List<ScaleOut> scaleOutForArrays(
            CapacityDemand demand, CapacitySupply supply, List<String> zones, ArrayCapacity arrays) {
        JobSpec spec = demand.arraySpec();
        double bootS = instanceSelector.minBootS();
        double packableCores = demand.packableArrayCores(arrays.runnableCores(), supply);
        // Tasks beyond their team's quota need no machines, however long they are pending.
        double allowedCores = arrays.usableCores() - packableCores;
        double missingCores =
                demand.missingArrayCores(packableCores, bootS, AutoscalingConstants.BACKLOG_COMPLETION_TARGET_S);
        double spotCores =
                Math.max(arrays.reservedCores() - arrays.supplyCores(), Math.min(allowedCores, missingCores));
        InstanceSelector.Selection spot = instanceSelector.select(spec, zones, true, spotCores);
        if (spot.hasCapacity()) {
            return spot.requests();
        }
        double missingOnDemandCores = demand.missingArrayCores(
                packableCores, bootS, AutoscalingConstants.ON_DEMAND_BACKLOG_COMPLETION_TARGET_S);
        double onDemandCores = Math.min(
                missingOnDemandCores, Math.min(allowedCores, maxOnDemandArrayCores() - arrays.runnableCores()));
        List<ScaleOut> requests = new ArrayList<>(spot.requests());
        requests.addAll(
                instanceSelector.select(spec, zones, false, onDemandCores).requests());
        return requests;
    }

    private Plan scaleIn(
            Scheduler scheduler,
            CapacityDemand demand,
            ServiceCapacity services,
            ArrayCapacity arrays,
            List<ScaleOut> scaleOut,
            ScaleOutDecision decision,
            long now) {
        Collection<Machine> machines = scheduler.machines();
        double neededCores = Math.max(
                arrays.reservedCores(), demand.allowedArrayCores() * AutoscalingConstants.SURPLUS_THRESHOLD_RATIO);
        double surplusCores = Math.min(arrays.supplyCores(), arrays.runnableCores()) - neededCores;
        double remainingSurplusCores = ScaleInPlanner.markSurplus(machines, services.spareCoresByZone, surplusCores);
        List<Assignment> moves = scheduler.reconciliationComplete()
                ? ReplicaMover.plan(machines, services.spareCoresByZone, remainingSurplusCores, now)
                : List.of();
        List<Machine> terminated = scaleInPlanner.machinesToTerminate(
                machines, services.spareCoresByZone, arrays.supplyCores() - arrays.reservedCores(), now);
        return new Plan(scaleOut, terminated, moves, decision);
    }

    /**
     * Cores up to which on-demand machines are started for job arrays. Spot machines catch up on the remaining work
     * soon enough once the cloud offers them again. Unlimited until the mean load is known.
     */
    private double maxOnDemandArrayCores() {
        return load.meanArrayCores() > 0
                ? load.meanArrayCores() * AutoscalingConstants.MAX_ON_DEMAND_LOAD_RATIO / load.confidence()
                : Double.MAX_VALUE;
    }
}
