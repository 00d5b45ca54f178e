package org.hollypick.core;

import java.util.Set;

/**
 * The specification of a job as its user submitted it. Amounts are for each task.
 *
 * @param id the job's id
 * @param jobClass groups jobs with similar run times, for estimates
 * @param team the team whose quota the tasks count against; empty for none
 * @param service whether it is a service, whose tasks are replicas that run until the job ends; otherwise an array
 * @param priority its own priority; jobs that depend on it may raise the effective one ({@link Job#priority})
 * @param tasks the number of tasks
 * @param cpus cores of each task
 * @param gpus GPUs of each task
 * @param memoryGb memory of each task, in GB
 * @param machineTypes names of the acceptable machine types; null for any
 * @param zone the only acceptable zone; null for any
 * @param oneZone whether all tasks have to run in one zone, whichever that is
 * @param spreadOverZones whether no zone may hold more than half of the tasks, rounded up
 * @param spotAllowed whether tasks may run on spot instances
 * @param image the image that a machine needs before a task starts
 * @param imageGb the image's size, in GB
 * @param estimateS the expected run time of a task, in seconds
 * @param checkpointIntervalS the time between a task's checkpoints, in seconds
 * @param checkpointSaveS how long a task takes to save its state, in seconds
 * @param deadlineS the deadline, in seconds from the submission of the job; NaN for none. The deadline is stored, but
 *     doesn't influence scheduling
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
        double memoryGb,
        Set<String> machineTypes,
        String zone,
        boolean oneZone,
        boolean spreadOverZones,
        boolean spotAllowed,
        String image,
        double imageGb,
        double estimateS,
        double checkpointIntervalS,
        double checkpointSaveS,
        double deadlineS) {

    /** Priorities, the highest first. */
    public enum Priority {
        PRODUCTION,
        HIGH,
        NORMAL,
        LOW
    }
}
