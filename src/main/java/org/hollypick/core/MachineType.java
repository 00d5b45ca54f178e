package org.hollypick.core;

import java.util.Set;

/**
 * A type of machine as the cloud describes it.
 *
 * @param name its name at the cloud
 * @param cpus cores; 0 for a type that the cloud no longer offers
 * @param gpus GPUs
 * @param memoryGb memory, in GB
 * @param cacheGb room for images, in GB
 * @param fetchGbPerS how fast images are fetched, in GB per second
 * @param pricePerHour the price of an on-demand instance
 * @param spotPricePerHour the price of a spot instance
 * @param bootS how long an instance takes to boot, in seconds
 * @param zones the zones in which the cloud offers it
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memoryGb,
        double cacheGb,
        double fetchGbPerS,
        double pricePerHour,
        double spotPricePerHour,
        double bootS,
        Set<String> zones) {
    /** Whether an empty machine of this type could run a task of that description in some zone that suits it. */
    public boolean fits(JobSpec spec) {
        return cpus >= spec.cpus()
                && gpus >= spec.gpus()
                && memoryGb >= spec.memoryGb()
                && (spec.machineTypes() == null || spec.machineTypes().contains(name))
                && (spec.zone() == null || zones.contains(spec.zone()));
    }
}
