package org.hollypick.core;

import java.util.Set;

/**
 * What a user submitted. {@code types} and {@code zone} are null when any will do; {@code dueS} is NaN without a
 * deadline.
 */
public record JobSpec(
        String id,
        String jobClass,
        String team,
        boolean service,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memory,
        Set<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        String image,
        double imageGb,
        double estimateS,
        double checkpointS,
        double saveS,
        double dueS) {

    /** Priorities, the highest first. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }
}
