package org.hollypick.core;

/** Adds up the demand that arrives until it is taken. Confined to the event loop. */
final class ArrivalCounter {
    private int arrayJobs;
    private double arrayCoreSeconds;
    /** Work of tasks released since; apart, since thousands may be released at once. */
    private double releasedCoreSeconds;

    private double serviceCores;

    void addService(double cores) {
        serviceCores += cores;
    }

    void addArray(double coreSeconds) {
        arrayJobs++;
        arrayCoreSeconds += coreSeconds;
    }

    /** A task of a job that was counted without its work. */
    void addReleasedTask(double coreSeconds) {
        releasedCoreSeconds += coreSeconds;
    }

    Arrivals take() {
        Arrivals taken = new Arrivals(arrayJobs, arrayCoreSeconds + releasedCoreSeconds, serviceCores);
        arrayJobs = 0;
        arrayCoreSeconds = 0;
        releasedCoreSeconds = 0;
        serviceCores = 0;
        return taken;
    }
}
