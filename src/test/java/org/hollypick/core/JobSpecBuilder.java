package org.hollypick.core;

/** Builds specifications of array jobs for tests: by default one task with one core that may run on any machine. */
public final class JobSpecBuilder {
    private final String id;
    private String team = "team";
    private int tasks = 1;
    private double cpus = 1;
    private double gpus;
    private double estimateS = 10;

    private JobSpecBuilder(String id) {
        this.id = id;
    }

    /** Starts the specification of an array job with this id. */
    public static JobSpecBuilder array(String id) {
        return new JobSpecBuilder(id);
    }

    /** The team whose quota the tasks count against. */
    public JobSpecBuilder team(String name) {
        team = name;
        return this;
    }

    /** The number of tasks. */
    public JobSpecBuilder tasks(int count) {
        tasks = count;
        return this;
    }

    /** Cores of each task. */
    public JobSpecBuilder cpus(double cores) {
        cpus = cores;
        return this;
    }

    /** GPUs of each task. */
    public JobSpecBuilder gpus(double count) {
        gpus = count;
        return this;
    }

    /** The expected run time of each task, in seconds. */
    public JobSpecBuilder estimateS(double seconds) {
        estimateS = seconds;
        return this;
    }

    /** Builds the specification. */
    public JobSpec build() {
        return new JobSpec(
                id,
                "batch",
                team,
                false,
                JobSpec.Priority.NORMAL,
                tasks,
                cpus,
                gpus,
                1,
                null,
                null,
                false,
                false,
                true,
                "img",
                1,
                estimateS,
                0,
                0,
                Double.NaN);
    }
}
