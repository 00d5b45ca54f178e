package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Checks what the tasks on the machines really do: none runs twice, before its dependencies, in a wrong place, beyond
 * its team's quota, or for long after its job was cancelled.
 */
final class TaskChecker {
    /** Amounts are sums of decimal numbers. */
    private static final double TOLERANCE = 1e-6;

    /** What a graph's task does. */
    interface GraphProgram {
        /** The task runs; {@code finish} ends it, unless it was lost or stopped meanwhile. */
        void run(String task, long attempt, Runnable finish);
    }

    private final InvariantChecker checker;
    private final long cancellationMs;
    private final Map<String, Set<FakeAgent>> agentsByTask = new HashMap<>();
    private final Map<String, Set<Integer>> completedByJob = new HashMap<>();
    private final Set<String> startedJobs = new HashSet<>();
    private final Map<String, Integer> startsByJob = new HashMap<>();
    /** Descriptions of graphs' nodes by task. */
    final Map<String, JsonNode> graphNodes = new HashMap<>();
    /** What the tasks of graphs do while they run. */
    GraphProgram graphProgram;
    /** Cores that each team's tasks may take together. */
    final Map<String, Double> quotaCoresByTeam = new HashMap<>();
    /** Called with each task in the moment when it completes. */
    Consumer<String> completionListener = task -> {};

    int starts;
    final Map<String, Integer> startsByTask = new HashMap<>();
    int completedCount;
    /** Tasks that ended with their agent's lease. */
    int lostOnLeaseExpiry;
    /** Tasks that started after a user was told that their job is cancelled, however soon after. */
    final List<String> startsAfterCancellation = new ArrayList<>();
    /** Tasks of cancelled jobs that went on, for a moment or longer, when their machine no longer hung. */
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

    /** Whether a job is spread over the zones, or together in one, as it asks for. */
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

    /** The task no longer runs on that machine. */
    void stopped(String task, FakeAgent agent) {
        Set<FakeAgent> agents = agentsByTask.get(task);
        if (agents != null) {
            agents.remove(agent);
        }
    }

    void completed(String task) {
        completedCount++;
        completedByJob.computeIfAbsent(jobOf(task), job -> new HashSet<>()).add(indexOf(task));
        completionListener.accept(task);
    }

    /** Its machine no longer hangs, within its lease, and the task goes on. */
    void resumed(String task, long now) {
        Long cancelledAt = checker.cancelledAt(jobOf(task));
        if (cancelledAt != null) {
            resumedAfterCancellation++;
            if (now > cancelledAt + cancellationMs) {
                checker.reportOnce("ran_cancelled (went on after its machine hung) " + task);
            }
        }
    }

    /** Checked regularly: no task of a cancelled job still runs. */
    void check(long now) {
        agentsByTask.forEach((task, agents) -> {
            Long cancelledAt = checker.cancelledAt(jobOf(task));
            if (cancelledAt != null && now > cancelledAt + cancellationMs && !agents.isEmpty()) {
                checker.reportOnce("ran_cancelled (still there) " + task);
            }
        });
    }

    /** Tasks that run somewhere. */
    int runningCount() {
        return (int) agentsByTask.values().stream()
                .filter(agents -> !agents.isEmpty())
                .count();
    }

    /** The description of the task's job, or of its node in a graph; null if nobody submitted it. */
    JsonNode specOf(String task) {
        JsonNode node = graphNodes.get(task);
        if (node != null) {
            return node;
        }
        JsonNode job = checker.submitted.get(jobOf(task));
        return job == null || job.has(UserProtocol.GRAPH_NODES) ? null : job;
    }

    /** Cores that a team's tasks take together now, whether their jobs have ended or not. */
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

    /** Whether that many cores more keep the team's quota. */
    boolean isWithinQuota(String team, double cores) {
        return coresOf(team) + cores <= quotaCoresByTeam.getOrDefault(team, 0.0) + TOLERANCE;
    }

    private String teamOf(String task) {
        return checker.submitted.get(jobOf(task)).path(UserProtocol.TEAM).asText();
    }

    boolean hasStarted(String job) {
        return startedJobs.contains(job);
    }

    /** All tasks of the job have completed, whether any controller knows it or not; true of every graph. */
    boolean isComplete(String job) {
        JsonNode description = checker.submitted.get(job);
        return description.has(UserProtocol.GRAPH_NODES)
                || completedOf(job) >= description.path(UserProtocol.TASK_COUNT).asInt();
    }

    boolean isTaskComplete(String task) {
        return completedByJob.getOrDefault(jobOf(task), Set.of()).contains(indexOf(task));
    }

    /** How many tasks of the job have completed. */
    int completedOf(String job) {
        return completedByJob.getOrDefault(job, Set.of()).size();
    }

    /** Grows with each start and each completion of a task of the job. */
    int progressOf(String job) {
        return startsByJob.getOrDefault(job, 0) + completedOf(job);
    }
}
