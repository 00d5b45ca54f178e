package org.hollypick.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleOpenHashMap;

/** Accumulates the demand that arrives between calls of {@link #take}. Confined to the event loop. */
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

    /** Adds the work of a task that wasn't included when its job was added. */
    void addReleasedTask(String team, double coreSeconds) {
        arrayCoreSeconds.addTo(team, coreSeconds);
    }

    /** Returns the accumulated demand and starts again from zero. */
    Arrivals take() {
        Arrivals taken = new Arrivals(arrayJobs, arrayCoreSeconds, serviceCores);
        arrayJobs = 0;
        arrayCoreSeconds = new Object2DoubleOpenHashMap<>();
        serviceCores = 0;
        return taken;
    }
}
