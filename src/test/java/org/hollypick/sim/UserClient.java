package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/**
 * Simulates users of the cluster, who submit, query, resubmit and cancel jobs, and passes the responses to the
 * {@link InvariantChecker}.
 */
final class UserClient {
    private static final String USER = "user";
    private static final long SUBMIT_TIMEOUT_MS = 5_000;
    private static final long QUERY_TIMEOUT_MS = 2_000;
    private static final long RETRY_MS = 1_000;
    /** Milliseconds for which a submission is retried until it is accepted. */
    private static final long SUBMIT_RETRY_PERIOD_MS = 60_000;

    /** Batch jobs are cancelled with a chance of one in this many; services always are. */
    int cancelOneIn = 6;

    private final ClusterScenario scenario;
    private final SimulatedWorld world;
    private final InvariantChecker checker;
    private final Set<String> neverCancelled = new HashSet<>();

    UserClient(ClusterScenario scenario) {
        this.scenario = scenario;
        this.world = scenario.world;
        this.checker = scenario.checker;
    }

    /** Excludes a job from random cancellation. */
    void neverCancel(String id) {
        neverCancelled.add(id);
    }

    boolean mayCancel(String id) {
        return !neverCancelled.contains(id);
    }

    /** Submits a job, with retries until it is accepted; then polls and resubmits it, and may cancel it. */
    void submit(String id, ObjectNode job) {
        checker.jobSubmitted(id, job, world.now);
        submit(id, job, world.now + SUBMIT_RETRY_PERIOD_MS);
    }

    private void submit(String id, ObjectNode job, long until) {
        long sentAt = world.now;
        send(drawController(), "POST", UserProtocol.SUBMISSIONS, job, response -> {
            if (isAccepted(response)) {
                checker.jobAnswered(id, status(response), sentAt, world.now);
                poll(id);
                boolean isService = job.path(UserProtocol.KIND).asText().equals(UserProtocol.SERVICE);
                if (mayCancel(id) && (isService || world.random.nextInt(cancelOneIn) == 0)) {
                    world.schedule(world.random.nextInt(60_000), () -> cancel(id));
                }
                world.schedule(world.random.nextInt(100_000), () -> resubmitAt(drawController(), id, job));
            } else {
                checker.requestRejected(id, response.status(), sentAt);
                if (world.now < until) {
                    world.schedule(RETRY_MS, () -> submit(id, job, until));
                }
            }
        });
    }

    /** Submits the job as soon as all its dependencies are accepted. */
    void submitWhenAccepted(String id, ObjectNode job) {
        for (JsonNode dependency : job.path(UserProtocol.DEPENDENCIES)) {
            if (!checker.isAccepted(dependency.asText())) {
                world.schedule(50, () -> submitWhenAccepted(id, job));
                return;
            }
        }
        submit(id, job);
    }

    /** Repeats the submission of an accepted job at one controller. */
    void resubmitAt(int controller, String id, JsonNode job) {
        long sentAt = world.now;
        send(controller, "POST", UserProtocol.SUBMISSIONS, job, response -> {
            if (isAccepted(response)) {
                checker.jobAnswered(id, status(response), sentAt, world.now);
            } else {
                checker.requestRejected(id, response.status(), sentAt);
            }
        });
    }

    private void poll(String id) {
        long sentAt = world.now;
        send(drawController(), "GET", UserProtocol.job(id), null, QUERY_TIMEOUT_MS, response -> {
            if (response.status() == 200) {
                checker.jobAnswered(id, status(response), sentAt, world.now);
            } else if (response.status() == 404) {
                checker.requestRejected(id, 404, sentAt);
            }
            world.schedule(1_000 + world.random.nextInt(2_000), () -> poll(id));
        });
    }

    void cancel(String id) {
        cancelAt(drawController(), id);
    }

    /** Cancels a job at one controller; retried at random controllers until the response is 200. */
    void cancelAt(int controller, String id) {
        checker.cancellationRequested(id);
        long sentAt = world.now;
        send(controller, "POST", UserProtocol.job(id) + UserProtocol.CANCEL, Codec.object(), response -> {
            if (response.status() == 200) {
                checker.jobAnswered(id, status(response), sentAt, world.now);
            } else {
                checker.requestRejected(id, response.status(), sentAt);
                world.schedule(RETRY_MS, () -> cancel(id));
            }
        });
    }

    /** Queries a job, its estimate or a graph at one controller. */
    void queryAt(int controller, String id, String path) {
        long sentAt = world.now;
        send(controller, "GET", path, null, QUERY_TIMEOUT_MS, response -> {
            if (response.status() == 200) {
                checker.jobAnswered(id, status(response), sentAt, world.now);
            } else {
                checker.requestRejected(id, response.status(), sentAt);
            }
        });
    }

    /** Queries a job at all controllers at once. */
    void queryAllControllers(String id) {
        long sentAt = world.now;
        for (SimulatedController controller : scenario.controllers) {
            send(controller.index, "GET", UserProtocol.job(id), null, QUERY_TIMEOUT_MS, response -> {
                if (response.status() == 200) {
                    checker.jobAnswered(id, status(response), sentAt, world.now);
                }
            });
        }
    }

    /** Sends a request to a random controller and advances the simulation until the response arrives. */
    Response request(String method, String path, JsonNode body) {
        return requestAt(drawController(), method, path, body);
    }

    /** Sends a request to one controller and advances the simulation until the response arrives. */
    Response requestAt(int controller, String method, String path, JsonNode body) {
        if (path.equals(UserProtocol.SUBMISSIONS)) {
            String id = body.path(UserProtocol.JOB_ID).asText();
            if (!checker.submitted.containsKey(id)) {
                checker.jobSubmitted(id, body, world.now);
            }
        }
        if (path.endsWith(UserProtocol.CANCEL)) {
            checker.cancellationRequested(idIn(path));
        }
        AtomicReference<Response> received = new AtomicReference<>();
        long sentAt = world.now;
        send(controller, method, path, body, response -> {
            received.set(response);
            if (response.status() == 200 && path.startsWith(UserProtocol.SUBMISSIONS + "/")) {
                checker.jobAnswered(idIn(path), status(response), sentAt, world.now);
            }
        });
        while (received.get() == null) {
            scenario.advance(10);
        }
        return received.get();
    }

    /** Sends a request with an undecoded body to a random controller. */
    void sendRaw(String method, String path, byte[] body, Consumer<Response> callback) {
        SimulatedController controller = scenario.controllers.get(world.random.nextInt(scenario.controllers.size()));
        if (controller.listens()) {
            controller.handleRaw(method, path, body, callback);
        } else {
            world.schedule(10, () -> callback.accept(new Response(503, Codec.object())));
        }
    }

    /** The status with which a controller answers its readiness check. */
    int readinessStatus(int controller) {
        AtomicReference<Integer> status = new AtomicReference<>(0);
        scenario.controllers.get(controller).request("GET", "/ready", null, response -> status.set(response.status()));
        scenario.advance(10);
        return status.get();
    }

    int drawController() {
        return world.random.nextInt(ClusterScenario.CONTROLLERS);
    }

    /** Sends a request to one controller; the response isn't passed to the checker. */
    void send(int controller, String method, String path, JsonNode body, Consumer<Response> callback) {
        send(controller, method, path, body, SUBMIT_TIMEOUT_MS, callback);
    }

    private void send(
            int controller, String method, String path, JsonNode body, long timeoutMs, Consumer<Response> callback) {
        String address = SimulatedController.publicAddress(controller);
        world.send(USER, new Request(address, method, path, body, timeoutMs, false), callback);
    }

    private static boolean isAccepted(Response response) {
        return response.status() == 200 || response.status() == 201;
    }

    private static String status(Response response) {
        return response.body().path(UserProtocol.STATUS).asText();
    }

    private static String idIn(String path) {
        return path.split("/")[2];
    }
}
