package org.hollypick.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.EventLoop;

/**
 * Plays simulated days with fixed seeds and prints one hash a day over every call that a controller sends and every
 * answer to it: time, sender, address, method, path, status and bodies. A change that is meant to keep the behaviour
 * keeps every hash ({@code tools/transcript}).
 *
 * <p>Usage: {@code Transcript FILE} compares with the hashes in that file and exits with 1 if one differs;
 * {@code Transcript --record FILE} writes them.
 */
final class Transcript {
    private static final String TWO_TEAMS_OTHER = "team-1";
    private static final double TWO_TEAMS_CORES = 24;

    private Transcript() {}

    public static void main(String[] args) throws IOException {
        boolean record = args[0].equals("--record");
        Path file = Path.of(args[record ? 1 : 0]);
        List<String> lines = hashes();
        if (record) {
            Files.write(file, lines);
            return;
        }
        List<String> expected = Files.readAllLines(file);
        List<String> differing = IntStream.range(0, Math.max(lines.size(), expected.size()))
                .filter(i -> i >= lines.size()
                        || i >= expected.size()
                        || !lines.get(i).equals(expected.get(i)))
                .mapToObj(i -> i < lines.size() ? lines.get(i) : "missing: " + expected.get(i))
                .toList();
        differing.forEach(line -> System.out.println("differs: " + line));
        System.out.println(lines.size() + " days played, " + differing.size() + " differ");
        if (!differing.isEmpty()) {
            System.exit(1);
        }
    }

    private static List<String> hashes() {
        Map<String, Supplier<ClusterScenario>> days = days();
        return new ArrayList<>(days.entrySet())
                .stream()
                        .map(entry -> entry.getKey() + " "
                                + entry.getValue().get().world.digest())
                        .toList();
    }

    private static Map<String, Supplier<ClusterScenario>> days() {
        Map<String, Supplier<ClusterScenario>> days = new LinkedHashMap<>();
        for (int seed = 1; seed <= 10; seed++) {
            int s = seed;
            days.put("faults-" + s, () -> faults(s, 1));
            days.put("combined-faults-" + s, () -> combinedFaults(s));
            days.put("answers-" + s, () -> answers(s));
        }
        for (int seed = 1; seed <= 6; seed++) {
            int s = seed;
            days.put("pipelines-" + s, () -> pipelines(s));
            days.put("graphs-" + s, () -> graphs(s));
            days.put("estimates-" + s, () -> estimates(s));
            days.put("quick-restarts-" + s, () -> quickRestarts(s));
            days.put("two-teams-" + s, () -> twoTeams(s));
            days.put("partition-" + s, () -> partition(s));
        }
        days.put("large-1", () -> faults(1, 12));
        days.put("large-2", () -> faults(2, 12));
        days.put("outage", () -> outage(3));
        days.put("leaders-change", () -> leadersChange(4));
        days.put("from-production", () -> fromProduction(5));
        return days;
    }

    private static ClusterScenario faults(int seed, int size) {
        ClusterScenario scenario = new ClusterScenario(seed, size);
        scenario.workload.submitJobs(30, 100_000);
        scenario.randomFaults.scheduleFaults(10, 20_000, 150_000);
        scenario.advance(220_000);
        return scenario;
    }

    private static ClusterScenario combinedFaults(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.workload.submitJobs(25, 100_000);
        scenario.randomFaults.scheduleCombinedFaults(4, 20_000, 110_000);
        scenario.advance(300_000);
        return scenario;
    }

    private static ClusterScenario answers(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed);
        scenario.workload.submitJobs(25, 100_000);
        scenario.answerProber.start();
        scenario.invalidRequests.submit(20, 120_000);
        scenario.randomFaults.scheduleReorderingFaults(6, 20_000, 120_000);
        scenario.advance(240_000);
        return scenario;
    }

    private static ClusterScenario pipelines(int seed) {
        ClusterScenario scenario = withOperator(seed, "{}");
        scenario.workload.submitJobs(20, 100_000);
        scenario.pipelines.submitPipelines(6, 90_000);
        scenario.world.schedule(60_000, scenario::tightenStoreLimits);
        scenario.randomFaults.scheduleFaults(6, 20_000, 150_000);
        scenario.advance(240_000);
        return scenario;
    }

    private static ClusterScenario graphs(int seed) {
        ClusterScenario scenario = withOperator(seed, "{:graphs true}");
        for (int i = 0; i < 5; i++) {
            GraphUser user = new GraphUser(scenario, String.format("req-7%05d", i), 3, 3);
            scenario.world.schedule(3_000 + scenario.world.random.nextInt(50_000), user::start);
            if (i == 1) {
                scenario.world.schedule(30_000 + scenario.world.random.nextInt(60_000), user::cancel);
            } else if (i == 2) {
                scenario.world.schedule(30_000 + scenario.world.random.nextInt(40_000), user::cancelRandomNode);
            }
        }
        scenario.workload.submitJobs(8, 60_000);
        scenario.randomFaults.scheduleFaults(6, 10_000, 120_000);
        scenario.advance(330_000);
        return scenario;
    }

    private static ClusterScenario estimates(int seed) {
        ClusterScenario scenario = withOperator(seed, "{:estimates true}");
        scenario.workload.submitJobs(25, 100_000);
        for (int i = 0; i < 40; i++) {
            String path = String.format("/submissions/req-%06d/estimate", i % 20);
            int node = i % 3;
            scenario.world.schedule(5_000 + i * 4_000L, () -> scenario.users.queryAt(node, path.split("/")[2], path));
        }
        scenario.randomFaults.scheduleFaults(5, 20_000, 120_000);
        scenario.advance(220_000);
        return scenario;
    }

    private static ClusterScenario quickRestarts(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed, 4);
        scenario.workload.submitJobs(25, 100_000);
        for (int i = 0; i < 8; i++) {
            int node = i % 3;
            long back = 50L + scenario.world.random.nextInt(300);
            scenario.world.schedule(15_000 + i * 9_000L, () -> scenario.faults.crash(node, back));
        }
        scenario.world.schedule(100_000, scenario.faults::crashAll);
        scenario.advance(200_000);
        return scenario;
    }

    private static ClusterScenario twoTeams(int seed) {
        ClusterScenario scenario = new ClusterScenario(
                seed,
                1,
                null,
                null,
                (r, s) -> new Controller(
                        r,
                        ClusterScenario.withTeams(s, List.of("team", TWO_TEAMS_OTHER), TWO_TEAMS_CORES),
                        OperatorSettings.defaults()));
        scenario.workload.teams = List.of("team", TWO_TEAMS_OTHER);
        scenario.users.cancelOneIn = 2;
        scenario.workload.submitJobs(40, 100_000);
        scenario.randomFaults.scheduleCombinedFaults(3, 20_000, 110_000);
        scenario.advance(280_000);
        return scenario;
    }

    private static ClusterScenario partition(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed, 4).withRunningServices();
        scenario.placeControllerInZone(1, "b");
        scenario.workload.submitJobs(20, 80_000);
        scenario.network.partitionZone("b", seed % 2 == 0 ? 25_000 : 50_000);
        scenario.advance(120_000);
        scenario.network.partitionFromAgents(scenario.leaderIndex(), 40_000);
        scenario.advance(90_000);
        return scenario;
    }

    private static ClusterScenario outage(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
        scenario.workload.submitJobs(20, 80_000);
        scenario.store.startOutage(60_000);
        scenario.advance(180_000);
        return scenario;
    }

    private static ClusterScenario leadersChange(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
        scenario.workload.submitJobs(20, 80_000);
        scenario.faults.failOverRepeatedly(10, 10_000);
        scenario.advance(200_000);
        return scenario;
    }

    /** Begins with the version in production and is rolled over to this one. */
    private static ClusterScenario fromProduction(int seed) {
        ClusterScenario scenario =
                new ClusterScenario(seed, 1, production(), new StoreLimits(2_048, 4, 25), version("{}"));
        scenario.workload.submitJobs(25, 100_000);
        scenario.rollOut(30_000, 12_000);
        scenario.advance(220_000);
        return scenario;
    }

    private static ProductionVersion production() {
        try {
            return ProductionVersion.load();
        } catch (Exception e) {
            throw new IllegalStateException("the version in production can't be built", e);
        }
    }

    private static ClusterScenario withOperator(int seed, String operator) {
        return new ClusterScenario(seed, 1, null, new StoreLimits(2_048, 4, 25), version(operator));
    }

    private static BiFunction<EventLoop, Settings, Controller> version(String operator) {
        OperatorSettings settings = OperatorSettings.parse(operator);
        return (r, s) -> new Controller(r, s, settings);
    }
}
