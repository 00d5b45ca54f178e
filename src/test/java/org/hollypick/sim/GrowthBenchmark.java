package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/**
 * What grows with the fleet: processor time of the leader by activity, in the simulated world, without sockets or HTTP.
 * Not a test; run by hand: {@code mvn -q test-compile exec:java -Dexec.classpathScope=test
 * -Dexec.mainClass=org.hollypick.sim.Growth -Dexec.args="540 1100 2500 5000"}.
 */
public final class GrowthBenchmark {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int MACHINES_A_SIZE = 14;
    private static final long WARM_MS = 90_000;
    private static final long MEASURED_MS = 60_000;
    private static final long TAKEOVER_MS = 20_000;
    /** In the takeover: sockets of each controller, and what each thing that it does costs it. */
    private static final int SOCKETS = 1_800;

    private static final double COST_MS = 0.4;

    /** Processor nanoseconds by activity; an activity inside another counts for itself only. */
    private static final class Meter {
        private final Map<String, long[]> by = new TreeMap<>();
        private long inner;

        void run(String activity, Runnable task) {
            long outer = inner;
            inner = 0;
            long from = THREADS.getCurrentThreadCpuTime();
            task.run();
            long spent = THREADS.getCurrentThreadCpuTime() - from;
            long[] sum = by.computeIfAbsent(activity, k -> new long[2]);
            sum[0] += spent - inner;
            sum[1]++;
            inner = outer + spent;
        }
    }

    private GrowthBenchmark() {}

    public static void main(String[] args) {
        System.out.printf(
                "| machines | tasks there | %s |%n",
                "leader's processor time a second of the day, ms: by activity (times a second) | others, ms | bytes to the state service a second | changes a second | processor time of the new leader in 20 s of a takeover, ms | from its claim until half of the machines, and 99 % of them, have seen it, s | heap in use, MB");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        for (String arg : args) {
            measure(Integer.parseInt(arg));
        }
    }

    private static void measure(int machines) {
        int size = Math.max(1, machines / MACHINES_A_SIZE);
        Map<String, Meter> meters = new TreeMap<>();
        ClusterScenario scenario = new ClusterScenario(
                1, size, null, null, (r, s) -> metered(r, s, meters.computeIfAbsent(s.node(), k -> new Meter())));
        scenario.metering = (node, activity, run) -> meters.get(node).run(activity, run);
        long[] state = new long[2];
        scenario.world.sending = (from, call) -> {
            if (call.path().equals("/commit")) {
                state[0] += call.body().toString().length();
                state[1] += call.body().path("then").size();
            }
        };
        int jobs = 26;
        scenario.workload.submitUncancelledServices(jobs);
        scenario.workload.submitJobs(jobs * 6, WARM_MS + MEASURED_MS);
        scenario.advance(WARM_MS);
        meters.values().forEach(m -> m.by.clear());
        state[0] = 0;
        state[1] = 0;
        scenario.advance(MEASURED_MS);
        String leaderAtFirst = "bothy-" + scenario.leaderIndex();
        StringBuilder by = new StringBuilder();
        double[] all = new double[2];
        meters.forEach((node, m) -> m.by.forEach((activity, sum) -> {
            double ms = sum[0] / 1e6 / (MEASURED_MS / 1000.0);
            all[node.equals(leaderAtFirst) ? 0 : 1] += ms;
            if (node.equals(leaderAtFirst) && ms >= 0.05) {
                by.append(
                        String.format(Locale.ROOT, "%s %.2f (%.0f); ", activity, ms, sum[1] / (MEASURED_MS / 1000.0)));
            }
        }));
        long there =
                scenario.cloud.workers().stream().mapToLong(FakeAgent::tasks).sum();
        double bytes = state[0] / (MEASURED_MS / 1000.0);
        double changes = state[1] / (MEASURED_MS / 1000.0);
        int found = scenario.cloud.workers().size();
        System.gc();
        java.lang.Runtime vm = java.lang.Runtime.getRuntime();
        long heap = (vm.totalMemory() - vm.freeMemory()) >> 20;
        meters.values().forEach(m -> m.by.clear());
        scenario.limitControllers(SOCKETS, COST_MS);
        scenario.faults.crash(scenario.leaderIndex(), 60_000);
        long from = scenario.world.now;
        long led = 0;
        long half = 0;
        long known = 0;
        while (scenario.world.now < from + TAKEOVER_MS) {
            scenario.advance(50);
            long token = scenario.store.stamp("h/roster");
            led = led == 0 && !scenario.leaderName().equals(leaderAtFirst) ? scenario.world.now : led;
            List<FakeAgent> workers = scenario.cloud.workers();
            long seen = workers.stream().filter(w -> w.token >= token).count();
            half = half == 0 && led > 0 && seen >= 0.5 * workers.size() ? scenario.world.now : half;
            known = known == 0 && led > 0 && seen >= 0.99 * workers.size() ? scenario.world.now : known;
        }
        Meter next = meters.get("bothy-" + scenario.leaderIndex());
        double reload = next.by.values().stream().mapToLong(s -> s[0]).sum() / 1e6;
        System.out.printf(
                Locale.ROOT,
                "| %d | %d | %.1f: %s| %.1f | %.0f | %.1f | %.0f | %.1f, %.1f | %d |%n",
                found,
                there,
                all[0],
                by,
                all[1],
                bytes,
                changes,
                reload,
                (half - led) / 1000.0,
                (known - led) / 1000.0,
                heap);
    }

    private static Controller metered(EventLoop r, Settings s, Meter meter) {
        EventLoop metered = new DelegatingEventLoop(r) {
            @Override
            public void after(long ms, Runnable task) {
                String name = ms == ReconcileConstants.SCHEDULING_CYCLE_GAP_MS
                        ? "pass and orders"
                        : ms == ReconcileConstants.RECONCILE_INTERVAL_MS ? "regular loop" : "other timers";
                r.after(ms, () -> meter.run(name, task));
            }

            @Override
            public void send(Request c, Consumer<Response> callback) {
                String path = c.path();
                String name = path.startsWith("/watch")
                        ? "watch"
                        : path.equals("/commands")
                                ? "answers to orders"
                                : path.startsWith("/hosts")
                                        ? "cloud"
                                        : path.startsWith("/holds")
                                                ? "renewal"
                                                : path.equals("/commit") ? "commits" : c.toPeer() ? "mesh" : "reads";
                r.send(c, a -> meter.run(name, () -> callback.accept(a)));
            }
        };
        return new Controller(metered, s, OperatorSettings.defaults());
    }

    /** Runs a request's handling for a meter. */
    interface Metering {
        void run(String node, String activity, Runnable handling);

        static String activity(String path, JsonNode body) {
            return path.equals("/hello")
                    ? "reports"
                    : path.startsWith("/submissions") ? body == null ? "polls" : "submissions" : path;
        }
    }
}
