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
    /** A kind of machine that the cloud offers: a machine type in a zone, as spot or on-demand instance. */
    public record Kind(String type, String zone, boolean spot) {}

    /** A request to start so many machines of one kind. */
    public record ScaleOut(Kind kind, int count) {}

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

    /** The cloud refused machines of that kind; it isn't asked for them for a while. */
    public void refused(Kind kind, long now) {
        instanceSelector.refused(kind, now);
    }

    /** Mean cores that arriving job arrays keep busy. */
    public double load() {
        return load.arrayCores();
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
        CapacityDemand demand = CapacityDemand.of(scheduler, zones, now);
        load.update(scheduler, now);
        instanceSelector.startPlan(types, now);
        CapacitySupply supply = CapacitySupply.of(
                scheduler.machines(),
                partitionedZones,
                now,
                machine -> instanceSelector.count(new Kind(machine.type.name(), machine.zone, machine.spot), 1));
        double supplyCores = supply.cores();
        double runnableCores = supply.runnableCores();
        List<ScaleOut> scaleOut = new ArrayList<>();
        Map<String, Double> spareOnDemandCores = new HashMap<>();
        double serviceCores = 0;
        for (String zone : zones) {
            double needed = serviceCores(demand, zone, zones.size());
            serviceCores += needed;
            double missing = needed - supply.onDemandCores(zone);
            spareOnDemandCores.put(zone, -missing);
            if (missing > 0 && demand.serviceSpec() != null && !partitionedZones.contains(zone)) {
                scaleOut.addAll(instanceSelector
                        .select(demand.serviceSpec(), List.of(zone), false, missing)
                        .requests());
                supply.addOnDemand(zone, missing, true);
            }
        }
        double arraySupply = supply.spotCores() + Math.max(0, supply.onDemandCores() - serviceCores);
        double baseCores = load.arrayCores() * AutoscalingConstants.LOAD_HEADROOM * load.confidence();
        if (demand.arraySpec() != null) {
            List<String> reachableZones = zones.stream()
                    .filter(zone -> !partitionedZones.contains(zone))
                    .toList();
            scaleOut.addAll(scaleOutForArrays(demand, reachableZones, arraySupply, baseCores));
        }
        Collection<Machine> machines = scheduler.machines();
        double neededArrayCores = Math.max(baseCores, demand.arrayCores() * AutoscalingConstants.BUSY_MARGIN);
        double surplus = ScaleInPlanner.markSurplus(machines, spareOnDemandCores, arraySupply - neededArrayCores);
        List<Assignment> moves = scheduler.reconciliationComplete()
                ? ReplicaMover.plan(machines, spareOnDemandCores, surplus, now)
                : List.of();
        return new Plan(
                scaleOut,
                scaleInPlanner.machinesToTerminate(machines, spareOnDemandCores, arraySupply - baseCores, now),
                moves,
                new ScaleOutDecision(
                        serviceCores,
                        demand.arrayCores(),
                        demand.usableCores(),
                        baseCores,
                        supplyCores,
                        runnableCores,
                        instanceSelector.cores(scaleOut)));
    }

    /** Cores that services need in a zone, with the standby for services to come. */
    private double serviceCores(CapacityDemand demand, String zone, int zones) {
        double present = demand.serviceCores(zone);
        if (demand.serviceSpec() == null) {
            return present;
        }
        double arriving = load.serviceCoresPerSecond() * AutoscalingConstants.STANDBY_S / zones;
        double share = present * AutoscalingConstants.STANDBY_SHARE;
        return present + Math.max(operator.warmCores(), Math.max(arriving, share));
    }

    private List<ScaleOut> scaleOutForArrays(
            CapacityDemand demand, List<String> zones, double supply, double baseCores) {
        JobSpec spec = demand.arraySpec();
        double bootS = instanceSelector.minBootS();
        // Tasks that a team's quota keeps from running need no machine, however long they wait.
        double usable = demand.usableCores() - supply;
        double spotCores = Math.max(
                baseCores - supply,
                Math.min(usable, demand.missingArrayCores(supply, bootS, AutoscalingConstants.CATCH_UP_S)));
        InstanceSelector.Selection spot = instanceSelector.select(spec, zones, true, spotCores);
        if (spot.isAvailable()) {
            return spot.requests();
        }
        double onDemandCores = Math.min(
                demand.missingArrayCores(supply, bootS, AutoscalingConstants.CATCH_UP_ON_DEMAND_S),
                Math.min(usable, maxOnDemandCores() - supply));
        List<ScaleOut> requests = new ArrayList<>(spot.requests());
        requests.addAll(
                instanceSelector.select(spec, zones, false, onDemandCores).requests());
        return requests;
    }

    /** Beyond this spot machines catch up soon enough once they are available; unlimited until the load is known. */
    private double maxOnDemandCores() {
        return load.arrayCores() > 0
                ? load.arrayCores() * AutoscalingConstants.ON_DEMAND_LOAD / load.confidence()
                : Double.MAX_VALUE;
    }
}
