package org.hollypick.sim;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.hollypick.Controller;
import org.hollypick.client.GraphSpec;
import org.hollypick.client.HollypickClient;
import org.hollypick.client.HollypickException;
import org.hollypick.client.Task;
import org.hollypick.config.OperatorSettings;
import org.hollypick.io.Codec;
import org.hollypick.io.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the client library over HTTP on loopback, against a simulated cluster. */
class HollypickClientTest {
    private static final Task TASK =
            new Task().cores(1).memoryGb(2).image("img-0", 1).expectSeconds(2).spot(true);

    /** The behaviour of the running tasks of graphs. */
    interface TaskProgram {
        CompletableFuture<Void> run(String nodeId, HollypickClient.Running self);
    }

    private final ClusterScenario scenario = new ClusterScenario(
            5,
            1,
            null,
            null,
            (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.parse("{:graphs true}")));
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final Map<String, String> nodeIdByTask = new HashMap<>();
    private HttpServer http;
    private HollypickClient client;
    private volatile boolean stopped;
    private TaskProgram taskProgram;
    /** Nodes whose tasks fail on every machine. */
    private final Set<String> failingNodes = new HashSet<>();

    @BeforeEach
    void start() throws IOException {
        http = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        http.setExecutor(threads);
        http.createContext("/", exchange -> {
            byte[] requestBody = exchange.getRequestBody().readAllBytes();
            Response response = forwardToScenario(
                    exchange.getRequestMethod(), exchange.getRequestURI().toString(), requestBody);
            byte[] responseBody = Codec.write(response.body(), false);
            if (response.status() == 503) {
                exchange.getResponseHeaders().add("Retry-After", "1");
            }
            exchange.sendResponseHeaders(response.status() <= 0 ? 504 : response.status(), responseBody.length);
            exchange.getResponseBody().write(responseBody);
            exchange.close();
        });
        http.start();
        // Nothing listens at the second address: a call that tries it first has to continue with the other one.
        client = new HollypickClient(
                List.of("127.0.0.1:" + http.getAddress().getPort(), "127.0.0.1:1"),
                new HollypickClient.Times(Duration.ofSeconds(40), Duration.ofSeconds(5), Duration.ofMillis(100)));
        scenario.checker.tasks.graphProgram = (task, attempt, finish) -> {
            String node = nodeIdByTask.get(task);
            HollypickClient.Running self =
                    client.graph(task.substring(0, task.indexOf('/'))).running(node, attempt);
            threads.execute(() -> taskProgram.run(node, self).whenComplete((done, failed) -> {
                synchronized (scenario) {
                    finish.run();
                }
            }));
        };
        threads.execute(() -> {
            while (!stopped) {
                synchronized (scenario) {
                    scenario.advance(100);
                }
                pause(); // 100 simulated ms for each real one, because HTTP calls take real time
            }
        });
        synchronized (scenario) {
            scenario.advance(5_000);
        }
    }

    private static void pause() {
        try {
            Thread.sleep(1);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @AfterEach
    void stop() throws InterruptedException {
        stopped = true;
        http.stop(0);
        threads.shutdownNow();
        assertTrue(threads.awaitTermination(20, TimeUnit.SECONDS));
        assertEquals(List.of(), scenario.checker.violations);
    }

    /**
     * Sends a request to a simulated controller and returns its response. Reports submissions, cancellations and the
     * tasks of accepted nodes to the checker, as the simulated users do for their own requests.
     */
    private Response forwardToScenario(String method, String path, byte[] requestBody) {
        JsonNode body = Codec.read(requestBody, false);
        synchronized (scenario) {
            Response[] response = {null};
            if (body != null && body.has("nodes")) {
                String id = body.path("name_id").asText(path.split("/").length > 2 ? path.split("/")[2] : "");
                if (!scenario.checker.submitted.containsKey(id)) {
                    scenario.checker.jobSubmitted(id, body, scenario.world.now);
                }
            }
            if (path.endsWith("/withdraw")) {
                scenario.checker.cancellationRequested(path.split("/")[2]);
            }
            scenario.users.sendRaw(method, path, requestBody, received -> response[0] = received);
            for (int i = 0; response[0] == null && i < 600; i++) {
                scenario.advance(10);
            }
            if (response[0] == null) {
                return Response.noResponse();
            }
            if (body != null) {
                body.path("nodes").forEach(node -> {
                    String task = response[0]
                            .body()
                            .path("tasks")
                            .path(node.path("id").asText())
                            .asText();
                    if (!task.isEmpty()) {
                        nodeIdByTask.put(task, node.path("id").asText());
                        ObjectNode description = TaskChecker.describeGraphNode(body, node);
                        description.put("shape", "batch");
                        description.put(
                                "fails", failingNodes.contains(node.path("id").asText()));
                        scenario.checker.tasks.graphNodes.put(task, description);
                    }
                });
            }
            return response[0];
        }
    }

    private static HollypickException failure(CompletableFuture<?> call) {
        Throwable cause = assertThrows(CompletionException.class, call::join).getCause();
        return (HollypickException) cause;
    }

    /**
     * A parent that waited for its children would hold its cores, and ten nested parents would exceed the quota.
     * Instead each parent delegates its result to a continuation and ends: ten levels complete although the quota that
     * the filler job leaves fits two tasks, and the root's result is the one that the continuations computed.
     */
    @Test
    void tenNestedContinuationsCompleteUnderAQuotaForTwoTasks() {
        synchronized (scenario) {
            ObjectNode filler = Codec.object()
                    .put("name_id", "req-000900")
                    .put("jobkind", "web")
                    .put("owner", "team")
                    .put("shape", "standing")
                    .put("rank", "prod")
                    .put("shards", 3)
                    .put("cores", 8.0)
                    .put("gpus", 0.0)
                    .put("ram_gb", 2.0)
                    .put("together", false)
                    .put("spread", false)
                    .put("lendable", false)
                    .put("bundle", "img-1")
                    .put("pull_gb", 1.0)
                    .put("expect_s", 0.0)
                    .put("bookmark_s", 0.0)
                    .put("stow_s", 0.0);
            scenario.users.request("POST", "/submissions", filler);
            assertEquals(
                    404,
                    scenario.users.request("GET", "/graphs/req-000900", null).status(),
                    "the id belongs to a job, not a graph");
            scenario.advance(40_000);
        }
        Task large = new Task()
                .cores(8)
                .memoryGb(2)
                .image("img-0", 1)
                .expectSeconds(1)
                .spot(true);
        Map<String, Integer> results = new HashMap<>();
        taskProgram = (node, self) -> {
            if (node.endsWith("+")) { // a continuation: its result is that of the awaited child plus one
                int childResult = results.get(node.substring(0, node.length() - 1) + ".");
                results.put(node, childResult + 1);
                results.put(node.substring(0, node.length() - 1), childResult + 1);
                return self.result(childResult + 1);
            }
            int level = node.length() - node.replace(".", "").length();
            if (level == 10) {
                results.put(node, 0);
                return self.result(0);
            }
            return self.child(node + ".", large)
                    .child(node + "+", large, node + ".")
                    .handOnTo(node + "+")
                    .submit();
        };
        HollypickClient.Graph graph = client.submit(new GraphSpec("req-000901", "nest")
                        .team("team")
                        .defaults(large)
                        .node("n", large))
                .join();
        assertEquals("done", graph.over().join().status());
        assertEquals(10, graph.result("n", Integer.class).join());
    }

    @Test
    void graphAndItsResultsSurviveALeaderFailover() {
        taskProgram = (node, self) -> node.equals("first")
                ? self.result(List.of("a", 1))
                        .thenCompose(stored -> self.child("more", TASK).submit())
                : self.resultAt("s3://bucket/" + node);
        GraphSpec spec = new GraphSpec("req-000910", "harness")
                .team("team")
                .rank("low")
                .defaults(TASK)
                .node("first", TASK)
                .node("last", TASK, "first");
        HollypickClient.Graph graph = client.submit(spec).join();
        synchronized (scenario) {
            scenario.faults.crash(scenario.leaderIndex(), 8_000);
        }
        assertEquals("done", graph.over().join().status());
        assertEquals("[a, 1]", graph.result("first", List.class).join().toString());
        assertEquals("s3://bucket/last", graph.result("last", String.class).join());
        assertEquals("req-000910", client.submit(spec).join().id(), "a late retry returns the graph that has ended");
        // The graph must still run when another description is submitted: an ended one is returned for any description.
        CompletableFuture<Void> never = new CompletableFuture<>();
        taskProgram = (node, self) -> never;
        HollypickException conflict = failure(client.submit(new GraphSpec("req-000911", "harness")
                        .team("team")
                        .defaults(TASK)
                        .node("a", TASK))
                .thenCompose(accepted -> client.submit(new GraphSpec("req-000911", "harness")
                        .team("team")
                        .defaults(TASK)
                        .node("a", new Task().cores(2)))));
        assertTrue(
                conflict instanceof HollypickException.Conflict
                        && conflict.getMessage().contains("description"),
                conflict.toString());
        assertEquals(404, failure(client.graph("req-000999").status()).status());
        assertEquals(404, failure(graph.result("nowhere", String.class)).status());
    }

    @Test
    void cancellingANodeCancelsItsDependentsOnly() {
        CompletableFuture<Void> never = new CompletableFuture<>();
        taskProgram = (node, self) -> node.equals("slow") ? never : CompletableFuture.completedFuture(null);
        HollypickClient.Graph graph = client.submit(new GraphSpec("req-000920", "harness")
                        .team("team")
                        .defaults(TASK)
                        .node("slow", TASK)
                        .node("behind", TASK, "slow")
                        .node("apart", TASK))
                .join();
        assertEquals("cancelled", graph.withdraw("slow").join());
        HollypickClient.Status end = graph.over().join();
        assertEquals("aborted", end.status());
        JsonNode shown = graph.show(0).join();
        List<String> states = new ArrayList<>();
        shown.path("nodes")
                .forEach(node -> states.add(
                        node.path("id").asText() + " " + node.path("state").asText()));
        states.sort(null);
        assertEquals(List.of("apart done", "behind cancelled", "slow cancelled"), states);
        assertTrue(shown.path("nodes").toString().contains("needs slow"), shown.toString());
    }

    /**
     * A node whose task fails on every machine is retried with increasing delays, as often as its graph allows. Then
     * the nodes that depend on it are cancelled, or the whole graph if it is configured to end on a failure.
     */
    @Test
    void failedNodeCancelsItsDependentsOrTheWholeGraphAsConfigured() {
        failingNodes.add("bad");
        taskProgram = (node, self) -> CompletableFuture.completedFuture(null);
        GraphSpec continuesOnFailure = new GraphSpec("req-000940", "harness")
                .team("team")
                .defaults(TASK)
                .retries(2)
                .node("bad", TASK)
                .node("behind", TASK, "bad")
                .node("apart", TASK)
                .node("later", TASK, "apart");
        HollypickClient.Status end =
                client.submit(continuesOnFailure).join().over().join();
        assertEquals("aborted nodes failed", end.status() + " " + end.why());
        assertEquals(2, end.counts().path("done").asInt(), "apart and later don't depend on the failed node");
        assertEquals(1, end.counts().path("failed").asInt());
        assertEquals(1, end.counts().path("cancelled").asInt());
        synchronized (scenario) {
            assertEquals(3, scenario.checker.tasks.startsByTask.get("req-000940/0"), "the first start and two retries");
        }
        HollypickException noResult = failure(client.graph("req-000940").result("behind", String.class));
        assertTrue(
                noResult.status() == 409 && noResult.getMessage().contains("needs bad: failed 3 times"),
                noResult.getMessage());
        GraphSpec endsOnFailure = new GraphSpec("req-000941", "harness")
                .team("team")
                .defaults(TASK)
                .retries(0)
                .endOnFailure()
                .node("bad", TASK)
                .node("apart", new Task().expectSeconds(1))
                .node("later", TASK, "apart", "bad");
        HollypickClient.Status endOnFailure =
                client.submit(endsOnFailure).join().over().join();
        assertEquals("aborted", endOnFailure.status());
    }

    @Test
    void invalidGraphsAreRejectedAndNotStored() throws Exception {
        HollypickException cyclic = failure(client.submit(new GraphSpec("req-000930", "x")
                .defaults(TASK)
                .node("a", TASK, "b")
                .node("b", TASK, "a")));
        assertTrue(cyclic.getMessage().contains("cycle"), cyclic.getMessage());
        byte[] withoutNodes = Codec.write(
                Codec.object().put("name_id", "req-000931").put("jobkind", "x").put("rank", "low"), false);
        for (byte[] garbage : List.of(
                new byte[0],
                new byte[] {1, 2, 3},
                "nonsense".getBytes(UTF_8),
                Arrays.copyOf(withoutNodes, withoutNodes.length - 3))) {
            assertEquals(400, forwardToScenario("POST", "/graphs", garbage).status());
        }
        assertEquals(400, forwardToScenario("POST", "/graphs", withoutNodes).status(), "the request has no nodes");
        ObjectNode unknownTeam = Codec.object()
                .put("name_id", "req-000932")
                .put("jobkind", "x")
                .put("rank", "low")
                .put("owner", "nobody");
        unknownTeam.putObject("task").put("cores", 1.0).put("ram_gb", 1.0).put("bundle", "i");
        unknownTeam.putArray("nodes").addObject().put("id", "a");
        assertEquals(
                422,
                forwardToScenario("POST", "/graphs", Codec.write(unknownTeam, false))
                        .status());
        ObjectNode unknownDependency =
                unknownTeam.deepCopy().put("owner", "team").put("name_id", "req-000933");
        unknownDependency
                .putArray("nodes")
                .addObject()
                .put("id", "a")
                .putArray("awaits")
                .add("b");
        assertEquals(
                422,
                forwardToScenario("POST", "/graphs", Codec.write(unknownDependency, false))
                        .status());
        for (String id : List.of("req-000930", "req-000931", "req-000932", "req-000933")) {
            assertEquals(
                    404, forwardToScenario("GET", "/graphs/" + id, new byte[0]).status(), id);
        }
        assertEquals(
                404, forwardToScenario("GET", "/graphs/../../x", new byte[0]).status());
        assertNull(scenario.store.valueOf("h/j/req-000933"));
    }
}
