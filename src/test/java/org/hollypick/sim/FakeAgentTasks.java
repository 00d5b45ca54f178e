package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The tasks on a {@link FakeAgent}: launched, killed and cleared by commands, ended by their completion, their failure
 * or the expiry of the agent's lease.
 */
final class FakeAgentTasks {
    private static final double CORES_TOLERANCE = 1e-6;
    private static final long FAILURE_MS = 500;
    private static final long MIN_FETCH_MS = 2_000;
    private static final int FETCH_SPREAD_MS = 3_000;

    private static final String CAUSE_DONE = "done";
    private static final String CAUSE_ERROR = "error";
    private static final String CAUSE_STOPPED = "stopped";

    private enum Status {
        FETCHING("fetching"),
        RUNNING("running"),
        EXITED("exited");

        private final String wireName;

        Status(String wireName) {
            this.wireName = wireName;
        }
    }

    private record Attempt(String task, long number) {}

    private static final class Execution {
        private Status status = Status.FETCHING;
        private String cause;
    }

    private final FakeAgent agent;
    private final SimulatedWorld world;
    private final InvariantChecker checker;
    private final Map<Attempt, Execution> executions = new LinkedHashMap<>();
    private final Set<Attempt> cleared = new HashSet<>();
    private final List<String> relaunchedAttempts = new ArrayList<>();
    private final Set<String> images = new HashSet<>();
    /** The verb of the commands that are ignored as if never received; empty for none. */
    private String ignoredVerb = "";
    /**
     * Whether tasks that fetch their image are reported as running, as by an agent that doesn't distinguish the two.
     */
    private boolean reportsFetchingAsRunning;

    FakeAgentTasks(FakeAgent agent, SimulatedWorld world, InvariantChecker checker) {
        this.agent = agent;
        this.world = world;
        this.checker = checker;
    }

    void ignoreCommands(String verb) {
        ignoredVerb = verb;
    }

    void reportFetchingAsRunning() {
        reportsFetchingAsRunning = true;
    }

    /** The attempts that were launched again after they were cleared, without a restart in between. */
    List<String> relaunchedAttempts() {
        return relaunchedAttempts;
    }

    /** The number of reported tasks, exited ones included. */
    int reportedCount() {
        return executions.size();
    }

    /** Names of the tasks that haven't exited. */
    List<String> activeNames() {
        return executions.entrySet().stream()
                .filter(entry -> entry.getValue().status != Status.EXITED)
                .map(entry -> entry.getKey().task)
                .toList();
    }

    void describe(ArrayNode list) {
        executions.forEach((attempt, execution) -> {
            boolean isReportedAsRunning = reportsFetchingAsRunning && execution.status == Status.FETCHING;
            ObjectNode task = list.addObject()
                    .put(AgentProtocol.TASK, attempt.task)
                    .put(AgentProtocol.ATTEMPT, attempt.number)
                    .put(
                            AgentProtocol.STATUS,
                            isReportedAsRunning ? Status.RUNNING.wireName : execution.status.wireName);
            if (execution.cause != null) {
                task.put(AgentProtocol.CAUSE, execution.cause);
            }
        });
    }

    /** Reports to the checker that the running tasks have resumed after a hang of the machine. */
    void resume() {
        executions.forEach((attempt, execution) -> {
            if (execution.status == Status.RUNNING) {
                checker.tasks.resumed(attempt.task, world.now);
            }
        });
    }

    /** Ends all tasks with the machine or its process. */
    void loseAll() {
        executions.keySet().forEach(attempt -> checker.tasks.stopped(attempt.task, agent));
        executions.clear();
        cleared.clear();
    }

    /** Ends all tasks at the expiry of the lease. */
    void expire() {
        executions.forEach((attempt, execution) -> {
            checker.tasks.lostOnLeaseExpiry += execution.status == Status.RUNNING ? 1 : 0;
            checker.tasks.stopped(attempt.task, agent);
        });
        executions.clear();
    }

    void discardImages() {
        images.clear();
    }

    void execute(JsonNode commands) {
        for (JsonNode command : commands) {
            String verb = command.path(AgentProtocol.VERB).asText();
            if (!verb.equals(ignoredVerb)) {
                execute(verb, command);
            }
        }
    }

    private void execute(String verb, JsonNode command) {
        Attempt attempt = new Attempt(
                command.path(AgentProtocol.TASK).asText(),
                command.path(AgentProtocol.ATTEMPT).asLong());
        Execution execution = executions.get(attempt);
        boolean isActive = execution != null && execution.status != Status.EXITED;
        switch (verb) {
            case AgentProtocol.LAUNCH -> {
                if (execution == null) {
                    launch(attempt);
                }
            }
            case AgentProtocol.KILL -> {
                if (isActive) {
                    exit(attempt, execution, CAUSE_STOPPED);
                }
            }
            case AgentProtocol.CLEAR -> {
                if (execution != null && !isActive) {
                    executions.remove(attempt);
                    cleared.add(attempt);
                    agent.clearListener.accept(agent);
                }
            }
            default -> throw new AssertionError("unknown verb in command " + command);
        }
    }

    private void launch(Attempt attempt) {
        if (cleared.contains(attempt)) {
            relaunchedAttempts.add(attempt.task + "@" + attempt.number + " on " + agent.name);
        }
        Execution execution = new Execution();
        JsonNode spec = checker.tasks.specOf(attempt.task);
        String refusal = refusal(attempt, spec);
        executions.put(attempt, execution);
        if (refusal != null) {
            exit(attempt, execution, refusal);
            return;
        }
        String image = spec.path(UserProtocol.IMAGE).asText();
        long fetchMs = images.contains(image) ? 0 : MIN_FETCH_MS + world.random.nextInt(FETCH_SPREAD_MS);
        agent.schedule(fetchMs, () -> {
            if (executions.get(attempt) == execution && execution.status == Status.FETCHING) {
                images.add(image);
                start(attempt, execution, spec);
            }
        });
    }

    /** The cause for which the launch is refused; null if the task can be launched. */
    private String refusal(Attempt attempt, JsonNode spec) {
        if (spec == null) {
            return "unknown";
        }
        double cores = spec.path(UserProtocol.CORES).asDouble();
        for (String active : activeNames()) {
            if (active.equals(attempt.task)) {
                return "busy";
            }
            cores += checker.tasks.specOf(active).path(UserProtocol.CORES).asDouble();
        }
        return cores > agent.cores() + CORES_TOLERANCE ? "full" : null;
    }

    private void start(Attempt attempt, Execution execution, JsonNode spec) {
        execution.status = Status.RUNNING;
        checker.tasks.started(attempt.task, agent, world.now);
        agent.statusChanged();
        boolean isGraphNode = checker.tasks.graphNodes.containsKey(attempt.task);
        if (agent.isFaulty() || (isGraphNode && spec.path("fails").asBoolean())) {
            agent.schedule(FAILURE_MS, () -> end(attempt, execution, CAUSE_ERROR));
        } else if (isGraphNode) {
            checker.tasks.graphProgram.run(
                    attempt.task, attempt.number, () -> agent.runOrDefer(() -> end(attempt, execution, CAUSE_DONE)));
        } else if (spec.path(UserProtocol.KIND).asText().equals(UserProtocol.BATCH)) {
            long ms = (long) (spec.path(UserProtocol.EXPECTED_S).asDouble() * (500 + world.random.nextInt(1_000)));
            agent.afterRunning(ms, () -> end(attempt, execution, CAUSE_DONE));
        }
    }

    private void end(Attempt attempt, Execution execution, String cause) {
        if (executions.get(attempt) == execution && execution.status == Status.RUNNING) {
            if (cause.equals(CAUSE_DONE)) {
                checker.tasks.completed(attempt.task);
            }
            exit(attempt, execution, cause);
        }
    }

    private void exit(Attempt attempt, Execution execution, String cause) {
        if (execution.status == Status.RUNNING) {
            checker.tasks.stopped(attempt.task, agent);
        }
        execution.status = Status.EXITED;
        execution.cause = cause;
        agent.statusChanged();
    }
}
