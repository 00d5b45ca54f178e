package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/** What was learned outlives controllers, outages and tighter limits; and a job's finish is told by any of them. */
class RuntimeStatisticsTest {
    private int submittedJobs;

    private static ClusterScenario startScenario(long seed) {
        ClusterScenario scenario = new ClusterScenario(
                seed,
                2,
                null,
                new StoreLimits(2_048, 4, 25),
                (r, s) -> new Controller(r, s, OperatorSettings.parse("{:estimates true}")));
        scenario.advance(5_000);
        return scenario;
    }

    private String submitArray(ClusterScenario scenario, int tasks, String... awaits) {
        String id = String.format("req-6%05d", submittedJobs++);
        ObjectNode b = Codec.object()
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
        for (String other : awaits) {
            b.withArray("awaits").add(other);
        }
        assertEquals(201, scenario.users.request("POST", "/submissions", b).status());
        return id;
    }

    private static JsonNode awaitEstimate(ClusterScenario scenario, String id) {
        Response r = scenario.users.request("GET", "/submissions/" + id + "/estimate", null);
        for (int i = 0; i < 200 && r.status() != 200; i++) {
            scenario.advance(200);
            r = scenario.users.request("GET", "/submissions/" + id + "/estimate", null);
        }
        assertEquals(200, r.status());
        return r.body();
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
        int inside = 0;
        int all = 0;
        for (int seed = 1; seed <= 12; seed++) {
            ClusterScenario scenario = startScenario(seed);
            collectRunHistory(scenario);
            for (int i = 0; i < 4; i++) {
                String id = submitArray(scenario, 10);
                scenario.advance(1_000);
                JsonNode told = awaitEstimate(scenario, id).path("done_in_s");
                long from = scenario.world.now;
                while (!scenario.users
                        .request("GET", "/submissions/" + id, null)
                        .body()
                        .path("status")
                        .asText()
                        .equals("done")) {
                    scenario.advance(100);
                }
                double took = (scenario.world.now - from) / 1000.0;
                all++;
                inside += took >= told.path("p10").asDouble() * 0.8
                                && took <= told.path("p90").asDouble() * 1.25
                        ? 1
                        : 0;
            }
            assertEquals(List.of(), scenario.checker.violations);
        }
        System.out.println("arrays done within a quarter of their band: " + inside + " of " + all);
        assertTrue(inside >= all * 0.6, inside + " of " + all);
    }

    /** Takeover, loss of all, an outage, tighter limits: the successor says nearly what its predecessor said. */
    @Test
    void runHistorySurvivesCrashesOutagesAndTighterStoreLimits() {
        for (int trouble = 0; trouble < 4; trouble++) {
            ClusterScenario scenario = startScenario(20 + trouble);
            collectRunHistory(scenario);
            int before = awaitEstimate(scenario, submitArray(scenario, 8))
                    .path("history")
                    .path("n")
                    .asInt();
            assertTrue(before >= 20, "learned " + before);
            switch (trouble) {
                case 0 -> scenario.faults.crash(scenario.leaderIndex(), 9_000);
                case 1 -> scenario.faults.crashAll();
                case 2 -> {
                    scenario.store.startOutage(12_000);
                    scenario.world.at(3_000, scenario.faults::crashAll);
                }
                default -> {
                    scenario.tightenStoreLimits();
                    scenario.advance(30_000);
                    scenario.faults.crash(scenario.leaderIndex(), 9_000);
                }
            }
            scenario.advance(40_000);
            String after = submitArray(scenario, 8);
            JsonNode told = awaitEstimate(scenario, after);
            assertTrue(told.path("history").path("n").asInt() >= 20, "trouble " + trouble + ": " + told);
            assertEquals(0, scenario.store.oversizedTransactions);
            assertEquals(List.of(), scenario.checker.violations);
        }
    }

    @Test
    void estimateOfADependentJobIncludesItsDependency() {
        ClusterScenario scenario = startScenario(3);
        collectRunHistory(scenario);
        String first = submitArray(scenario, 8);
        String second = submitArray(scenario, 8, first);
        scenario.advance(500);
        JsonNode one = awaitEstimate(scenario, first);
        JsonNode both = awaitEstimate(scenario, second);
        assertTrue(medianDoneInS(both) > medianDoneInS(one) + 3, one + " and " + both);
        assertEquals("what it awaits", both.path("reason").asText());
    }

    /** A record that can't be read is set aside, and one of a newer format is left as it is. */
    @Test
    void unreadableRecordsAreIgnoredAndNewerFormatsAreKept() {
        ClusterScenario scenario = startScenario(4);
        collectRunHistory(scenario);
        ObjectNode newer = Codec.object().put("v", 99).put("new", "format");
        ObjectNode broken = Codec.object().put("v", 1);
        broken.putArray("kinds").add(7);
        for (int slot = 0; slot < 8; slot++) {
            scenario.store.write("h/e/" + slot, slot % 2 == 0 ? newer : broken);
        }
        scenario.faults.crash(scenario.leaderIndex(), 9_000);
        scenario.advance(30_000);
        collectRunHistory(scenario);
        assertTrue(awaitEstimate(scenario, submitArray(scenario, 4))
                        .path("history")
                        .path("n")
                        .asInt()
                > 5);
        for (int slot = 0; slot < 8; slot += 2) {
            assertEquals(newer, scenario.store.valueOf("h/e/" + slot));
        }
        assertEquals(List.of(), scenario.checker.violations);
    }
}
