package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.Consumer;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Checks estimates of when jobs complete, and that the run history behind them survives failovers, store outages and
 * tighter store limits.
 */
class RuntimeStatisticsTest {
    private int submittedJobs;

    private static ClusterScenario startScenario(long seed) {
        ClusterScenario scenario = new ClusterScenario(
                seed,
                2,
                null,
                new StoreLimits(2_048, 4, 25),
                (eventLoop, settings) ->
                        new Controller(eventLoop, settings, OperatorSettings.parse("{:estimates true}")));
        scenario.advance(5_000);
        return scenario;
    }

    private String submitArray(ClusterScenario scenario, int tasks, String... dependencyIds) {
        String id = String.format("req-6%05d", submittedJobs++);
        ObjectNode submission = Codec.object()
                .put("name_id", id)
                .put("jobkind", "sweep")
                .put("owner", "team")
                .put("shape", "batch")
                .put("rank", "standard")
                .put("shards", tasks)
                .put("cores", 1.0)
                .put("gpus", 0.0)
                .put("ram_gb", 2.0)
                .put("together", false)
                .put("spread", false)
                .put("lendable", true)
                .put("bundle", "img-0")
                .put("pull_gb", 1.0)
                .put("expect_s", 10.0)
                .put("bookmark_s", 0.0)
                .put("stow_s", 0.0);
        for (String dependencyId : dependencyIds) {
            submission.withArray("awaits").add(dependencyId);
        }
        assertEquals(
                201, scenario.users.request("POST", "/submissions", submission).status());
        return id;
    }

    private static JsonNode awaitEstimate(ClusterScenario scenario, String id) {
        Response response = scenario.users.request("GET", "/submissions/" + id + "/estimate", null);
        for (int i = 0; i < 200 && response.status() != 200; i++) {
            scenario.advance(200);
            response = scenario.users.request("GET", "/submissions/" + id + "/estimate", null);
        }
        assertEquals(200, response.status());
        return response.body();
    }

    private static double medianDoneInS(JsonNode estimate) {
        return estimate.path("done_in_s").path("p50").asDouble();
    }

    private void collectRunHistory(ClusterScenario scenario) {
        for (int i = 0; i < 6; i++) {
            submitArray(scenario, 12);
            scenario.advance(25_000);
        }
        scenario.advance(40_000);
    }

    @Test
    void mostArraysFinishWithinTheirEstimatedInterval() {
        int withinInterval = 0;
        int arrays = 0;
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario scenario = startScenario(seed);
            collectRunHistory(scenario);
            for (int i = 0; i < 4; i++) {
                String id = submitArray(scenario, 10);
                scenario.advance(1_000);
                JsonNode estimate = awaitEstimate(scenario, id).path("done_in_s");
                long estimatedAt = scenario.world.now;
                while (!scenario.users
                        .request("GET", "/submissions/" + id, null)
                        .body()
                        .path("status")
                        .asText()
                        .equals("done")) {
                    scenario.advance(100);
                }
                double remainingS = (scenario.world.now - estimatedAt) / 1000.0;
                arrays++;
                withinInterval += remainingS >= estimate.path("p10").asDouble() * 0.8
                                && remainingS <= estimate.path("p90").asDouble() * 1.25
                        ? 1
                        : 0;
            }
            assertEquals(List.of(), scenario.checker.violations);
        }
        System.out.println("arrays completed within their estimated interval, widened by a quarter: " + withinInterval
                + " of " + arrays);
        assertTrue(withinInterval >= arrays * 0.6, withinInterval + " of " + arrays);
    }

    /** Collects a history, injects the fault, and checks that estimates still rest on the history 40 s later. */
    private void checkHistorySurvives(int seed, Consumer<ClusterScenario> fault) {
        ClusterScenario scenario = startScenario(seed);
        collectRunHistory(scenario);
        int observedRuns = awaitEstimate(scenario, submitArray(scenario, 8))
                .path("history")
                .path("n")
                .asInt();
        assertTrue(observedRuns >= 20, "observed runs: " + observedRuns);
        fault.accept(scenario);
        scenario.advance(40_000);
        JsonNode estimate = awaitEstimate(scenario, submitArray(scenario, 8));
        assertTrue(estimate.path("history").path("n").asInt() >= 20, estimate.toString());
        assertEquals(0, scenario.store.oversizedTransactions);
        assertEquals(List.of(), scenario.checker.violations);
    }

    @Test
    void runHistorySurvivesACrashOfTheLeader() {
        checkHistorySurvives(20, scenario -> scenario.faults.crash(scenario.leaderIndex(), 9_000));
    }

    @Test
    void runHistorySurvivesACrashOfAllControllers() {
        checkHistorySurvives(21, scenario -> scenario.faults.crashAll());
    }

    @Test
    @Tag("known-red")
    void runHistorySurvivesACrashOfAllControllersInAStoreOutage() {
        checkHistorySurvives(22, scenario -> {
            scenario.store.startOutage(12_000);
            scenario.world.schedule(3_000, scenario.faults::crashAll);
        });
    }

    @Test
    void runHistorySurvivesTighterStoreLimitsAndACrashOfTheLeader() {
        checkHistorySurvives(23, scenario -> {
            scenario.tightenStoreLimits();
            scenario.advance(30_000);
            scenario.faults.crash(scenario.leaderIndex(), 9_000);
        });
    }

    @Test
    void estimateOfADependentJobIncludesItsDependency() {
        ClusterScenario scenario = startScenario(3);
        collectRunHistory(scenario);
        String first = submitArray(scenario, 8);
        String second = submitArray(scenario, 8, first);
        scenario.advance(500);
        JsonNode firstEstimate = awaitEstimate(scenario, first);
        JsonNode secondEstimate = awaitEstimate(scenario, second);
        assertTrue(
                medianDoneInS(secondEstimate) > medianDoneInS(firstEstimate) + 3,
                firstEstimate + " and " + secondEstimate);
        assertEquals("what it awaits", secondEstimate.path("reason").asText());
    }

    /** A leader must neither fail on an invalid record nor overwrite one that a newer version wrote. */
    @Test
    void unreadableRecordsAreIgnoredAndNewerFormatsAreKept() {
        ClusterScenario scenario = startScenario(4);
        collectRunHistory(scenario);
        ObjectNode newer = Codec.object().put("v", 99).put("new", "format");
        ObjectNode invalid = Codec.object().put("v", 1);
        invalid.putArray("kinds").add(7);
        for (int number = 0; number < 8; number++) {
            scenario.store.write("h/e/" + number, number % 2 == 0 ? newer : invalid);
        }
        scenario.faults.crash(scenario.leaderIndex(), 9_000);
        scenario.advance(30_000);
        collectRunHistory(scenario);
        assertTrue(awaitEstimate(scenario, submitArray(scenario, 4))
                        .path("history")
                        .path("n")
                        .asInt()
                > 5);
        for (int number = 0; number < 8; number += 2) {
            assertEquals(newer, scenario.store.valueOf("h/e/" + number));
        }
        assertEquals(List.of(), scenario.checker.violations);
    }
}
