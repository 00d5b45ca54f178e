package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Locale;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/**
 * A graph of the maximum size: its log stays within the key-value store's limits, the leader's lease is renewed during
 * the submission, and a new leader continues the graph after a failover.
 */
class GraphSizeTest {
    private static final int NODES = 100_000;
    private static final int NODES_PER_REQUEST = 700;
    private static final String GRAPH_ID = "req-000100";

    @Test
    void graphOfHundredThousandNodesIsStoredAndContinuedAfterFailover() {
        ClusterScenario scenario = new ClusterScenario(
                1,
                4,
                null,
                null,
                (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.parse("{:graphs true}")));
        scenario.advance(5_000);
        int firstLeader = scenario.leaderIndex();
        long submissionStartMillis = scenario.world.now;
        int operationsBefore = scenario.store.appliedOperations;
        for (int first = 0; first < NODES; first += NODES_PER_REQUEST) {
            submit(scenario, first, Math.min(NODES, first + NODES_PER_REQUEST));
        }
        double seconds = (scenario.world.now - submissionStartMillis) / 1000.0;
        int operations = scenario.store.appliedOperations - operationsBefore;
        assertEquals(firstLeader, scenario.leaderIndex(), "the leader changed during the submission");
        assertEquals(0, scenario.store.oversizedTransactions);
        int records = 0;
        long bytes = 0;
        for (String key : scenario.store.keys()) {
            if (key.startsWith("h/x/")) {
                records++;
                bytes += scenario.store.valueOf(key).toString().length();
            }
        }
        assertTrue(operations / seconds < 60, "operations per second: " + operations / seconds);
        scenario.advance(60_000);
        int started = scenario.checker.tasks.starts;
        assertTrue(started > 100, "started tasks: " + started);
        long startNanos = System.nanoTime();
        scenario.faults.crash(scenario.leaderIndex(), 60_000);
        long crashMillis = scenario.world.now;
        while (scenario.checker.tasks.starts == started || scenario.leaderIndex() == firstLeader) {
            scenario.advance(50);
            assertTrue(scenario.world.now - crashMillis < 60_000, "no task started after the failover");
        }
        System.out.printf(
                Locale.ROOT,
                "100,000 nodes: %.0f s to submit at 60 operations per second, %d records, %d bytes; first task start %d ms after the leader's crash (lease %d ms), %.0f ms of wall-clock time%n",
                seconds,
                records,
                bytes,
                scenario.world.now - crashMillis,
                4_000,
                (System.nanoTime() - startNanos) / 1e6);
        assertEquals(List.of(), scenario.checker.violations);
    }

    private static void submit(ClusterScenario scenario, int from, int to) {
        ObjectNode request = Codec.object()
                .put("name_id", GRAPH_ID)
                .put("jobkind", "graph")
                .put("owner", "team")
                .put("rank", "standard")
                .put("more", to < NODES);
        ObjectNode task = request.putObject("task")
                .put("cores", 1.0)
                .put("ram_gb", 2.0)
                .put("bundle", "img-0")
                .put("pull_gb", 1.0)
                .put("lendable", true)
                .put("expect_s", 2.0);
        for (int i = from; i < to; i++) {
            ObjectNode node = request.withArray("nodes").addObject().put("id", "n" + i);
            if (i % 50 != 0) { // 2,000 chains of 50 nodes
                node.putArray("awaits").add("n" + (i - 1));
            }
        }
        if (from == 0) {
            scenario.checker.jobSubmitted(GRAPH_ID, request, scenario.world.now);
            scenario.checker.tasks.graphProgram = (name, attempt, finish) -> scenario.world.schedule(1_000, finish);
        }
        Response[] response = {null};
        while (response[0] == null || response[0].status() == 503 || response[0].status() <= 0) {
            response[0] = null;
            scenario.users.sendRaw("POST", "/graphs", Codec.write(request, false), received -> response[0] = received);
            while (response[0] == null) {
                scenario.advance(10);
            }
        }
        assertTrue(response[0].status() <= 202, response[0].toString());
        for (JsonNode node : request.path("nodes")) {
            scenario.checker.tasks.graphNodes.put(
                    response[0]
                            .body()
                            .path("tasks")
                            .path(node.path("id").asText())
                            .asText(),
                    ((ObjectNode) task).deepCopy().put("shape", "batch"));
        }
    }
}
