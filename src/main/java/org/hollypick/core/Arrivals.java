package org.hollypick.core;

import it.unimi.dsi.fastutil.objects.Object2DoubleMap;

/**
 * The demand that arrived during an interval.
 *
 * @param arrayJobs the number of array jobs
 * @param arrayCoreSeconds the expected work of array jobs in core-seconds, by team
 * @param serviceCores the cores of all tasks of the services
 */
public record Arrivals(int arrayJobs, Object2DoubleMap<String> arrayCoreSeconds, double serviceCores) {}
