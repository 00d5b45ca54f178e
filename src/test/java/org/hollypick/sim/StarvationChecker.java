package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Once all troubles are over, no job is left waiting for 90 s while a machine that fits has room and its team is under
 * its limit. It looks at the tasks that the machines really hold, not at what any controller knows of them.
 */
final class StarvationChecker {
    /** Milliseconds for which a job may wait beside room: the operators' bound. */
    static final long NEGLECTED_MS = 90_000;
    /** Amounts are sums of decimal numbers. */
    private static final double SLACK = 1e-6;

    /** Since when a job waits beside room, and how many of its tasks had started or ended by then. */
    private record Waiting(long since, int progress) {}

    private final InvariantChecker checker;
    private final FakeCloud cloud;
    private final Map<String, Waiting> waiting = new HashMap<>();
    /** Cores and memory of the tasks on each machine, and where the tasks of each job are, as of the last look. */
    private final Map<FakeAgent, double[]> used = new HashMap<>();

    private final Map<String, Map<String, Integer>> zonesOf = new HashMap<>();

    StarvationChecker(InvariantChecker checker, FakeCloud cloud) {
        this.checker = checker;
        this.cloud = cloud;
    }

    /** Looked at regularly. */
    void sweep(long now) {
        if (now < checker.calmFrom()) {
            return;
        }
        count();
        checker.submitted.forEach((id, job) -> {
            int progress = checker.progress(id);
            if (!waits(id, job) || cloud.agents().stream().noneMatch(w -> takes(w, id, job))) {
                waiting.remove(id);
                return;
            }
            Waiting before = waiting.get(id);
            if (before == null || before.progress != progress) {
                waiting.put(id, new Waiting(now, progress));
            } else if (now - before.since > NEGLECTED_MS) {
                checker.once("neglected " + id + " since " + before.since);
            }
        });
    }

    private void count() {
        used.clear();
        zonesOf.clear();
        for (FakeAgent w : cloud.agents()) {
            double[] sum = used.computeIfAbsent(w, k -> new double[2]);
            for (String task : w.activeTaskNames()) {
                JsonNode spec = checker.spec(task);
                sum[0] += spec.path("cores").asDouble();
                sum[1] += spec.path("ram_gb").asDouble();
                zonesOf.computeIfAbsent(task.substring(0, task.indexOf('/')), k -> new HashMap<>())
                        .merge(w.zone, 1, Integer::sum);
            }
        }
    }

    /**
     * Accepted, not cancelled, and some task of it is neither done nor on a machine. Jobs that await others and graphs
     * have checks of their own.
     */
    private boolean waits(String id, JsonNode job) {
        int there = zonesOf.getOrDefault(id, Map.of()).values().stream()
                .mapToInt(n -> n)
                .sum();
        return checker.isAccepted(id)
                && !checker.asked.contains(id)
                && !job.has("nodes")
                && job.path("awaits").isEmpty()
                && checker.doneOf(id) + there < job.path("shards").asInt();
    }

    private boolean takes(FakeAgent w, String id, JsonNode job) {
        double cores = job.path("cores").asDouble();
        double[] there = used.get(w);
        return w.isHealthy()
                && there[0] + cores <= FakeCloud.CPUS + SLACK
                && there[1] + job.path("ram_gb").asDouble() <= FakeCloud.RAM_GB + SLACK
                && checker.teamHasRoom(job.path("owner").asText(), cores)
                && allowed(w, job, zonesOf.getOrDefault(id, Map.of()));
    }

    private static boolean allowed(FakeAgent w, JsonNode job, Map<String, Integer> zones) {
        JsonNode types = job.path("flavours");
        boolean type = !types.isArray() || List.of(types.toString().split("\"")).contains(FakeCloud.TYPE);
        boolean zone =
                !job.path("hall").isTextual() || job.path("hall").asText().equals(w.zone);
        boolean kind = !w.spot || job.path("lendable").asBoolean();
        boolean spread = !job.path("spread").asBoolean()
                || zones.getOrDefault(w.zone, 0) + 1 <= (job.path("shards").asInt() + 1) / 2;
        boolean together = !job.path("together").asBoolean()
                || zones.isEmpty()
                || zones.keySet().equals(Set.of(w.zone));
        return type && zone && kind && spread && together;
    }
}
