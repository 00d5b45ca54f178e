package org.hollypick.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/** Adds up the demand that arrives until it is taken. Confined to the event loop. */
final class ArrivalCounter {
    private int arrayJobs;
    private Object2DoubleOpenHashMap<String> arrayCoreSeconds = new Object2DoubleOpenHashMap<>();
    private double serviceCores;

    void addService(double cores) {
        serviceCores += cores;
    }

    void addArray(String team, double coreSeconds) {
        arrayJobs++;
        arrayCoreSeconds.addTo(team, coreSeconds);
    }

    /** A task of a job that was counted without its work. */
    void addReleasedTask(String team, double coreSeconds) {
        arrayCoreSeconds.addTo(team, coreSeconds);
    }

    Arrivals take() {
        Arrivals taken = new Arrivals(arrayJobs, arrayCoreSeconds, serviceCores);
        arrayJobs = 0;
        arrayCoreSeconds = new Object2DoubleOpenHashMap<>();
        serviceCores = 0;
        return taken;
    }
}
