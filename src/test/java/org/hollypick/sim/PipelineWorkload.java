package org.hollypick.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.hollypick.io.Codec;

/**
 * Submits pipelines of jobs: a first stage, parallel middle stages that depend on it, and a last stage that depends on
 * all middle stages. In some pipelines the first stage depends on another job, or the last one is submitted late.
 */
final class PipelineWorkload {
    private static final String UNKNOWN_JOB = "req-777777";

    private final ClusterScenario scenario;
    private final SimulatedWorld world;

    PipelineWorkload(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
    }

    /** Submits pipelines at random times. */
    void submitPipelines(int count, long withinMs) {
        for (int i = 0; i < count; i++) {
            world.schedule(world.random.nextInt((int) withinMs), this::submitPipeline);
        }
    }

    private void submitPipeline() {
        List<String> batchJobs = acceptedBatchJobs();
        boolean dependsOnOther = !batchJobs.isEmpty() && world.random.nextInt(3) == 0;
        int firstTasks = 1 + world.random.nextInt(4);
        List<String> firstDependencies =
                dependsOnOther ? List.of(batchJobs.get(world.random.nextInt(batchJobs.size()))) : List.of();
        String first = submitStage(firstTasks, 4, firstDependencies);
        List<String> middle = new ArrayList<>();
        int parallelStages = 1 + world.random.nextInt(3);
        for (int i = 0; i < parallelStages; i++) {
            middle.add(submitStage(1 + world.random.nextInt(3 * scenario.sizeFactor), 5, List.of(first)));
        }
        middle.add(submitStage(1, 4, List.of(first, first)));
        long delayMs = world.random.nextInt(4) == 0 ? world.random.nextInt(60_000) : 0;
        world.schedule(delayMs, () -> submitStage(2, 3, middle));
        world.schedule(world.random.nextInt(30_000), () -> submitImpossibleDependencies(first));
    }

    private List<String> acceptedBatchJobs() {
        List<String> ids = new ArrayList<>();
        scenario.checker.submitted.forEach((id, job) -> {
            if (job.path(UserProtocol.KIND).asText().equals(UserProtocol.BATCH) && scenario.checker.isAccepted(id)) {
                ids.add(id);
            }
        });
        ids.sort(null);
        return ids;
    }

    private String submitStage(int tasks, double seconds, List<String> dependencies) {
        String id = scenario.workload.nextId();
        String priority = world.random.nextBoolean() ? "urgent" : "low";
        scenario.users.submitWhenAccepted(id, JobDescription.stage(id, priority, tasks, seconds, dependencies));
        return id;
    }

    /** Submits a job that depends on itself or on a job that was never submitted: it must be rejected. */
    private void submitImpossibleDependencies(String existingJob) {
        ObjectNode job = ((ObjectNode) scenario.checker.submitted.getOrDefault(existingJob, Codec.object()))
                .deepCopy()
                .put(UserProtocol.JOB_ID, "req-9" + existingJob.substring(4));
        String id = JobDescription.id(job);
        job.putArray(UserProtocol.DEPENDENCIES).add(existingJob).add(world.random.nextBoolean() ? id : UNKNOWN_JOB);
        scenario.users.send(
                scenario.users.drawController(),
                "POST",
                UserProtocol.SUBMISSIONS,
                job,
                response -> scenario.checker.checkRejected(id, response.status()));
    }
}
