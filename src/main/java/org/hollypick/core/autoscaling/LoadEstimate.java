package org.hollypick.core.autoscaling;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;
import java.util.HashMap;
import java.util.Map;
import org.hollypick.config.constants.AutoscalingConstants;
import org.hollypick.core.Arrivals;
import org.hollypick.core.Scheduler;

/**
 * Estimates the load from the jobs that arrive. What was there when the term began, and the many submissions when a
 * cluster starts, say nothing about what follows and aren't counted. Confined to the event loop.
 */
final class LoadEstimate {
    private final long warmUpMillis;
    private final ArrivalMean arrayJobs = new ArrivalMean(AutoscalingConstants.LOAD_WINDOW_S);
    private final Map<String, ArrivalMean> arrayCoreSecondsByTeam = new HashMap<>();
    private final ArrivalMean serviceCores = new ArrivalMean(AutoscalingConstants.SERVICE_WINDOW_S);
    private long startedAt;
    private long lastArrayArrivedAt;
    /** Job arrays a second until the last one arrived, as far as that could be trusted. */
    private double arrayRateAtLastArrival;

    /** {@code warmUpMillis}: how long after the first update nothing is counted. */
    LoadEstimate(long warmUpMillis) {
        this.warmUpMillis = warmUpMillis;
    }

    /** Takes what has arrived since the last update. */
    void update(Scheduler scheduler, long now) {
        Arrivals arrivals = scheduler.takeArrivals();
        if (startedAt == 0) {
            startedAt = now;
        }
        if (now - startedAt > warmUpMillis) { // never at the first update: that is what the term finds
            updateTeams(arrivals.arrayCoreSeconds(), now);
            arrayJobs.recordArrivals(arrivals.arrayJobs(), now);
            serviceCores.recordArrivals(arrivals.serviceCores(), now);
        }
        if (arrivals.arrayJobs() > 0) {
            lastArrayArrivedAt = now;
            arrayRateAtLastArrival = arrayJobs.perSecond() * confidence();
        } else if ((now - lastArrayArrivedAt) / 1000.0 * arrayRateAtLastArrival
                > AutoscalingConstants.MISSED_ARRIVALS) {
            // So many arrivals are missing that the mean is outdated, and the capacity kept for it is wasted.
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

    /** Users can't submit jobs now, so missing arrivals don't mean a lower load. */
    void submissionsUnavailable(long now) {
        lastArrayArrivedAt = now;
    }

    /** Mean cores that arriving job arrays of all teams keep busy. */
    double meanArrayCores() {
        double cores = 0;
        for (ArrivalMean mean : arrayCoreSecondsByTeam.values()) {
            cores += mean.perSecond();
        }
        return cores;
    }

    /**
     * Cores to keep for the job arrays to come, by team: their mean load, as far as it can be trusted.
     *
     * @param headroom multiple of the mean that is kept
     */
    Map<String, Double> reservedArrayCoresByTeam(double headroom) {
        Map<String, Double> cores = new HashMap<>();
        arrayCoreSecondsByTeam.forEach((team, mean) -> cores.put(team, mean.perSecond() * headroom * confidence()));
        return cores;
    }

    /** Cores of services that arrive in a second. */
    double arrivingServiceCoresPerSecond() {
        return serviceCores.perSecond();
    }

    /** How far the mean of job arrays can be trusted, up to 1: the mean of many jobs more than that of a few. */
    double confidence() {
        double jobs = arrayJobs.perSecond() * AutoscalingConstants.LOAD_WINDOW_S;
        return jobs / (jobs + AutoscalingConstants.LOAD_DOUBT_JOBS);
    }
}
