package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;

/** The host of a controller, on which controller processes are started and killed. */
final class SimulatedController implements SimulatedWorld.Endpoint {
    static final String NAME_PREFIX = "bothy-";
    static final String PUBLIC_PREFIX = "p";
    static final String PEER_PREFIX = "m";
    static final String PORT = ":1";
    /** The difference between the clock rates of controllers with successive indexes. */
    private static final double CLOCK_DRIFT = 0.0005;

    final int index;
    String zone = "a";
    /** Whether processes started from now on run the version in production. */
    boolean runsProductionVersion;

    SimulatedWorld.Process process;
    private ControllerProcess controller;
    private final double clockRate;
    private final ClusterScenario scenario;

    SimulatedController(ClusterScenario scenario, int index) {
        this.scenario = scenario;
        this.index = index;
        this.clockRate = 1 + (index - 1) * CLOCK_DRIFT;
    }

    static String name(int index) {
        return NAME_PREFIX + index;
    }

    static String publicAddress(int index) {
        return PUBLIC_PREFIX + index + PORT;
    }

    static String peerAddress(int index) {
        return PEER_PREFIX + index + PORT;
    }

    String name() {
        return name(index);
    }

    void start() {
        process = scenario.world.new Process(name(), clockRate);
        process.limitResources(scenario.socketLimit, scenario.costPerTaskMs);
        controller = scenario.newController(this);
        process.after(0, controller::start);
    }

    /** Kills the process; after the downtime another one starts, see {@link #runsProductionVersion}. */
    void crash(long downtimeMs) {
        if (process.isKilled) {
            return;
        }
        process.isKilled = true;
        scenario.world.schedule(downtimeMs, this::start);
    }

    @Override
    public boolean listens() {
        return !process.isKilled;
    }

    @Override
    public void request(String method, String path, JsonNode body, Consumer<Response> callback) {
        if (scenario.unavailableJob != null && path.equals(UserProtocol.job(scenario.unavailableJob))) {
            callback.accept(new Response(503, Codec.object()));
            return;
        }
        SimulatedWorld.Process receiver = process;
        boolean isHeartbeat = path.equals(AgentProtocol.HEARTBEAT);
        String machine = isHeartbeat ? body.path(AgentProtocol.MACHINE_ID).asText() : null;
        if (isHeartbeat && !receiver.acceptHeartbeat(machine)) {
            callback.accept(Response.notSent());
            return;
        }
        byte[] bytes = body == null ? new byte[0] : Codec.write(body, false);
        AnswerOrderChecker.JobRequest jobRequest =
                AnswerOrderChecker.requestAbout(name(), method, path, body, scenario.world.now);
        Consumer<Response> respond = original -> {
            Response response = scenario.responseFault.apply(jobRequest, original);
            scenario.checker.answerOrder.responseSent(jobRequest, response, scenario.world.now);
            if (isHeartbeat) {
                receiver.heartbeatAnswered(machine);
            }
            scenario.responseObserver.accept(name(), path);
            if (isHeartbeat) {
                checkLaunches(response);
            }
            callback.accept(response);
        };
        receiver.runOrDefer(() -> scenario.metering.run(
                name(),
                RequestMetering.activity(path, body),
                () -> controller.handle(
                        method, path, bytes, reply -> receiver.runAfterSendDelay(() -> respond.accept(reply.get())))));
    }

    private void checkLaunches(Response response) {
        if (response.ok()
                && response.body().path(AgentProtocol.COMMAND_LIST).toString().contains(AgentProtocol.LAUNCH)) {
            scenario.leadership.launchSent(
                    name(), response.body().path(AgentProtocol.FENCING_TOKEN).asLong());
        }
    }

    /** Handles a user's request with a body that may be malformed. */
    void handleRaw(String method, String path, byte[] body, Consumer<Response> callback) {
        SimulatedWorld.Process receiver = process;
        receiver.runOrDefer(() -> controller.handle(
                method, path, body, reply -> receiver.runAfterSendDelay(() -> callback.accept(reply.get()))));
    }

    /** The endpoint for requests from other controllers. */
    SimulatedWorld.Endpoint peerEndpoint() {
        return new SimulatedWorld.Endpoint() {
            @Override
            public boolean listens() {
                return SimulatedController.this.listens();
            }

            @Override
            public void request(String method, String path, JsonNode body, Consumer<Response> callback) {
                SimulatedWorld.Process receiver = process;
                byte[] bytes = body == null ? new byte[0] : Codec.write(body, true);
                receiver.runOrDefer(() -> scenario.metering.run(
                        name(),
                        path,
                        () -> controller.handlePeerRequest(
                                method,
                                path,
                                bytes,
                                reply -> receiver.runAfterSendDelay(() -> callback.accept(reply.get())))));
            }
        };
    }
}
