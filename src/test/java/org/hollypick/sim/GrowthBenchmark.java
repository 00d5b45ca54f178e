package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.io.Request;

/**
 * Measures what grows with the number of machines, such as the leader's processor time by activity, in the simulated
 * cluster, without sockets or HTTP. Not a test; run by hand: {@code mvn -q test-compile exec:java
 * -Dexec.classpathScope=test -Dexec.mainClass=org.hollypick.sim.GrowthBenchmark -Dexec.args="540 1100 2500 5000"}.
 */
public final class GrowthBenchmark {
    private static final int MACHINES_PER_SIZE = 14;
    private static final long WARM_UP_MS = 90_000;
    private static final long MEASURED_MS = 60_000;
    private static final double MEASURED_S = MEASURED_MS / 1000.0;
    private static final long FAILOVER_MS = 20_000;
    private static final int SERVICES = 26;
    private static final int JOBS = 6 * SERVICES;
    /** Activities that take fewer milliseconds of the leader's processor time per simulated second are not printed. */
    private static final double MIN_PRINTED_MS = 0.05;
    /** Sockets of each controller during the failover. */
    private static final int FAILOVER_SOCKETS = 1_800;

    /** Simulated processor time that a controller takes for each event during the failover, in milliseconds. */
    private static final double FAILOVER_CPU_MS_PER_EVENT = 0.4;

    private static final String HEADER =
            "| machines | tasks on them | leader's processor time per simulated second, ms: by activity (runs per second) "
                    + "| followers' processor time, ms | bytes committed to the store per second | operations per second "
                    + "| processor time of the new leader in the 20 s of a failover, ms "
                    + "| time from its claim until half, and 99 %, of the machines have its fencing token, s "
                    + "| heap in use, MB |";

    /** Counts what the controllers commit to the store. */
    private static final class StoreTraffic {
        private long bytes;
        private long operations;

        void add(JsonNode transaction) {
            bytes += transaction.toString().length();
            operations += transaction.path(StoreProtocol.OPERATIONS).size();
        }

        void reset() {
            bytes = 0;
            operations = 0;
        }
    }

    /** Processor time in milliseconds per simulated second. */
    private record CpuShare(double leaderMs, double othersMs, String leaderByActivity) {}

    /** Seconds from the new leader's claim until half, and 99 %, of the machines have received its fencing token. */
    private record Failover(double halfS, double nearlyAllS) {}

    private final Map<String, CpuMeter> meters = new TreeMap<>();
    private final StoreTraffic traffic = new StoreTraffic();
    private final ClusterScenario scenario;

    private GrowthBenchmark(int machines) {
        int size = Math.max(1, machines / MACHINES_PER_SIZE);
        scenario = new ClusterScenario(
                1,
                size,
                null,
                null,
                (eventLoop, settings) -> new Controller(
                        meters.computeIfAbsent(settings.node(), name -> new CpuMeter())
                                .measure(eventLoop),
                        settings,
                        OperatorSettings.defaults()));
        scenario.metering =
                (controller, activity, handling) -> meters.get(controller).run(activity, handling);
        scenario.world.requestObserver = (from, request) -> count(request);
    }

    /** Prints a table with one line for each number of machines. */
    public static void main(String[] args) {
        System.out.println(HEADER);
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String arg : args) {
            new GrowthBenchmark(Integer.parseInt(arg)).run();
        }
    }

    private void count(Request request) {
        if (request.path().equals(StoreProtocol.COMMIT)) {
            traffic.add(request.body());
        }
    }

    private void run() {
        scenario.workload.submitUncancelledServices(SERVICES);
        scenario.workload.submitJobs(JOBS, WARM_UP_MS + MEASURED_MS);
        scenario.advance(WARM_UP_MS);
        resetMeters();
        traffic.reset();
        scenario.advance(MEASURED_MS);
        CpuShare cpu = cpuShare();
        long tasks = scenario.cloud.agents().stream()
                .mapToLong(FakeAgent::reportedTasks)
                .sum();
        double bytesPerSecond = traffic.bytes / MEASURED_S;
        double operationsPerSecond = traffic.operations / MEASURED_S;
        int machines = scenario.cloud.agents().size();
        long heapMegabytes = heapMegabytes();
        resetMeters();
        Failover failover = failOver();
        double newLeaderMs = meters.get(scenario.leaderName()).totalMs();
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %.1f: %s| %.1f | %.0f | %.1f | %.0f | %.1f, %.1f | %d |%n",
                machines,
                tasks,
                cpu.leaderMs,
                cpu.leaderByActivity,
                cpu.othersMs,
                bytesPerSecond,
                operationsPerSecond,
                newLeaderMs,
                failover.halfS,
                failover.nearlyAllS,
                heapMegabytes);
    }

    private void resetMeters() {
        meters.values().forEach(CpuMeter::reset);
    }

    private CpuShare cpuShare() {
        double leaderMs = 0;
        double othersMs = 0;
        StringBuilder byActivity = new StringBuilder();
        for (Map.Entry<String, CpuMeter> meter : meters.entrySet()) {
            double ms = meter.getValue().totalMs() / MEASURED_S;
            if (meter.getKey().equals(scenario.leaderName())) {
                leaderMs += ms;
                meter.getValue()
                        .usageByActivity()
                        .forEach((activity, usage) -> byActivity.append(describe(activity, usage)));
            } else {
                othersMs += ms;
            }
        }
        return new CpuShare(leaderMs, othersMs, byActivity.toString());
    }

    private static String describe(String activity, CpuMeter.Usage usage) {
        double ms = usage.nanos() / 1e6 / MEASURED_S;
        return ms < MIN_PRINTED_MS
                ? ""
                : String.format(Locale.ROOT, "%s %.2f (%.0f); ", activity, ms, usage.runs() / MEASURED_S);
    }

    private static long heapMegabytes() {
        System.gc();
        Runtime runtime = Runtime.getRuntime();
        return (runtime.totalMemory() - runtime.freeMemory()) >> 20;
    }

    /** Crashes the leader, so that another controller takes over with limited sockets and processor time. */
    private Failover failOver() {
        String leaderBefore = scenario.leaderName();
        scenario.limitControllers(FAILOVER_SOCKETS, FAILOVER_CPU_MS_PER_EVENT);
        scenario.faults.crash(scenario.leaderIndex(), 60_000);
        long end = scenario.world.now + FAILOVER_MS;
        long claimedAt = 0;
        long halfAt = 0;
        long nearlyAllAt = 0;
        while (scenario.world.now < end) {
            scenario.advance(50);
            long now = scenario.world.now;
            claimedAt = claimedAt == 0 && !scenario.leaderName().equals(leaderBefore) ? now : claimedAt;
            double share = shareOfAgentsWithToken();
            halfAt = halfAt == 0 && claimedAt > 0 && share >= 0.5 ? now : halfAt;
            nearlyAllAt = nearlyAllAt == 0 && claimedAt > 0 && share >= 0.99 ? now : nearlyAllAt;
        }
        return new Failover((halfAt - claimedAt) / 1000.0, (nearlyAllAt - claimedAt) / 1000.0);
    }

    /** The share of the agents that have received the current leader's fencing token. */
    private double shareOfAgentsWithToken() {
        long token = scenario.leadership.fencingToken();
        List<FakeAgent> agents = scenario.cloud.agents();
        long count =
                agents.stream().filter(agent -> agent.fencingToken() >= token).count();
        return (double) count / agents.size();
    }
}
