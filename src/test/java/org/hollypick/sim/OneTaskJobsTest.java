package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.io.Codec;
import org.junit.jupiter.api.Test;

/**
 * Many jobs with one task each: each job takes two changes of the key-value store, which limits the changes per second.
 */
class OneTaskJobsTest {
    private static final int JOBS = 120;
    private static final long OUTAGE_MS = 30_000;
    private static final double CHANGES_PER_SECOND = 30;

    /** A cluster whose store and controllers are configured with a rate of changes that the jobs use up. */
    private static ClusterScenario scenarioWithTightenedLimits() {
        ClusterScenario scenario = new ClusterScenario(
                4,
                6,
                null,
                new StoreLimits(8192, 12, CHANGES_PER_SECOND),
                (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults()));
        scenario.tightenStoreLimits();
        return scenario;
    }

    private static ObjectNode job(String id) {
        return Codec.object()
                .put("name_id", id)
                .put("jobkind", "batch")
                .put("owner", "team")
                .put("shape", "batch")
                .put("rank", "standard")
                .put("shards", 1)
                .put("cores", 1.0)
                .put("gpus", 0.0)
                .put("ram_gb", 1.0)
                .put("together", false)
                .put("spread", false)
                .put("lendable", true)
                .put("bundle", "img-0")
                .put("pull_gb", 1.0)
                .put("expect_s", 5.0)
                .put("bookmark_s", 0.0)
                .put("stow_s", 0.0);
    }

    /** Submits one-task jobs at equal intervals and returns their ids. */
    private static List<String> submitJobs(ClusterScenario scenario, int count, long withinMs) {
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String id = "req-9" + String.format("%05d", i);
            ids.add(id);
            scenario.world.schedule(i * withinMs / count, () -> scenario.users.submit(id, job(id)));
        }
        return ids;
    }

    /** Counts the transactions that record jobs as terminated, from now on. */
    private static int[] countTerminatingTransactions(ClusterScenario scenario) {
        int[] transactions = {0};
        var earlierObserver = scenario.world.requestObserver;
        scenario.world.requestObserver = earlierObserver.andThen((from, request) -> {
            if (request.path().equals("/commit") && terminatesJobs(request.body())) {
                transactions[0]++;
            }
        });
        return transactions;
    }

    private static boolean terminatesJobs(JsonNode transaction) {
        for (JsonNode change : transaction.path("then")) {
            if (change.path("put").asText().startsWith("h/j/")
                    && !change.path("data").has("spec")) {
                return true;
            }
        }
        return false;
    }

    /**
     * Jobs complete while the store is unavailable. Afterwards each needs a change of its record, but not a transaction
     * of its own.
     */
    @Test
    void jobsThatTerminateCloseTogetherShareATransaction() {
        ClusterScenario scenario = scenarioWithTightenedLimits();
        List<String> ids = submitJobs(scenario, JOBS, 10_000);
        scenario.advance(14_000);
        scenario.store.startOutage(OUTAGE_MS);
        scenario.advance(OUTAGE_MS);
        long unterminated =
                ids.stream().filter(id -> !scenario.checker.isTerminal(id)).count();
        assertTrue(unterminated >= JOBS / 3, "too few unterminated jobs after the outage: " + unterminated);
        int[] transactions = countTerminatingTransactions(scenario);
        scenario.advance(60_000);
        assertEquals(List.of(), scenario.checker.violations);
        ids.forEach(id -> assertTrue(scenario.checker.isTerminal(id), id));
        assertTrue(transactions[0] <= unterminated / 2, "transactions " + transactions[0] + " for " + unterminated);
    }
}
