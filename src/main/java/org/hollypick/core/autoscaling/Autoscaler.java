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
    /** A pool of machine that the cloud offers: a machine type in a zone, as spot or on-demand instance. */
    public record CapacityPool(String type, String zone, boolean spot) {}

    /** A request to start so many machines of one pool. */
    public record ScaleOut(CapacityPool pool, int count) {}

    /**
     * What to do now.
     *
     * @param scaleOut the machines to start
     * @param scaleIn the machines to terminate
     * @param moves replicas to stop, so that they start again on a machine that is kept
     * @param decision what the scale-out rests on
     */
    public record Plan(
            List<ScaleOut> scaleOut, List<Machine> scaleIn, List<Assignment> moves, ScaleOutDecision decision) {}

    private final OperatorSettings operator;
    private final LoadEstimate load;
    private final InstanceSelector instanceSelector = new InstanceSelector();
    private final ScaleInPlanner scaleInPlanner;

    /** {@code firstTerm}: there was no leader before, so many users may be starting at once. */
    public Autoscaler(OperatorSettings operator, boolean firstTerm) {
        this.operator = operator;
        this.load = new LoadEstimate(firstTerm ? AutoscalingConstants.WARM_UP_MS : 0);
        this.scaleInPlanner = new ScaleInPlanner(operator);
    }

    /** Users can't submit jobs now, so missing arrivals don't mean a lower load. */
    public void submissionsUnavailable(long now) {
        load.submissionsUnavailable(now);
    }

    /** The cloud refused machines of that pool; it isn't asked for them for a while. */
    public void recordRefusal(CapacityPool pool, long now) {
        instanceSelector.recordRefusal(pool, now);
    }

    /** Mean cores that arriving job arrays keep busy. */
    public double meanArrayLoadCores() {
        return load.meanArrayCores();
    }

    /** Plans while all zones are reachable. */
    public Plan plan(Scheduler scheduler, Map<String, MachineType> types, List<String> zones, long now) {
        return plan(scheduler, types, zones, Set.of(), now);
    }

    /**
     * Plans scale out and scale in.
     *
     * @param types the machine types that the cloud offers, by name
     * @param partitionedZones zones that can't be reached: their machines count, since most will recover, but none are
     *     started there
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

    /** What the services need of the on-demand machines. */
    private static final class ServiceCapacity {
        private double neededCores;
        /** Cores of runnable on-demand machines that services don't need. */
        private double runnableSpareCores;
        /** What the teams' quotas leave beside services and their standby. */
        private double quotaCores;
        /** On-demand cores that services don't need, by zone; negative where they are missing. */
        private final Map<String, Double> spareCoresByZone = new HashMap<>();
    }

    /**
     * The cores that job arrays have, and may have.
     *
     * @param supplyCores of machines that count as capacity, beside what services need
     * @param runnableCores the part of it that can run tasks
     * @param usableCores what the teams' quotas allow
     * @param reservedCores to keep for the mean load, as far as the quotas allow it
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
            double standby = Math.min(standbyCores(demand, zone, zones.size()), services.quotaCores);
            double needed = demand.serviceCores(zone) + standby;
            double missing = needed - supply.onDemandCores(zone);
            services.neededCores += needed;
            services.spareCoresByZone.put(zone, -missing);
            if (reachable) {
                services.quotaCores -= standby;
                if (missing > 0 && demand.serviceSpec() != null) {
                    scaleOut.addAll(instanceSelector
                            .select(demand.serviceSpec(), List.of(zone), false, missing)
                            .requests());
                    supply.addOnDemand(zone, missing, true);
                }
                services.runnableSpareCores += Math.max(0, supply.runnableOnDemandCores(zone) - needed);
            }
        }
        return services;
    }

    /**
     * Machines out of reach may come back, so what is kept for the load counts them. But no task can start there now,
     * so the quotas bound the capacity that can run tasks, and leave room beside machines out of reach.
     */
    private ArrayCapacity arrayCapacity(CapacityDemand demand, CapacitySupply supply, ServiceCapacity services) {
        double loadCores = demand.limitToQuotas(load.reservedArrayCoresByTeam(AutoscalingConstants.LOAD_HEADROOM));
        return new ArrayCapacity(
                supply.spotCores() + Math.max(0, supply.onDemandCores() - services.neededCores),
                supply.runnableSpotCores() + services.runnableSpareCores,
                Math.min(demand.usableArrayCores(AutoscalingConstants.CATCH_UP_S), services.quotaCores),
                Math.min(loadCores, services.quotaCores));
    }

    /** Cores that are kept free in a zone for services to come. */
    private double standbyCores(CapacityDemand demand, String zone, int zones) {
        if (demand.serviceSpec() == null) {
            return 0;
        }
        double arriving = load.arrivingServiceCoresPerSecond() * AutoscalingConstants.STANDBY_S / zones;
        double share = demand.serviceCores(zone) * AutoscalingConstants.STANDBY_SHARE;
        return Math.max(operator.warmCores(), Math.max(arriving, share));
    }

    private List<ScaleOut> scaleOutForArrays(
            CapacityDemand demand, CapacitySupply supply, List<String> zones, ArrayCapacity arrays) {
        JobSpec spec = demand.arraySpec();
        double bootS = instanceSelector.minBootS();
        double packable = demand.packableArrayCores(arrays.runnableCores(), supply);
        // Tasks that a team's quota keeps from running need no machine, however long they wait.
        double allowed = arrays.usableCores() - packable;
        double missing = demand.missingArrayCores(packable, bootS, AutoscalingConstants.CATCH_UP_S);
        double spotCores = Math.max(arrays.reservedCores() - arrays.supplyCores(), Math.min(allowed, missing));
        InstanceSelector.Selection spot = instanceSelector.select(spec, zones, true, spotCores);
        if (spot.hasCapacity()) {
            return spot.requests();
        }
        double missingOnDemand = demand.missingArrayCores(packable, bootS, AutoscalingConstants.CATCH_UP_ON_DEMAND_S);
        double onDemandCores =
                Math.min(missingOnDemand, Math.min(allowed, maxOnDemandArrayCores() - arrays.runnableCores()));
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
        double neededCores =
                Math.max(arrays.reservedCores(), demand.allowedArrayCores() * AutoscalingConstants.BUSY_MARGIN);
        double surplusCores = Math.min(arrays.supplyCores(), arrays.runnableCores()) - neededCores;
        double surplus = ScaleInPlanner.markSurplus(machines, services.spareCoresByZone, surplusCores);
        List<Assignment> moves = scheduler.reconciliationComplete()
                ? ReplicaMover.plan(machines, services.spareCoresByZone, surplus, now)
                : List.of();
        List<Machine> terminated = scaleInPlanner.machinesToTerminate(
                machines, services.spareCoresByZone, arrays.supplyCores() - arrays.reservedCores(), now);
        return new Plan(scaleOut, terminated, moves, decision);
    }

    /** Beyond this spot machines catch up soon enough once they are available; unlimited until the load is known. */
    private double maxOnDemandArrayCores() {
        return load.meanArrayCores() > 0
                ? load.meanArrayCores() * AutoscalingConstants.ON_DEMAND_LOAD / load.confidence()
                : Double.MAX_VALUE;
    }
}
