package org.hollypick.core;

import java.util.Set;

/**
 * A machine type as the cloud describes it.
 *
 * @param name the cloud's name for it
 * @param cpus cores; 0 for a type that the cloud no longer offers
 * @param gpus GPUs
 * @param memoryGb memory, in GB
 * @param cacheGb the capacity of its image cache, in GB
 * @param fetchGbPerS the rate at which an image is fetched, in GB per second
 * @param pricePerHour the price of an on-demand instance, per hour
 * @param spotPricePerHour the price of a spot instance, per hour
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
    /** Whether an empty machine of this type could run a task with this specification in one of its allowed zones. */
    public boolean fits(JobSpec spec) {
        return cpus >= spec.cpus()
                && gpus >= spec.gpus()
                && memoryGb >= spec.memoryGb()
                && (spec.machineTypes() == null || spec.machineTypes().contains(name))
                && (spec.zone() == null || zones.contains(spec.zone()));
    }
}
