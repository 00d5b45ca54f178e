package org.hollypick.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;

/**
 * The demand that arrived in some time.
 *
 * @param arrayJobs number of array jobs
 * @param arrayCoreSeconds the array jobs' expected work, by team
 * @param serviceCores cores of the services
 */
public record Arrivals(int arrayJobs, Object2DoubleMap<String> arrayCoreSeconds, double serviceCores) {}
