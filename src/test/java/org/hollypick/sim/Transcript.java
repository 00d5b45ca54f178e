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
 * Runs simulated scenarios with fixed seeds and computes one hash per scenario over every request in the simulated
 * network and every response: times, sender, address, method, path, status and bodies. A change that is meant to
 * preserve the behaviour must not change any hash ({@code tools/transcript}).
 *
 * <p>Usage: {@code Transcript FILE} compares the hashes with those in the file and exits with status 1 if any differs;
 * {@code Transcript --record FILE} writes them to the file.
 */
final class Transcript {
    private static final String SECOND_TEAM = "team-1";
    private static final double CORES_PER_TEAM = 24;

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
        Map<String, Supplier<ClusterScenario>> scenarios = scenariosByName();
        return new ArrayList<>(scenarios.entrySet())
                .stream()
                        .map(entry -> entry.getKey() + " "
                                + entry.getValue().get().world.digest())
                        .toList();
    }

    private static Map<String, Supplier<ClusterScenario>> scenariosByName() {
        Map<String, Supplier<ClusterScenario>> scenarios = new LinkedHashMap<>();
        for (int seed = 1; seed <= 10; seed++) {
            int fixedSeed = seed;
            scenarios.put("faults-" + fixedSeed, () -> faults(fixedSeed, 1));
            scenarios.put("combined-faults-" + fixedSeed, () -> combinedFaults(fixedSeed));
            scenarios.put("answers-" + fixedSeed, () -> answers(fixedSeed));
        }
        for (int seed = 1; seed <= 6; seed++) {
            int fixedSeed = seed;
            scenarios.put("pipelines-" + fixedSeed, () -> pipelines(fixedSeed));
            scenarios.put("graphs-" + fixedSeed, () -> graphs(fixedSeed));
            scenarios.put("estimates-" + fixedSeed, () -> estimates(fixedSeed));
            scenarios.put("quick-restarts-" + fixedSeed, () -> quickRestarts(fixedSeed));
            scenarios.put("two-teams-" + fixedSeed, () -> twoTeams(fixedSeed));
            scenarios.put("partition-" + fixedSeed, () -> partition(fixedSeed));
        }
        scenarios.put("large-1", () -> faults(1, 12));
        scenarios.put("large-2", () -> faults(2, 12));
        scenarios.put("outage", () -> outage(3));
        scenarios.put("leaders-change", () -> repeatedFailovers(4));
        scenarios.put("from-production", () -> fromProduction(5));
        return scenarios;
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
        ClusterScenario scenario = withOperatorSettings(seed, "{}");
        scenario.workload.submitJobs(20, 100_000);
        scenario.pipelines.submitPipelines(6, 90_000);
        scenario.world.schedule(60_000, scenario::tightenStoreLimits);
        scenario.randomFaults.scheduleFaults(6, 20_000, 150_000);
        scenario.advance(240_000);
        return scenario;
    }

    private static ClusterScenario graphs(int seed) {
        ClusterScenario scenario = withOperatorSettings(seed, "{:graphs true}");
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
        ClusterScenario scenario = withOperatorSettings(seed, "{:estimates true}");
        scenario.workload.submitJobs(25, 100_000);
        for (int i = 0; i < 40; i++) {
            String path = String.format("/submissions/req-%06d/estimate", i % 20);
            int controller = i % 3;
            scenario.world.schedule(
                    5_000 + i * 4_000L, () -> scenario.users.queryAt(controller, path.split("/")[2], path));
        }
        scenario.randomFaults.scheduleFaults(5, 20_000, 120_000);
        scenario.advance(220_000);
        return scenario;
    }

    private static ClusterScenario quickRestarts(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed, 4);
        scenario.workload.submitJobs(25, 100_000);
        for (int i = 0; i < 8; i++) {
            int controller = i % 3;
            long downtimeMs = 50L + scenario.world.random.nextInt(300);
            scenario.world.schedule(15_000 + i * 9_000L, () -> scenario.faults.crash(controller, downtimeMs));
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
                (eventLoop, settings) -> new Controller(
                        eventLoop,
                        ClusterScenario.withTeams(settings, List.of("team", SECOND_TEAM), CORES_PER_TEAM),
                        OperatorSettings.defaults()));
        scenario.workload.teams = List.of("team", SECOND_TEAM);
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

    private static ClusterScenario repeatedFailovers(int seed) {
        ClusterScenario scenario = new ClusterScenario(seed).withRunningServices();
        scenario.workload.submitJobs(20, 80_000);
        scenario.faults.failOverRepeatedly(10, 10_000);
        scenario.advance(200_000);
        return scenario;
    }

    /** Starts with the version in production and upgrades all controllers to the current version. */
    private static ClusterScenario fromProduction(int seed) {
        ClusterScenario scenario = new ClusterScenario(
                seed, 1, loadProductionVersion(), new StoreLimits(2_048, 4, 25), controllerWith("{}"));
        scenario.workload.submitJobs(25, 100_000);
        scenario.rollOut(30_000, 12_000);
        scenario.advance(220_000);
        return scenario;
    }

    private static ProductionVersion loadProductionVersion() {
        try {
            return ProductionVersion.load();
        } catch (Exception e) {
            throw new IllegalStateException("cannot load the version in production named in deploy/service.toml", e);
        }
    }

    private static ClusterScenario withOperatorSettings(int seed, String operatorSettings) {
        return new ClusterScenario(seed, 1, null, new StoreLimits(2_048, 4, 25), controllerWith(operatorSettings));
    }

    private static BiFunction<EventLoop, Settings, Controller> controllerWith(String operatorSettings) {
        OperatorSettings parsed = OperatorSettings.parse(operatorSettings);
        return (eventLoop, settings) -> new Controller(eventLoop, settings, parsed);
    }
}
