package org.hollypick.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hollypick.io.Codec;

/** Jobs drawn from the seed: arrays of batch tasks, gangs and services. */
final class Workload {
    private static final long COMPLETION_POLL_MS = 50;

    /** How many times as long as usual tasks run. */
    double durationFactor = 1;
    /** Teams that submit jobs, in turn; others than the usual one need controllers with settings for them. */
    List<String> teams = List.of(JobDescription.DEFAULT_TEAM);
    /** Every second array is bound to one zone or spread over both. */
    boolean hasZoneConstraints;

    private final ClusterScenario scenario;
    private final SimulatedWorld world;
    private int jobCount;
    private final Set<String> cancelledOnCompletion = new HashSet<>();

    Workload(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
    }

    /** Submits arrays and services at random moments. */
    void submitJobs(int count, long withinMs) {
        for (int i = 0; i < count; i++) {
            world.schedule(world.random.nextInt((int) withinMs), () -> submitJob(world.random.nextInt(3) == 0));
        }
    }

    /** Submits arrays of batch tasks at random moments. */
    void submitBatchJobs(int count, long withinMs) {
        for (int i = 0; i < count; i++) {
            world.schedule(world.random.nextInt((int) withinMs), () -> submitJob(false));
        }
    }

    /** Submits services that no user cancels. */
    void submitUncancelledServices(int count) {
        for (int i = 0; i < count; i++) {
            scenario.users.neverCancel(id(jobCount));
            submitJob(true);
        }
    }

    /** Submits an array of one-core tasks that run for about so long; no user cancels it by chance. */
    String submitBatchJob(int tasks, double seconds, String image) {
        String team = teams.get(jobCount % teams.size());
        String id = nextId();
        scenario.users.neverCancel(id);
        scenario.users.submit(
                id, JobDescription.batch(id, UserProtocol.BATCH, team, "standard", tasks, image, seconds));
        return id;
    }

    /** From now on users cancel each job in the moment when its last task completes. */
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

    /** The order of the draws is part of each scenario. */
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
