package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks that, once all faults are over, no job is left pending for 90 s while a machine that fits has room and its
 * team is within its quota. It looks at the tasks that the machines really hold, not at what any controller knows.
 */
final class StarvationChecker {
    /** Milliseconds for which a job may stay pending beside room: the operators' bound. */
    static final long STARVATION_MS = 90_000;
    /** Amounts are sums of decimal numbers. */
    private static final double TOLERANCE = 1e-6;

    /**
     * A job that is pending beside room.
     *
     * @param progress how many of its tasks had started or completed by then
     */
    private record Pending(long since, int progress) {}

    /** What the tasks on a machine take. */
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
    /** As of the last check. */
    private final Map<FakeAgent, Usage> usageByAgent = new HashMap<>();
    /** How many tasks of each job are in each zone, as of the last check. */
    private final Map<String, Map<String, Integer>> tasksByZone = new HashMap<>();

    StarvationChecker(InvariantChecker checker, FakeCloud cloud) {
        this.checker = checker;
        this.cloud = cloud;
    }

    /** Checked regularly. */
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
            Pending before = pending.get(id);
            if (before == null || before.progress != progress) {
                pending.put(id, new Pending(now, progress));
            } else if (now - before.since > STARVATION_MS) {
                checker.reportOnce("neglected " + id + " since " + before.since);
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
     * Whether the job is accepted, not cancelled, and some task of it is neither completed nor on a machine. Jobs with
     * dependencies and graphs have checks of their own.
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
