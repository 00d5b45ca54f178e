package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/** An agent, written from its protocol: heartbeats, its lease, incarnations, fencing tokens and repeated commands. */
final class FakeAgent implements SimulatedWorld.Endpoint {
    private static final long LEASE_CHECK_MS = 100;
    private static final long HEARTBEAT_CHECK_MS = 200;
    private static final long MIN_HEARTBEAT_INTERVAL_MS = 500;
    private static final long HEARTBEAT_INTERVAL_MS = 2_250;
    private static final int HEARTBEAT_JITTER_MS = 1_500;
    private static final long HEARTBEAT_TIMEOUT_MS = 4_000;
    private static final long REDIRECT_DELAY_MS = 300;
    private static final long RETRY_DELAY_MS = 1_000;

    final String name;
    final String address;
    final String zone;
    final boolean spot;
    private final SimulatedWorld world;
    private final List<String> controllers;
    private final long leaseMs;
    private final double cores;
    private final FakeAgentTasks tasks;
    /** What was due while the machine hung. */
    private final List<Runnable> deferred = new ArrayList<>();

    private boolean isTerminated;
    private boolean isHung;
    /** For how long it has hung in all: its tasks don't run meanwhile. */
    private long hungMs;
    /** Counts the starts of the process: what an earlier one has under way means nothing to the present one. */
    private int restartCount;

    private boolean isDown;
    private boolean isFaulty;
    /** It executes commands of any fencing token and incarnation: breaks the agents' guarantees. */
    boolean ignoresFencing;
    /** The controller that gets the next heartbeat. */
    private int controller;

    private long incarnation = 1;
    private long sequence;
    /** The highest that it has seen. */
    private long fencingToken;

    private long leaseRenewedAt;
    private boolean isHeartbeatInFlight;
    private long lastHeartbeatAt;

    FakeAgent(
            SimulatedWorld world,
            InvariantChecker checker,
            List<String> controllers,
            MachineIdentity machine,
            long leaseMs) {
        this.world = world;
        this.controllers = controllers;
        this.name = machine.name();
        this.address = machine.address();
        this.zone = machine.zone();
        this.spot = machine.spot();
        this.cores = machine.cores();
        this.leaseMs = leaseMs;
        this.tasks = new FakeAgentTasks(this, world, checker);
        this.leaseRenewedAt = world.now;
        this.controller = world.random.nextInt(controllers.size());
        scheduleHeartbeats();
        watchLease();
    }

    double cores() {
        return cores;
    }

    /** The highest fencing token that it has seen. */
    long fencingToken() {
        return fencingToken;
    }

    boolean isTerminated() {
        return isTerminated;
    }

    boolean isFaulty() {
        return isFaulty;
    }

    /** Its process is up and its tasks don't fail. */
    boolean isHealthy() {
        return !isTerminated && !isDown && !isHung && !isFaulty;
    }

    /** Tasks that it reports, exited ones included. */
    int reportedTasks() {
        return tasks.reportedCount();
    }

    /** Tasks that haven't exited. */
    int activeTasks() {
        return tasks.activeNames().size();
    }

    /** Names of the tasks that haven't exited. */
    List<String> activeTaskNames() {
        return tasks.activeNames();
    }

    /** Whether a task of that job is on it and hasn't exited. */
    boolean hasActiveTaskOf(String job) {
        return tasks.activeNames().stream().anyMatch(task -> task.startsWith(job + "/"));
    }

    /** Ignores commands with that verb from now on: breaks invariants in tests of the checker. */
    void ignoreCommands(String verb) {
        tasks.ignoreCommands(verb);
    }

    /** Reports tasks that wait for their image as running from now on. */
    void reportFetchingAsRunning() {
        tasks.reportFetchingAsRunning();
    }

    /** From now on its tasks fail soon after they started. */
    void makeFaulty() {
        isFaulty = true;
    }

    /** The machine is gone with all its tasks. */
    void terminate() {
        isTerminated = true;
        tasks.loseAll();
    }

    /** The machine does nothing for a while; what was due meanwhile happens then. */
    void hang(long ms) {
        isHung = true;
        world.schedule(ms, () -> {
            isHung = false;
            hungMs += ms;
            checkLease();
            tasks.resume();
            List<Runnable> due = new ArrayList<>(deferred);
            deferred.clear();
            due.forEach(this::runOrDefer);
        });
    }

    void hangLater(long afterMs, long ms) {
        world.schedule(afterMs, () -> hang(ms));
    }

    /**
     * The process ends and is back after a while without tasks and images.
     *
     * @param losesState whether it is back as if it had never run, with its first incarnation and no fencing token
     */
    void restart(long downtimeMs, boolean losesState) {
        if (isTerminated || isDown || isHung) {
            return;
        }
        isDown = true;
        restartCount++;
        tasks.loseAll();
        tasks.forgetImages();
        world.schedule(downtimeMs, () -> {
            isDown = false;
            isHeartbeatInFlight = false;
            leaseRenewedAt = world.now;
            if (losesState) {
                incarnation = 1;
                sequence = 0;
                fencingToken = 0;
            }
            scheduleHeartbeats();
        });
    }

    @Override
    public boolean listens() {
        return !isTerminated && !isDown;
    }

    @Override
    public int restartCount() {
        return restartCount;
    }

    /** Runs after a while: later if the machine hangs then, never if the process has ended. */
    void schedule(long ms, Runnable action) {
        int startedAs = restartCount;
        world.schedule(ms, () -> run(startedAs, action));
    }

    /** Runs now, or once the machine no longer hangs. */
    void runOrDefer(Runnable action) {
        run(restartCount, action);
    }

    private void run(int startedAs, Runnable action) {
        if (isTerminated || isDown || startedAs != restartCount) {
            return;
        }
        if (isHung) {
            deferred.add(action);
        } else {
            checkLease();
            action.run();
        }
    }

    /** Runs once the machine has worked for so long, times in which it hung left out. */
    void afterRunning(long ms, Runnable action) {
        long hungBefore = hungMs;
        schedule(ms, () -> {
            if (hungMs > hungBefore) {
                afterRunning(hungMs - hungBefore, action);
            } else {
                action.run();
            }
        });
    }

    /** Tasks end with the lease even on a machine that hangs. */
    private void watchLease() {
        world.schedule(LEASE_CHECK_MS, () -> {
            if (!isTerminated) {
                checkLease();
                watchLease();
            }
        });
    }

    private void checkLease() {
        if (!isDown && world.now - leaseRenewedAt > leaseMs) {
            tasks.expire();
            incarnation++;
            leaseRenewedAt = world.now;
        }
    }

    private void scheduleHeartbeats() {
        schedule(HEARTBEAT_CHECK_MS, () -> {
            if (!isHeartbeatInFlight
                    && world.now - lastHeartbeatAt
                            > HEARTBEAT_INTERVAL_MS + world.random.nextInt(HEARTBEAT_JITTER_MS)) {
                sendHeartbeat();
            }
            scheduleHeartbeats();
        });
    }

    /** The next heartbeat is sent soon: there is news. */
    void statusChanged() {
        schedule(Math.max(0, MIN_HEARTBEAT_INTERVAL_MS - (world.now - lastHeartbeatAt)), () -> {
            if (!isHeartbeatInFlight) {
                sendHeartbeat();
            }
        });
    }

    private void sendHeartbeat() {
        isHeartbeatInFlight = true;
        lastHeartbeatAt = world.now;
        long sentAt = world.now;
        long sentAs = incarnation;
        int startedAs = restartCount;
        Request heartbeat = new Request(
                controllers.get(controller), "POST", AgentProtocol.HEARTBEAT, describe(), HEARTBEAT_TIMEOUT_MS, false);
        world.send(
                name,
                heartbeat,
                response -> run(startedAs, () -> {
                    isHeartbeatInFlight = false;
                    heartbeatAnswered(response, sentAt, sentAs);
                }));
    }

    private void heartbeatAnswered(Response response, long sentAt, long sentAs) {
        JsonNode body = response.body();
        if (response.status() == 200
                && incarnation == sentAs
                && world.now - sentAt <= HEARTBEAT_TIMEOUT_MS
                && body.path(AgentProtocol.FENCING_TOKEN).asLong() >= fencingToken) {
            leaseRenewedAt = sentAt;
            executeUnderToken(body);
        } else if (response.status() == 421 && body.path(AgentProtocol.LEADER).isTextual()) {
            followRedirect(body.path(AgentProtocol.LEADER).asText());
        } else if (response.status() != 200) {
            controller = (controller + 1) % controllers.size();
            sendNextHeartbeatAfter(RETRY_DELAY_MS);
        }
    }

    private void followRedirect(String leader) {
        controller = Integer.parseInt(leader.substring(SimulatedController.NAME_PREFIX.length()));
        sendNextHeartbeatAfter(REDIRECT_DELAY_MS);
    }

    private void sendNextHeartbeatAfter(long ms) {
        schedule(ms, () -> lastHeartbeatAt = 0);
    }

    private void executeUnderToken(JsonNode commands) {
        long token = commands.path(AgentProtocol.FENCING_TOKEN).asLong();
        boolean isNewToken = token > fencingToken;
        fencingToken = Math.max(fencingToken, token);
        tasks.execute(commands.path(AgentProtocol.COMMAND_LIST));
        if (isNewToken) {
            statusChanged();
        }
    }

    @Override
    public void request(String method, String path, JsonNode body, Consumer<Response> callback) {
        runOrDefer(() -> {
            if (path.equals(AgentProtocol.INSPECT)) {
                callback.accept(new Response(200, describe()));
            } else if (!ignoresFencing
                    && (body.path(AgentProtocol.FENCING_TOKEN).asLong() < fencingToken
                            || body.path(AgentProtocol.INCARNATION).asLong() != incarnation)) {
                callback.accept(new Response(409, describe()));
            } else {
                executeUnderToken(body);
                callback.accept(new Response(200, describe()));
            }
        });
    }

    private ObjectNode describe() {
        ObjectNode description = Codec.object()
                .put(AgentProtocol.MACHINE_ID, name)
                .put(AgentProtocol.ADDRESS, address)
                .put(AgentProtocol.MACHINE_TYPE, FakeCloud.TYPE)
                .put(AgentProtocol.ZONE, zone)
                .put(AgentProtocol.SPOT, spot)
                .put(AgentProtocol.INCARNATION, incarnation)
                .put(AgentProtocol.HEARTBEAT_SEQUENCE, ++sequence)
                .put(AgentProtocol.FENCING_TOKEN, fencingToken);
        tasks.describe(description.putArray(AgentProtocol.TASKS));
        return description;
    }
}
