package org.hollypick.core;

import java.util.Set;

/** A type of machine as the cloud describes it; prices are per hour. */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memory,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        Set<String> zones) {
    public boolean fits(JobSpec job) {
        return cpus >= job.cpus()
                && gpus >= job.gpus()
                && memory >= job.memory()
                && (job.types() == null || job.types().contains(name))
                && (job.zone() == null || zones.contains(job.zone()));
    }
}
