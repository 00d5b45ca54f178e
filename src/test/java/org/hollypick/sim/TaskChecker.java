package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.io.Codec;

/**
 * Checks the tasks that actually run on the machines: no task runs on two machines at once, before its dependencies
 * have completed, on a machine that its job's constraints (spot, zone, spread, gang) exclude, beyond its team's quota,
 * or longer than allowed after its job was cancelled.
 */
final class TaskChecker {
    /** Allows for rounding errors in sums of decimal amounts. */
    private static final double TOLERANCE = 1e-6;

    /** The behaviour of the tasks of graphs. */
    interface GraphProgram {
        /** Runs a task that has started; {@code finish} completes the attempt unless it was lost or stopped before. */
        void run(String task, long attempt, Runnable finish);
    }

    private final InvariantChecker checker;
    private final long cancellationMs;
    /** The agents on which each task runs now. */
    private final Map<String, Set<FakeAgent>> agentsByTask = new HashMap<>();

    private final Map<String, Set<Integer>> completedByJob = new HashMap<>();
    private final Set<String> startedJobs = new HashSet<>();
    private final Map<String, Integer> startsByJob = new HashMap<>();
    /** Descriptions of the nodes of graphs, by task. */
    final Map<String, JsonNode> graphNodes = new HashMap<>();
    /** Run by the tasks of graphs. */
    GraphProgram graphProgram;
    /** Number of cores that the tasks of a team may use at once, by team. */
    final Map<String, Double> quotaCoresByTeam = new HashMap<>();
    /** Called with each task as soon as it completes. */
    Consumer<String> completionListener = task -> {};

    int starts;
    final Map<String, Integer> startsByTask = new HashMap<>();
    int completedCount;
    /** Number of running tasks that were lost because their agent's lease expired. */
    int lostOnLeaseExpiry;
    /** Tasks that started at any time after a user was told that their job is cancelled. */
    final List<String> startsAfterCancellation = new ArrayList<>();
    /** Number of times that a task of a cancelled job resumed when its machine stopped hanging. */
    int resumedAfterCancellation;

    TaskChecker(InvariantChecker checker, long cancellationMs) {
        this.checker = checker;
        this.cancellationMs = cancellationMs;
    }

    static String jobOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }

    private static int indexOf(String task) {
        return Integer.parseInt(task.substring(task.indexOf('/') + 1));
    }

    /** Records that a task starts on an agent, and checks whether it may. */
    void started(String task, FakeAgent agent, long now) {
        String job = jobOf(task);
        starts++;
        startsByTask.merge(task, 1, Integer::sum);
        startsByJob.merge(job, 1, Integer::sum);
        Set<FakeAgent> agents = agentsByTask.computeIfAbsent(task, name -> new HashSet<>());
        if (!agents.isEmpty()) {
            checker.violations.add("ran_twice " + task + " on " + agent.name);
        }
        agents.add(agent);
        startedJobs.add(job);
        checkDependencies(task);
        checkCancellation(task, now);
        checkQuota(teamOf(task));
        checkPlacement(task, agent);
    }

    private void checkDependencies(String task) {
        for (JsonNode dependency : checker.submitted.get(jobOf(task)).path(UserProtocol.DEPENDENCIES)) {
            if (!isComplete(dependency.asText()) || checker.isAborted(dependency.asText())) {
                checker.violations.add("too_early " + task + " before " + dependency.asText());
            }
        }
    }

    private void checkCancellation(String task, long now) {
        Long cancelledAt = checker.cancelledAt(jobOf(task));
        if (cancelledAt != null) {
            startsAfterCancellation.add(task + " " + (now - cancelledAt) + " ms after");
            if (now > cancelledAt + cancellationMs) {
                checker.violations.add("ran_cancelled (started) " + task);
            }
        }
    }

    private void checkQuota(String team) {
        if (!isWithinQuota(team, 0)) {
            checker.violations.add("quota of " + team + " " + coresOf(team));
        }
    }

    private void checkPlacement(String task, FakeAgent agent) {
        JsonNode spec = specOf(task);
        if (!isAllowed(spec, agent) || !isWellDistributed(spec, jobOf(task), agent.zone)) {
            checker.violations.add("wrong_place " + task + " on " + agent.name);
        }
    }

    private static boolean isAllowed(JsonNode spec, FakeAgent agent) {
        boolean isRightKind = !agent.spot || spec.path(UserProtocol.PREEMPTIBLE).asBoolean();
        boolean isRightZone = !spec.path(UserProtocol.ZONE).isTextual()
                || spec.path(UserProtocol.ZONE).asText().equals(agent.zone);
        return isRightKind && isRightZone;
    }

    /** Whether the job's tasks are spread over the zones, or all in one zone, if the job requires that. */
    private boolean isWellDistributed(JsonNode spec, String job, String zone) {
        int inZone = 0;
        int elsewhere = 0;
        for (Map.Entry<String, Set<FakeAgent>> entry : agentsByTask.entrySet()) {
            if (jobOf(entry.getKey()).equals(job)) {
                for (FakeAgent agent : entry.getValue()) {
                    inZone += agent.zone.equals(zone) ? 1 : 0;
                    elsewhere += agent.zone.equals(zone) ? 0 : 1;
                }
            }
        }
        boolean isSpread = !spec.path(UserProtocol.SPREAD).asBoolean()
                || inZone <= (spec.path(UserProtocol.TASK_COUNT).asInt() + 1) / 2;
        boolean isTogether = !spec.path(UserProtocol.GANG).asBoolean() || elsewhere == 0;
        return isSpread && isTogether;
    }

    /** Records that a task no longer runs on an agent. */
    void stopped(String task, FakeAgent agent) {
        Set<FakeAgent> agents = agentsByTask.get(task);
        if (agents != null) {
            agents.remove(agent);
        }
    }

    /** Records that a task completed successfully. */
    void completed(String task) {
        completedCount++;
        completedByJob.computeIfAbsent(jobOf(task), job -> new HashSet<>()).add(indexOf(task));
        completionListener.accept(task);
    }

    /** Records that a task resumes since its machine stopped hanging before the lease expired. */
    void resumed(String task, long now) {
        Long cancelledAt = checker.cancelledAt(jobOf(task));
        if (cancelledAt != null) {
            resumedAfterCancellation++;
            if (now > cancelledAt + cancellationMs) {
                checker.reportOnce("ran_cancelled (went on after its machine hung) " + task);
            }
        }
    }

    /** Checks that no task of a cancelled job still runs; called periodically. */
    void check(long now) {
        agentsByTask.forEach((task, agents) -> {
            Long cancelledAt = checker.cancelledAt(jobOf(task));
            if (cancelledAt != null && now > cancelledAt + cancellationMs && !agents.isEmpty()) {
                checker.reportOnce("ran_cancelled (still there) " + task);
            }
        });
    }

    /** Number of tasks that run on at least one machine. */
    int runningCount() {
        return (int) agentsByTask.values().stream()
                .filter(agents -> !agents.isEmpty())
                .count();
    }

    /** A graph node as an agent reads it: the fields of the request's template, overridden by those of the node. */
    static ObjectNode describeGraphNode(JsonNode request, JsonNode node) {
        ObjectNode description =
                request.path("task").isObject() ? request.path("task").deepCopy() : Codec.object();
        description.setAll((ObjectNode) node);
        return description;
    }

    /** The description of the task's job, or of its node in a graph; null if neither is known. */
    JsonNode specOf(String task) {
        JsonNode node = graphNodes.get(task);
        if (node != null) {
            return node;
        }
        JsonNode job = checker.submitted.get(jobOf(task));
        return job == null || job.has(UserProtocol.GRAPH_NODES) ? null : job;
    }

    /** Number of cores that a team's running tasks use, including tasks of jobs that have ended. */
    double coresOf(String team) {
        double cores = 0;
        for (Map.Entry<String, Set<FakeAgent>> entry : agentsByTask.entrySet()) {
            if (!entry.getValue().isEmpty() && teamOf(entry.getKey()).equals(team)) {
                cores += entry.getValue().size()
                        * specOf(entry.getKey()).path(UserProtocol.CORES).asDouble();
            }
        }
        return cores;
    }

    /** Whether the team stays within its quota if it uses the given number of cores in addition. */
    boolean isWithinQuota(String team, double extraCores) {
        return coresOf(team) + extraCores <= quotaCoresByTeam.getOrDefault(team, 0.0) + TOLERANCE;
    }

    private String teamOf(String task) {
        return checker.submitted.get(jobOf(task)).path(UserProtocol.TEAM).asText();
    }

    boolean hasStarted(String job) {
        return startedJobs.contains(job);
    }

    /** Whether all tasks of the job have completed, even if no controller has recorded it; always true of a graph. */
    boolean isComplete(String job) {
        JsonNode description = checker.submitted.get(job);
        return description.has(UserProtocol.GRAPH_NODES)
                || completedOf(job) >= description.path(UserProtocol.TASK_COUNT).asInt();
    }

    boolean isTaskComplete(String task) {
        return completedByJob.getOrDefault(jobOf(task), Set.of()).contains(indexOf(task));
    }

    /** Number of tasks of the job that have completed. */
    int completedOf(String job) {
        return completedByJob.getOrDefault(job, Set.of()).size();
    }

    /** A number that increases with each start and each completion of a task of the job. */
    int progressOf(String job) {
        return startsByJob.getOrDefault(job, 0) + completedOf(job);
    }
}
