package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that after the faults have ended no job stays pending for 90 s while a suitable machine has enough free
 * capacity and its team's quota allows another task. Capacity is computed from the tasks that are actually on the
 * machines, not from the state of any controller.
 */
final class StarvationChecker {
    /** Milliseconds for which a job may stay pending although a task of it could be placed; set by the operators. */
    static final long STARVATION_MS = 90_000;
    /** Allows for rounding errors in sums of decimal amounts. */
    private static final double TOLERANCE = 1e-6;

    /**
     * A job that is pending although a task of it could be placed.
     *
     * @param since the time of the check that found the job in this state first, or first after its last progress
     * @param progress {@link TaskChecker#progressOf} at that time
     */
    private record Pending(long since, int progress) {}

    /** The resources that the tasks on a machine use. */
    private record Usage(double cores, double memoryGb) {
        Usage plus(JsonNode spec) {
            return new Usage(
                    cores + spec.path(UserProtocol.CORES).asDouble(),
                    memoryGb + spec.path(UserProtocol.MEMORY_GB).asDouble());
        }

        boolean fits() {
            return cores <= FakeCloud.CPUS + TOLERANCE && memoryGb <= FakeCloud.RAM_GB + TOLERANCE;
        }
    }

    private final InvariantChecker checker;
    private final FakeCloud cloud;
    private final Map<String, Pending> pending = new HashMap<>();
    /** The resources in use on each machine, as of the last check. */
    private final Map<FakeAgent, Usage> usageByAgent = new HashMap<>();
    /** Number of tasks by job and zone, as of the last check. */
    private final Map<String, Map<String, Integer>> tasksByZone = new HashMap<>();

    StarvationChecker(InvariantChecker checker, FakeCloud cloud) {
        this.checker = checker;
        this.cloud = cloud;
    }

    /** Checks all submitted jobs; called periodically. */
    void check(long now) {
        if (now < checker.faultsEndedAt()) {
            return;
        }
        countTasks();
        checker.submitted.forEach((id, job) -> {
            int progress = checker.tasks.progressOf(id);
            if (!isPending(id, job) || cloud.agents().stream().noneMatch(agent -> canTake(agent, id, job))) {
                pending.remove(id);
                return;
            }
            Pending earlier = pending.get(id);
            if (earlier == null || earlier.progress != progress) {
                pending.put(id, new Pending(now, progress));
            } else if (now - earlier.since > STARVATION_MS) {
                checker.reportOnce("neglected " + id + " since " + earlier.since);
            }
        });
    }

    private void countTasks() {
        usageByAgent.clear();
        tasksByZone.clear();
        for (FakeAgent agent : cloud.agents()) {
            Usage usage = new Usage(0, 0);
            for (String task : agent.activeTaskNames()) {
                usage = usage.plus(checker.tasks.specOf(task));
                tasksByZone
                        .computeIfAbsent(TaskChecker.jobOf(task), job -> new HashMap<>())
                        .merge(agent.zone, 1, Integer::sum);
            }
            usageByAgent.put(agent, usage);
        }
    }

    /**
     * Whether the job was accepted, its cancellation wasn't requested, and some task of it is neither completed nor on
     * a machine. Graphs and jobs with dependencies aren't checked here: their tasks may have to wait for others.
     */
    private boolean isPending(String id, JsonNode job) {
        int placed = tasksByZone.getOrDefault(id, Map.of()).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        return checker.isAccepted(id)
                && !checker.isCancellationRequested(id)
                && !job.has(UserProtocol.GRAPH_NODES)
                && job.path(UserProtocol.DEPENDENCIES).isEmpty()
                && checker.tasks.completedOf(id) + placed
                        < job.path(UserProtocol.TASK_COUNT).asInt();
    }

    /** Whether a further task of the job could be placed on the agent. */
    private boolean canTake(FakeAgent agent, String id, JsonNode job) {
        double cores = job.path(UserProtocol.CORES).asDouble();
        return agent.isHealthy()
                && usageByAgent.get(agent).plus(job).fits()
                && checker.tasks.isWithinQuota(job.path(UserProtocol.TEAM).asText(), cores)
                && isAllowed(agent, job, tasksByZone.getOrDefault(id, Map.of()));
    }

    private static boolean isAllowed(FakeAgent agent, JsonNode job, Map<String, Integer> placedByZone) {
        JsonNode types = job.path(UserProtocol.MACHINE_TYPES);
        boolean isRightType =
                !types.isArray() || List.of(types.toString().split("\"")).contains(FakeCloud.TYPE);
        boolean isRightZone = !job.path(UserProtocol.ZONE).isTextual()
                || job.path(UserProtocol.ZONE).asText().equals(agent.zone);
        boolean isRightKind = !agent.spot || job.path(UserProtocol.PREEMPTIBLE).asBoolean();
        boolean staysSpread = !job.path(UserProtocol.SPREAD).asBoolean()
                || placedByZone.getOrDefault(agent.zone, 0) + 1
                        <= (job.path(UserProtocol.TASK_COUNT).asInt() + 1) / 2;
        boolean staysTogether = !job.path(UserProtocol.GANG).asBoolean()
                || placedByZone.isEmpty()
                || placedByZone.keySet().equals(Set.of(agent.zone));
        return isRightType && isRightZone && isRightKind && staysSpread && staysTogether;
    }
}
