package org.hollypick.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hollypick.io.Codec;

/** Submits random jobs: batch jobs, some of them gang-scheduled, and services. */
final class Workload {
    private static final long COMPLETION_POLL_MS = 50;

    /** Factor on the expected run time of batch tasks. */
    double durationFactor = 1;
    /** Teams that submit jobs, in turn; teams other than the default one must be in the controllers' settings. */
    List<String> teams = List.of(JobDescription.DEFAULT_TEAM);
    /** Whether about half of the random batch jobs are bound to one zone or spread over both. */
    boolean hasZoneConstraints;

    private final ClusterScenario scenario;
    private final SimulatedWorld world;
    private int jobCount;
    private final Set<String> cancelledOnCompletion = new HashSet<>();

    Workload(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
    }

    /** Submits batch jobs and services at random times. */
    void submitJobs(int count, long withinMs) {
        for (int i = 0; i < count; i++) {
            world.schedule(world.random.nextInt((int) withinMs), () -> submitJob(world.random.nextInt(3) == 0));
        }
    }

    /** Submits batch jobs at random times. */
    void submitBatchJobs(int count, long withinMs) {
        for (int i = 0; i < count; i++) {
            world.schedule(world.random.nextInt((int) withinMs), () -> submitJob(false));
        }
    }

    /** Submits services that aren't cancelled at random. */
    void submitUncancelledServices(int count) {
        for (int i = 0; i < count; i++) {
            scenario.users.neverCancel(id(jobCount));
            submitJob(true);
        }
    }

    /**
     * Submits a batch job of one-core tasks, each expected to run for {@code seconds}, that isn't cancelled at random.
     */
    String submitBatchJob(int tasks, double seconds, String image) {
        String team = teams.get(jobCount % teams.size());
        String id = nextId();
        scenario.users.neverCancel(id);
        scenario.users.submit(
                id, JobDescription.batch(id, UserProtocol.BATCH, team, "standard", tasks, image, seconds));
        return id;
    }

    /** Starts to cancel each accepted job as soon as its last task completes. */
    void cancelJobsOnCompletion() {
        scenario.checker.submitted.keySet().stream()
                .filter(id -> scenario.checker.isAccepted(id)
                        && scenario.checker.tasks.isComplete(id)
                        && cancelledOnCompletion.add(id))
                .toList()
                .forEach(scenario.users::cancel);
        world.schedule(COMPLETION_POLL_MS, this::cancelJobsOnCompletion);
    }

    String nextId() {
        return id(jobCount++);
    }

    private static String id(int number) {
        return String.format("req-%06d", number);
    }

    private void submitJob(boolean isService) {
        String id = nextId();
        ObjectNode job = draw(id, isService);
        if (hasZoneConstraints && !isService) {
            drawZoneConstraint(job);
        }
        scenario.users.submit(id, job);
    }

    /** Draws a job. The draws must keep their order: with another order a seed yields another scenario. */
    private ObjectNode draw(String id, boolean isService) {
        return Codec.object()
                .put(UserProtocol.JOB_ID, id)
                .put(UserProtocol.JOB_CLASS, isService ? "web" : "batch")
                .put(UserProtocol.TEAM, teams.get(jobCount % teams.size()))
                .put(UserProtocol.KIND, isService ? UserProtocol.SERVICE : UserProtocol.BATCH)
                .put(UserProtocol.PRIORITY, isService ? "prod" : world.random.nextBoolean() ? "standard" : "low")
                .put(UserProtocol.TASK_COUNT, 1 + world.random.nextInt(6 * scenario.sizeFactor))
                .put(UserProtocol.CORES, 1.0 + world.random.nextInt(2))
                .put(UserProtocol.GPUS, 0.0)
                .put(UserProtocol.MEMORY_GB, 2.0)
                .put(UserProtocol.GANG, !isService && world.random.nextInt(4) == 0)
                .put(UserProtocol.SPREAD, isService)
                .put(UserProtocol.PREEMPTIBLE, !isService)
                .put(UserProtocol.IMAGE, "img-" + world.random.nextInt(3))
                .put(UserProtocol.IMAGE_GB, 1.0)
                .put(UserProtocol.EXPECTED_S, isService ? 0.0 : durationFactor * (4.0 + world.random.nextInt(15)))
                .put(UserProtocol.CHECKPOINT_INTERVAL_S, 0.0)
                .put(UserProtocol.CHECKPOINT_SAVE_S, 0.0);
    }

    private void drawZoneConstraint(ObjectNode job) {
        switch (world.random.nextInt(4)) {
            case 0 ->
                job.put(
                        UserProtocol.ZONE,
                        ClusterScenario.ZONES.get(world.random.nextInt(ClusterScenario.ZONES.size())));
            case 1 -> job.put(UserProtocol.SPREAD, true).put(UserProtocol.GANG, false);
            default -> {}
        }
    }
}
