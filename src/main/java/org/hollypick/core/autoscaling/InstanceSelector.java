package org.hollypick.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import it.unimi.dsi.fastutil.objects.Object2LongOpenHashMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.MachineType;
import org.hollypick.core.autoscaling.Autoscaler.Kind;
import org.hollypick.core.autoscaling.Autoscaler.ScaleOut;

/**
 * Chooses the machines to start: of the kinds that a job may use and that the cloud didn't just refuse, the one with
 * the cheapest core. Confined to the event loop.
 */
final class InstanceSelector {
    /** Until when a kind isn't requested, after the cloud refused it. */
    private final Object2LongOpenHashMap<Kind> refusedUntil = new Object2LongOpenHashMap<>();
    /** Usable machines of each kind, those that the present plan starts included. */
    private final Object2IntOpenHashMap<Kind> machines = new Object2IntOpenHashMap<>();

    private Map<String, MachineType> types = Map.of();
    private long now;

    /** The cloud had no machine of that kind. */
    void refused(Kind kind, long refusedAt) {
        refusedUntil.put(kind, refusedAt + AutoscalingConstants.NO_CAPACITY_MS);
    }

    /** Begins a plan, without any machines. */
    void startPlan(Map<String, MachineType> offeredTypes, long planAt) {
        types = offeredTypes;
        now = planAt;
        machines.clear();
    }

    /** One more usable machine of that kind. */
    void count(Kind kind, int additional) {
        machines.addTo(kind, additional);
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
            Kind kind = cheapest(job, zones, spot);
            if (kind == null) {
                return new Selection(requests, false);
            }
            double coresEach = types.get(kind.type()).cpus();
            int count = Math.min((int) Math.ceil(missing / coresEach), AutoscalingConstants.MAX_INSTANCES_PER_REQUEST);
            requests.add(new ScaleOut(kind, count));
            count(kind, count);
            missing -= count * coresEach;
        }
        return new Selection(requests, true);
    }

    /** Cores of the machines that these requests ask for. */
    double cores(List<ScaleOut> requests) {
        double cores = 0;
        for (ScaleOut request : requests) {
            cores += request.count() * types.get(request.kind().type()).cpus();
        }
        return cores;
    }

    /** The machines to start; {@code isAvailable}: false if the cloud refused all kinds that the job may use. */
    record Selection(List<ScaleOut> requests, boolean isAvailable) {}

    /**
     * The kind with the cheapest core; of equal ones the one with the fewest machines, so that zones stay even: a zone
     * can be lost, and services need capacity in each.
     *
     * @return null if there is none
     */
    private Kind cheapest(JobSpec job, List<String> zones, boolean spot) {
        Kind best = null;
        double bestPrice = 0;
        for (MachineType type : types.values()) {
            if (!type.fits(job)) {
                continue;
            }
            double price = (spot ? type.spotPricePerHour() : type.pricePerHour()) / type.cpus();
            for (String zone : zones) {
                Kind kind = new Kind(type.name(), zone, spot);
                if (isOffered(kind, type, job) && (best == null || isBetter(kind, price, best, bestPrice))) {
                    best = kind;
                    bestPrice = price;
                }
            }
        }
        return best;
    }

    private boolean isOffered(Kind kind, MachineType type, JobSpec job) {
        return type.zones().contains(kind.zone())
                && (job.zone() == null || job.zone().equals(kind.zone()))
                && refusedUntil.getLong(kind) <= now;
    }

    private boolean isBetter(Kind kind, double price, Kind best, double bestPrice) {
        return price < bestPrice || (price == bestPrice && machines.getInt(kind) < machines.getInt(best));
    }
}
