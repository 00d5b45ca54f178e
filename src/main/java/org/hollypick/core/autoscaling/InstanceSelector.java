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
 * Chooses the machines to start: from the capacity pool with the lowest price per core, among those that the job may
 * use and that the cloud didn't refuse recently. Confined to the event loop.
 */
final class InstanceSelector {
    /** Boot time assumed if the cloud offers no machine types. */
    private static final double DEFAULT_BOOT_S = 60;

    /** Time in milliseconds before which a pool isn't requested again, since the cloud refused it. */
    private final Object2LongOpenHashMap<CapacityPool> refusedUntil = new Object2LongOpenHashMap<>();
    /** Number of machines that count as capacity, including those that the current plan starts. */
    private final Object2IntOpenHashMap<CapacityPool> machinesByPool = new Object2IntOpenHashMap<>();

    private Map<String, MachineType> types = Map.of();
    private long now;

    /** Stops requests from the pool for a while, since the cloud had too few machines of it. */
    void recordRefusal(CapacityPool pool, long refusedAt) {
        refusedUntil.put(pool, refusedAt + AutoscalingConstants.REFUSED_POOL_BACKOFF_MS);
    }

    /** Starts a new plan, with no machines counted yet. */
    void startPlan(Map<String, MachineType> offeredTypes, long planAt) {
        types = offeredTypes;
        now = planAt;
        machinesByPool.clear();
    }

    /** Adds machines that count as capacity to the pool's number of machines. */
    void addMachines(CapacityPool pool, int count) {
        machinesByPool.addTo(pool, count);
    }

    /** Shortest boot time of the offered machine types, in seconds. */
    double minBootS() {
        return types.values().stream().mapToDouble(MachineType::bootS).min().orElse(DEFAULT_BOOT_S);
    }

    /**
     * Chooses the machines to start for a job.
     *
     * @param zones the zones in which machines may be started
     * @param spot whether to start spot or on-demand instances
     * @param cores the number of cores to add; nothing is requested if it isn't positive
     */
    Selection select(JobSpec job, List<String> zones, boolean spot, double cores) {
        List<ScaleOut> requests = new ArrayList<>();
        double missingCores = cores;
        for (int i = 0; i < AutoscalingConstants.MAX_ARRAY_SCALE_OUT_REQUESTS_PER_CYCLE && missingCores > 0; i++) {
            CapacityPool pool = cheapestPool(job, zones, spot);
            if (pool == null) {
                return new Selection(requests, false);
            }
            double coresPerMachine = types.get(pool.type()).cpus();
            int count = Math.min(
                    (int) Math.ceil(missingCores / coresPerMachine), AutoscalingConstants.MAX_INSTANCES_PER_REQUEST);
            requests.add(new ScaleOut(pool, count));
            addMachines(pool, count);
            missingCores -= count * coresPerMachine;
        }
        return new Selection(requests, true);
    }

    /** Cores of the requested machines. */
    double requestedCores(List<ScaleOut> requests) {
        double cores = 0;
        for (ScaleOut request : requests) {
            cores += request.count() * types.get(request.pool().type()).cpus();
        }
        return cores;
    }

    /**
     * The machines to start.
     *
     * @param hasCapacity false if no pool is left for the job: none is suitable, or the cloud refused them recently
     */
    record Selection(List<ScaleOut> requests, boolean hasCapacity) {}

    /**
     * The pool with the lowest price per core. Among equal prices it is the one with the fewest machines, which keeps
     * the zones balanced: a zone may fail, and services need capacity in each.
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
