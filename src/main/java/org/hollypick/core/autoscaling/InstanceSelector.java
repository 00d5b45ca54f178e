package org.hollypick.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.autoscaling.Autoscaler.CapacityPool;
import org.hollypick.core.autoscaling.Autoscaler.ScaleOut;

/**
 * Chooses the machines to start: of the kinds that a job may use and that the cloud didn't just refuse, the one with
 * the cheapest core. Confined to the event loop.
 */
final class InstanceSelector {
    /** Until when a pool isn't requested, after the cloud refused it. */
    private final Object2LongOpenHashMap<CapacityPool> refusedUntil = new Object2LongOpenHashMap<>();
    /** Usable machines of each pool, those that the present plan starts included. */
    private final Object2IntOpenHashMap<CapacityPool> machinesByPool = new Object2IntOpenHashMap<>();

    private Map<String, MachineType> types = Map.of();
    private long now;

    /** The cloud had no machine of that pool. */
    void recordRefusal(CapacityPool pool, long refusedAt) {
        refusedUntil.put(pool, refusedAt + AutoscalingConstants.NO_CAPACITY_MS);
    }

    /** Begins a plan, without any machines. */
    void startPlan(Map<String, MachineType> offeredTypes, long planAt) {
        types = offeredTypes;
        now = planAt;
        machinesByPool.clear();
    }

    /** One more usable machine of that pool. */
    void addMachines(CapacityPool pool, int additional) {
        machinesByPool.addTo(pool, additional);
    }

    /** Seconds that the fastest type takes to boot. */
    double minBootS() {
        return types.values().stream().mapToDouble(MachineType::bootS).min().orElse(60);
    }

    /**
     * The machines to start for so many cores.
     *
     * @return empty if {@code cores} isn't positive
     */
    Selection select(JobSpec job, List<String> zones, boolean spot, double cores) {
        List<ScaleOut> requests = new ArrayList<>();
        double missing = cores;
        for (int i = 0; i < AutoscalingConstants.MAX_SCALE_OUT_REQUESTS && missing > 0; i++) {
            CapacityPool pool = cheapestPool(job, zones, spot);
            if (pool == null) {
                return new Selection(requests, false);
            }
            double coresEach = types.get(pool.type()).cpus();
            int count = Math.min((int) Math.ceil(missing / coresEach), AutoscalingConstants.MAX_INSTANCES_PER_REQUEST);
            requests.add(new ScaleOut(pool, count));
            addMachines(pool, count);
            missing -= count * coresEach;
        }
        return new Selection(requests, true);
    }

    /** Cores of the machines that these requests ask for. */
    double requestedCores(List<ScaleOut> requests) {
        double cores = 0;
        for (ScaleOut request : requests) {
            cores += request.count() * types.get(request.pool().type()).cpus();
        }
        return cores;
    }

    /** The machines to start; {@code isAvailable}: false if the cloud refused all kinds that the job may use. */
    record Selection(List<ScaleOut> requests, boolean hasCapacity) {}

    /**
     * The pool with the cheapest core; of equal ones the one with the fewest machines, so that zones stay even: a zone
     * can be lost, and services need capacity in each.
     *
     * @return null if there is none
     */
    private CapacityPool cheapestPool(JobSpec job, List<String> zones, boolean spot) {
        CapacityPool best = null;
        double bestPrice = 0;
        for (MachineType type : types.values()) {
            if (!type.fits(job)) {
                continue;
            }
            double price = (spot ? type.spotPricePerHour() : type.pricePerHour()) / type.cpus();
            for (String zone : zones) {
                CapacityPool pool = new CapacityPool(type.name(), zone, spot);
                if (isOffered(pool, type, job) && (best == null || isPreferred(pool, price, best, bestPrice))) {
                    best = pool;
                    bestPrice = price;
                }
            }
        }
        return best;
    }

    private boolean isOffered(CapacityPool pool, MachineType type, JobSpec job) {
        return type.zones().contains(pool.zone())
                && (job.zone() == null || job.zone().equals(pool.zone()))
                && refusedUntil.getLong(pool) <= now;
    }

    private boolean isPreferred(CapacityPool pool, double price, CapacityPool best, double bestPrice) {
        return price < bestPrice || (price == bestPrice && machinesByPool.getInt(pool) < machinesByPool.getInt(best));
    }
}
