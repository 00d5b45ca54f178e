package org.hollypick.core.autoscaling;

/**
 * The figures on which a scale-out decision is based, all in cores.
 *
 * @param serviceCores what services need, including the standby capacity for future services
 * @param arrayCores what pending and running tasks of job arrays need
 * @param usableArrayCores what job arrays can use within the teams' quotas, after the services
 * @param loadCores what is reserved for future job arrays by their mean load
 * @param supplyCores machines that count as capacity, including those of partitioned zones
 * @param runnableCores the part of the supply cores that can run tasks, now or once they have booted or were reconciled
 * @param requestedCores the machines to start
 */
public record ScaleOutDecision(
        double serviceCores,
        double arrayCores,
        double usableArrayCores,
        double loadCores,
        double supplyCores,
        double runnableCores,
        double requestedCores) {}
