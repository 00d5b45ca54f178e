package org.hollypick.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import java.util.HashMap;
import java.util.Map;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.Arrivals;
import org.hollypick.core.Scheduler;

/**
 * Estimates the load from arriving jobs. Jobs that existed when the term began and the burst of submissions when a
 * cluster starts don't predict the later load and aren't counted. Confined to the event loop.
 */
final class LoadEstimate {
    private final long warmUpMillis;
    private final ArrivalMean arrayJobs = new ArrivalMean(AutoscalingConstants.ARRAY_ARRIVAL_WINDOW_S);
    private final Map<String, ArrivalMean> arrayCoreSecondsByTeam = new HashMap<>();
    private final ArrivalMean serviceCores = new ArrivalMean(AutoscalingConstants.SERVICE_ARRIVAL_WINDOW_S);
    private long startedAt;
    private long lastArrayArrivedAt;
    /** Mean job arrays per second when the last one arrived, multiplied by the {@link #confidence} at that time. */
    private double arrayRateAtLastArrival;

    /** @param warmUpMillis the time after the first update during which arrivals aren't counted */
    LoadEstimate(long warmUpMillis) {
        this.warmUpMillis = warmUpMillis;
    }

    /** Adds the jobs that have arrived since the last update. */
    void update(Scheduler scheduler, long now) {
        Arrivals arrivals = scheduler.takeArrivals();
        if (startedAt == 0) {
            startedAt = now;
        }
        if (now - startedAt > warmUpMillis) { // never at the first update, whose arrivals existed before the term
            updateTeams(arrivals.arrayCoreSeconds(), now);
            arrayJobs.recordArrivals(arrivals.arrayJobs(), now);
            serviceCores.recordArrivals(arrivals.serviceCores(), now);
        }
        if (arrivals.arrayJobs() > 0) {
            lastArrayArrivedAt = now;
            arrayRateAtLastArrival = arrayJobs.perSecond() * confidence();
        } else if ((now - lastArrayArrivedAt) / 1000.0 * arrayRateAtLastArrival
                > AutoscalingConstants.MAX_MISSED_ARRIVALS) {
            // So many expected arrivals are missing that the mean is outdated and capacity kept for it is wasted.
            arrayCoreSecondsByTeam.values().forEach(ArrivalMean::reset);
            arrayJobs.reset();
            arrayRateAtLastArrival = 0;
        }
    }

    private void updateTeams(Object2DoubleMap<String> coreSeconds, long now) {
        for (String team : coreSeconds.keySet()) {
            arrayCoreSecondsByTeam.computeIfAbsent(team, name -> arrayJobs.copyWithoutArrivals());
        }
        arrayCoreSecondsByTeam.forEach((team, mean) -> mean.recordArrivals(coreSeconds.getDouble(team), now));
    }

    /** Records that users can't submit jobs now, so that missing arrivals don't count as a lower load. */
    void submissionsUnavailable(long now) {
        lastArrayArrivedAt = now;
    }

    /** Mean number of cores that arriving job arrays of all teams keep busy. */
    double meanArrayCores() {
        double cores = 0;
        for (ArrivalMean mean : arrayCoreSecondsByTeam.values()) {
            cores += mean.perSecond();
        }
        return cores;
    }

    /**
     * Cores to reserve for future job arrays, by team: their mean load, reduced by the {@link #confidence} in it.
     *
     * @param headroom multiple of the mean to reserve
     */
    Map<String, Double> reservedArrayCoresByTeam(double headroom) {
        Map<String, Double> cores = new HashMap<>();
        arrayCoreSecondsByTeam.forEach((team, mean) -> cores.put(team, mean.perSecond() * headroom * confidence()));
        return cores;
    }

    /** Mean cores of the services that arrive per second. */
    double arrivingServiceCoresPerSecond() {
        return serviceCores.perSecond();
    }

    /** Confidence in the mean load of job arrays, from 0 to 1: it grows with the number of jobs in the window. */
    double confidence() {
        double jobs = arrayJobs.perSecond() * AutoscalingConstants.ARRAY_ARRIVAL_WINDOW_S;
        return jobs / (jobs + AutoscalingConstants.HALF_CONFIDENCE_JOBS);
    }
}
