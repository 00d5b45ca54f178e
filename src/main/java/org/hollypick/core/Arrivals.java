package org.hollypick.core;

/**
 * The demand that arrived in some time.
 *
 * @param arrayJobs number of array jobs
 * @param arrayCoreSeconds the array jobs' expected work
 * @param serviceCores cores of the services
 */
public record Arrivals(int arrayJobs, double arrayCoreSeconds, double serviceCores) {}
