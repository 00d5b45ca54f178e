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
 * A graph as large as graphs may be: it fits the key-value store's limits, leases are renewed meanwhile, and a
 * successor finds where it stands.
 */
class GraphSizeTest {
    private static final int NODES = 100_000;
    private static final int NODES_PER_REQUEST = 700;
    private static final String GRAPH_ID = "req-000100";

    @Test
    void graphOfHundredThousandNodesIsStoredAndContinuedAfterFailover() {
        ClusterScenario scenario = new ClusterScenario(
                1, 4, null, null, (r, s) -> new Controller(r, s, OperatorSettings.parse("{:graphs true}")));
        scenario.advance(5_000);
        int before = scenario.leaderIndex();
        long from = scenario.world.now;
        int changes = scenario.store.appliedOperations;
        for (int first = 0; first < NODES; first += NODES_PER_REQUEST) {
            submit(scenario, first, Math.min(NODES, first + NODES_PER_REQUEST));
        }
        double seconds = (scenario.world.now - from) / 1000.0;
        int written = scenario.store.appliedOperations - changes;
        assertEquals(before, scenario.leaderIndex(), "the hold was renewed all along");
        assertEquals(0, scenario.store.oversizedTransactions);
        int records = 0;
        long bytes = 0;
        for (String key : scenario.store.keys()) {
            if (key.startsWith("h/x/")) {
                records++;
                bytes += scenario.store.valueOf(key).toString().length();
            }
        }
        assertTrue(written / seconds < 60, "changes a second: " + written / seconds);
        scenario.advance(60_000);
        int started = scenario.checker.tasks.starts;
        assertTrue(started > 100, "started " + started);
        long cpu = System.nanoTime();
        scenario.faults.crash(scenario.leaderIndex(), 60_000);
        long crashed = scenario.world.now;
        while (scenario.checker.tasks.starts == started || scenario.leaderIndex() == before) {
            scenario.advance(50);
            assertTrue(scenario.world.now - crashed < 60_000, "nothing started after the takeover");
        }
        System.out.printf(
                Locale.ROOT,
                "100,000 nodes: %.0f s to submit at 60 changes a second, %d records, %d bytes; first start %d ms after the leader's crash (hold %d ms), %.0f ms of real time%n",
                seconds,
                records,
                bytes,
                scenario.world.now - crashed,
                4_000,
                (System.nanoTime() - cpu) / 1e6);
        assertEquals(List.of(), scenario.checker.violations);
    }

    private static void submit(ClusterScenario scenario, int from, int to) {
        ObjectNode call = Codec.object()
                .put("name_id", GRAPH_ID)
                .put("jobkind", "graph")
                .put("owner", "team")
                .put("rank", "standard")
                .put("more", to < NODES);
        ObjectNode task = call.putObject("task")
                .put("cores", 1.0)
                .put("ram_gb", 2.0)
                .put("bundle", "img-0")
                .put("pull_gb", 1.0)
                .put("lendable", true)
                .put("expect_s", 2.0);
        for (int i = from; i < to; i++) {
            ObjectNode n = call.withArray("nodes").addObject().put("id", "n" + i);
            if (i % 50 != 0) { // two thousand chains of fifty
                n.putArray("awaits").add("n" + (i - 1));
            }
        }
        if (from == 0) {
            scenario.checker.jobSubmitted(GRAPH_ID, call, scenario.world.now);
            scenario.checker.tasks.graphProgram = (name, attempt, finish) -> scenario.world.at(1_000, finish);
        }
        Response[] answer = {null};
        while (answer[0] == null || answer[0].status() == 503 || answer[0].status() <= 0) {
            answer[0] = null;
            scenario.users.sendRaw("POST", "/graphs", Codec.write(call, false), r -> answer[0] = r);
            while (answer[0] == null) {
                scenario.advance(10);
            }
        }
        assertTrue(answer[0].status() <= 202, answer[0].toString());
        for (JsonNode n : call.path("nodes")) {
            scenario.checker.tasks.graphNodes.put(
                    answer[0].body().path("tasks").path(n.path("id").asText()).asText(),
                    ((ObjectNode) task).deepCopy().put("shape", "batch"));
        }
    }
}
