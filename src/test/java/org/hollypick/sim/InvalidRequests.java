package org.hollypick.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** Sends each invalid submission twice to all controllers: every response must have the expected status. */
final class InvalidRequests {
    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_UNPROCESSABLE_CONTENT = 422;
    private static final int SENT_WITHIN_MS = 3_000;

    private final ClusterScenario scenario;
    private final SimulatedWorld world;

    InvalidRequests(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
    }

    /** Submits invalid jobs at random times. */
    void submit(int count, long withinMs) {
        for (int i = 0; i < count; i++) {
            String id = "req-8" + String.format("%05d", i);
            world.schedule(world.random.nextInt((int) withinMs), () -> submitInvalidJob(id));
        }
    }

    private void submitInvalidJob(String id) {
        ObjectNode job = JobDescription.batch(id, 1, 5);
        int expectedStatus = makeInvalid(job);
        for (int i = 0; i < scenario.controllers.size(); i++) {
            int controller = i;
            Runnable send = () -> scenario.users.send(
                    controller,
                    "POST",
                    UserProtocol.SUBMISSIONS,
                    job,
                    response -> scenario.checker.checkRejected(id, expectedStatus, response.status()));
            world.schedule(world.random.nextInt(SENT_WITHIN_MS), send);
            world.schedule(world.random.nextInt(SENT_WITHIN_MS), send);
        }
    }

    /** Makes a job invalid in a random way and returns the status with which it must be rejected. */
    private int makeInvalid(ObjectNode job) {
        switch (world.random.nextInt(6)) {
            case 0 -> job.put(UserProtocol.TEAM, "nobody");
            case 1 -> job.put(UserProtocol.CORES, FakeCloud.CPUS + 1.0);
            case 2 -> job.put(UserProtocol.ZONE, "nowhere");
            case 3 -> job.putArray(UserProtocol.MACHINE_TYPES).add("none");
            case 4 ->
                job.put(UserProtocol.KIND, UserProtocol.SERVICE)
                        .put(UserProtocol.TASK_COUNT, (int) (ClusterScenario.TEAM_CORES * scenario.sizeFactor) + 1);
            default -> {
                List<String> fields = new ArrayList<>();
                job.fieldNames().forEachRemaining(fields::add);
                job.remove(fields.get(world.random.nextInt(fields.size())));
                return HTTP_BAD_REQUEST;
            }
        }
        return HTTP_UNPROCESSABLE_CONTENT;
    }
}
