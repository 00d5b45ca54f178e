package org.hollypick.core.autoscaling;

/**
 * What a scale-out decision rests on, in cores.
 *
 * @param serviceCores what services need, with the standby for services to come
 * @param arrayCores what pending and running tasks of job arrays take
 * @param usableArrayCores what the teams' quotas let job arrays use beside the services
 * @param loadCores what is kept for job arrays to come, by their mean load
 * @param supplyCores machines that count as capacity, those of partitioned zones included
 * @param runnableCores those among them that can run tasks, or will once they are up
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
