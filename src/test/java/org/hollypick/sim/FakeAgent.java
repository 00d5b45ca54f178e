package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/**
 * A simulated agent, written from the agents' protocol: heartbeats, the agent's lease, incarnations, fencing tokens and
 * repeated commands.
 */
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
    /** Actions that became due while the machine hung. */
    private final List<Runnable> deferred = new ArrayList<>();

    private boolean isTerminated;
    private boolean isHung;
    /** The total time for which the machine has hung; its tasks make no progress meanwhile. */
    private long hungMs;
    /** The number of restarts of the process; actions that an earlier process scheduled are discarded. */
    private int restartCount;

    private boolean isDown;
    private boolean isFaulty;
    /** Called when an exited attempt was cleared: from then on the agent doesn't know it. */
    Consumer<FakeAgent> clearListener = agent -> {};

    /** Called when the process is up again after a restart. */
    Consumer<FakeAgent> restartListener = agent -> {};
    /** Whether commands are executed whatever their fencing token and incarnation, in violation of the protocol. */
    boolean ignoresFencing;
    /** The index of the controller that the next heartbeat is sent to. */
    private int controller;

    private long incarnation = 1;
    private long sequence;
    /** The highest fencing token received. */
    private long fencingToken;

    /** When a higher fencing token last counted as a change of the status: at most once in half a lease. */
    private long tokenReportedAt = Long.MIN_VALUE / 2;

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

    /** The highest fencing token received. */
    long fencingToken() {
        return fencingToken;
    }

    boolean isTerminated() {
        return isTerminated;
    }

    boolean isFaulty() {
        return isFaulty;
    }

    /** Whether the process is up, the machine doesn't hang and tasks don't fail on it. */
    boolean isHealthy() {
        return !isTerminated && !isDown && !isHung && !isFaulty;
    }

    /** The number of tasks in its heartbeats, exited ones included. */
    int reportedTasks() {
        return tasks.reportedCount();
    }

    /** The number of tasks that haven't exited. */
    int activeTasks() {
        return tasks.activeNames().size();
    }

    /** The attempts that were launched, exited, cleared and launched once more by the same process. */
    List<String> relaunchedAttempts() {
        return tasks.relaunchedAttempts();
    }

    /** Names of the tasks that haven't exited. */
    List<String> activeTaskNames() {
        return tasks.activeNames();
    }

    /** Whether the machine has a task of the given job that hasn't exited. */
    boolean hasActiveTaskOf(String job) {
        return tasks.activeNames().stream().anyMatch(task -> task.startsWith(job + "/"));
    }

    /** Ignores all further commands with the given verb, so that tests of the checkers can violate invariants. */
    void ignoreCommands(String verb) {
        tasks.ignoreCommands(verb);
    }

    /** Reports tasks that fetch their image as running from now on. */
    void reportFetchingAsRunning() {
        tasks.reportFetchingAsRunning();
    }

    /** Makes all tasks that start from now on fail shortly after their start. */
    void makeFaulty() {
        isFaulty = true;
    }

    /** Terminates the machine with all its tasks. */
    void terminate() {
        isTerminated = true;
        tasks.loseAll();
    }

    /** Hangs the machine for the given time; actions that become due meanwhile run afterwards. */
    void hang(long durationMs) {
        isHung = true;
        world.schedule(durationMs, () -> {
            isHung = false;
            hungMs += durationMs;
            checkLease();
            tasks.resume();
            List<Runnable> due = new ArrayList<>(deferred);
            deferred.clear();
            due.forEach(this::runOrDefer);
        });
    }

    void hangLater(long delayMs, long durationMs) {
        world.schedule(delayMs, () -> hang(durationMs));
    }

    /**
     * Ends the process and starts it again after the downtime, without tasks and images. Does nothing if the machine is
     * terminated or hangs, or if the process is already down.
     *
     * @param losesState whether the new process starts with the first incarnation and no fencing token
     */
    void restart(long downtimeMs, boolean losesState) {
        restart(downtimeMs, losesState, false);
    }

    /** As {@link #restart(long, boolean)}; {@code keepsImages}: whether the images are on the machine's disk. */
    void restart(long downtimeMs, boolean losesState, boolean keepsImages) {
        if (isTerminated || isDown || isHung) {
            return;
        }
        isDown = true;
        restartCount++;
        tasks.loseAll();
        if (!keepsImages) {
            tasks.discardImages();
        }
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
            restartListener.accept(this);
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

    /** Runs an action after a delay, deferred while the machine hangs; never if the process has ended by then. */
    void schedule(long delayMs, Runnable action) {
        int restartCountBefore = restartCount;
        world.schedule(delayMs, () -> run(restartCountBefore, action));
    }

    /** Runs an action now, or once the machine no longer hangs. */
    void runOrDefer(Runnable action) {
        run(restartCount, action);
    }

    private void run(int restartCountBefore, Runnable action) {
        if (isTerminated || isDown || restartCountBefore != restartCount) {
            return;
        }
        if (isHung) {
            deferred.add(action);
        } else {
            checkLease();
            action.run();
        }
    }

    /** Runs an action after the given running time, which excludes the time for which the machine hangs. */
    void afterRunning(long runningMs, Runnable action) {
        long hungMsBefore = hungMs;
        schedule(runningMs, () -> {
            if (hungMs > hungMsBefore) {
                afterRunning(hungMs - hungMsBefore, action);
            } else {
                action.run();
            }
        });
    }

    /** Checks the lease regularly; its expiry ends the tasks even while the machine hangs. */
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

    /** Sends the next heartbeat as soon as the minimum interval allows, since the reported status has changed. */
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
        long sentIncarnation = incarnation;
        int restartCountBefore = restartCount;
        Request heartbeat = new Request(
                controllers.get(controller), "POST", AgentProtocol.HEARTBEAT, describe(), HEARTBEAT_TIMEOUT_MS, false);
        world.send(
                name,
                heartbeat,
                response -> run(restartCountBefore, () -> {
                    isHeartbeatInFlight = false;
                    heartbeatAnswered(response, sentAt, sentIncarnation);
                }));
    }

    private void heartbeatAnswered(Response response, long sentAt, long sentIncarnation) {
        JsonNode body = response.body();
        if (response.status() == 200
                && incarnation == sentIncarnation
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

    private void sendNextHeartbeatAfter(long delayMs) {
        schedule(delayMs, () -> lastHeartbeatAt = 0);
    }

    private void executeUnderToken(JsonNode commands) {
        long token = commands.path(AgentProtocol.FENCING_TOKEN).asLong();
        boolean isReportedToken = token > fencingToken && world.now - tokenReportedAt >= leaseMs / 2;
        fencingToken = Math.max(fencingToken, token);
        tasks.execute(commands.path(AgentProtocol.COMMAND_LIST));
        if (isReportedToken) {
            tokenReportedAt = world.now;
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
