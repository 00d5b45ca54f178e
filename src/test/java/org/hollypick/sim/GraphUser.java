package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/**
 * Simulates a user who submits a graph, and the behaviour of the graph's tasks. The behaviour of each node is drawn
 * from its name, which makes repeated attempts of a node behave alike. Checks that no node starts before all its
 * dependencies have completed, that no node starts for long after a user was told that it is cancelled, that no node is
 * assigned two tasks, and that no accepted node is missing when the graph is done.
 */
final class GraphUser {
    /** Milliseconds after a cancellation within which a node may still start: a lease of 15 s and 20 s of grace. */
    private static final long CANCELLATION_MS = 35_000;

    private static final int MAX_RETRIES = 120;
    /** Users of graphs by graph. */
    private static final Map<String, GraphUser> USERS = new HashMap<>();

    private final ClusterScenario scenario;
    final String id;
    private final int depth;
    private final int width;
    /** The task that the controllers assigned to each accepted node. */
    private final Map<String, String> taskByNode = new HashMap<>();
    /** The node of each task: the inverse of {@link #taskByNode}. */
    private final Map<String, String> nodeByTask = new HashMap<>();
    /** The dependencies of each node, by node. */
    private final Map<String, List<String>> dependenciesByNode = new LinkedHashMap<>();
    /** The node to which a node delegated its result, by delegating node. */
    private final Map<String, String> continuationOf = new HashMap<>();
    /** Nodes that a controller accepted. */
    private final Set<String> acceptedNodes = new HashSet<>();
    /** When a user was told that the node, or a direct dependency of it, is cancelled, by node. */
    private final Map<String, Long> nodeCancelledAt = new HashMap<>();

    private boolean isSubmitted;
    /** When the user was told that the graph is cancelled; null until then. */
    private Long graphCancelledAt;
    /** The status of the graph in the last response to a query; empty until then. */
    String lastStatus = "";
    /** Number of requests with nodes that were rejected with 409. */
    int rejectedChildren;

    /**
     * Creates a user who submits one graph.
     *
     * @param depth number of levels of children that may be added below the first nodes
     * @param width maximum number of children that a node adds
     */
    GraphUser(ClusterScenario scenario, String id, int depth, int width) {
        this.scenario = scenario;
        this.id = id;
        this.depth = depth;
        this.width = width;
    }

    /** The random generator of a node; the same at each attempt. */
    private Random randomFor(String node) {
        return new Random(node.hashCode() * 31L + id.hashCode());
    }

    /** Draws the description of a node and records its dependencies. */
    private ObjectNode describeNode(String name, List<String> dependencies) {
        dependenciesByNode.put(name, dependencies);
        Random random = randomFor(name);
        ObjectNode description = Codec.object()
                .put("id", name)
                .put("cores", 1.0 + random.nextInt(2))
                .put("expect_s", 2.0 + random.nextInt(4));
        ArrayNode dependencyList = description.putArray("awaits");
        dependencies.forEach(dependencyList::add);
        return description;
    }

    /** A request that adds nodes to the graph. */
    private ObjectNode graphRequest(List<ObjectNode> nodes) {
        ObjectNode body = Codec.object()
                .put("name_id", id)
                .put("jobkind", "graph")
                .put("owner", "team")
                .put("rank", "standard");
        body.putObject("task")
                .put("cores", 1.0)
                .put("ram_gb", 2.0)
                .put("bundle", "img-0")
                .put("pull_gb", 1.0)
                .put("lendable", true);
        body.putArray("nodes").addAll(nodes);
        return body;
    }

    /** Submits the graph with one to four nodes and starts to poll its status. */
    void start() {
        List<ObjectNode> firstNodes = new ArrayList<>();
        List<String> names = new ArrayList<>();
        Random random = randomFor("");
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            List<String> dependencies =
                    names.stream().filter(other -> random.nextInt(3) == 0).toList();
            names.add("n" + i);
            firstNodes.add(describeNode("n" + i, dependencies));
        }
        ObjectNode body = graphRequest(firstNodes);
        scenario.checker.jobSubmitted(id, body, scenario.world.now);
        scenario.checker.tasks.graphProgram = this::runTask;
        USERS.put(id, this);
        post("/graphs", body, 0, response -> {
            recordTasks(body, response);
            isSubmitted = true;
            poll();
        });
    }

    /** Runs a task with the behaviour that the user of its graph draws; each graph of a scenario has its own user. */
    private void runTask(String task, long attempt, Runnable finish) {
        USERS.get(task.substring(0, task.indexOf('/'))).run(task, attempt, finish);
    }

    /** Sends a request, with retries until it succeeds or is rejected; gives up after 121 attempts. */
    private void post(String path, ObjectNode body, int failedAttempts, Consumer<Response> callback) {
        if (failedAttempts > MAX_RETRIES) {
            return;
        }
        scenario.world.send(
                "user",
                new Request("p" + scenario.world.random.nextInt(3) + ":1", "POST", path, body, 5_000, false),
                response -> {
                    if (response.status() == 200
                            || response.status() == 201
                            || response.status() == 409
                            || response.status() == 422
                            || response.status() == 400
                            || response.status() == 404) {
                        callback.accept(response);
                    } else {
                        scenario.world.schedule(1_000, () -> post(path, body, failedAttempts + 1, callback));
                    }
                });
    }

    /**
     * Records the tasks that a response assigns to the nodes of its request, and their descriptions. A node that is
     * assigned two tasks would run twice.
     */
    private void recordTasks(ObjectNode request, Response response) {
        if (!response.body().path("tasks").isObject()) {
            if (response.status() != 409) {
                scenario.checker.violations.add(
                        "graph refused " + id + ": " + response.status() + " " + response.body());
            }
            rejectedChildren += response.status() == 409 ? 1 : 0;
            return;
        }
        for (JsonNode node : request.path("nodes")) {
            String name = node.path("id").asText();
            String task = response.body().path("tasks").path(name).asText();
            String earlier = taskByNode.put(name, task);
            if (earlier != null && !earlier.equals(task)) {
                scenario.checker.violations.add("doubled " + id + " " + name + ": " + earlier + " and " + task);
            }
            nodeByTask.put(task, name);
            acceptedNodes.add(name);
            scenario.checker.tasks.graphNodes.put(task, TaskChecker.describeGraphNode(request, node));
        }
    }

    /** Runs an attempt of a node: checks whether it may start, then completes it, adding children in some cases. */
    private void run(String task, long attempt, Runnable finish) {
        String node = nodeByTask.get(task);
        for (String other : dependenciesByNode.get(node)) {
            if (!isNodeComplete(other)) {
                scenario.checker.violations.add("too_early " + id + " " + node + " before " + other);
            }
        }
        if ((nodeCancelledAt.containsKey(node) && scenario.world.now > nodeCancelledAt.get(node) + CANCELLATION_MS)
                || (graphCancelledAt != null && scenario.world.now > graphCancelledAt + CANCELLATION_MS)) {
            scenario.checker.violations.add("ran_cancelled " + id + " " + node);
        }
        Random random = randomFor(node + "/");
        long runMs = 1_000L + random.nextInt(4_000);
        int level = node.length() - node.replace(".", "").length();
        int children = level < depth ? random.nextInt(width + 1) : 0;
        if (children == 0) {
            scenario.world.schedule(runMs, finish);
            return;
        }
        List<ObjectNode> descriptions = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < children; i++) {
            String name = node + "." + i;
            List<String> dependencies = new ArrayList<>(
                    names.stream().filter(other -> random.nextInt(4) == 0).toList());
            names.add(name);
            descriptions.add(describeNode(name, dependencies));
        }
        boolean isDelegating = random.nextBoolean();
        if (isDelegating) {
            descriptions.add(describeNode(node + ".c", List.copyOf(names)));
        }
        ObjectNode body = graphRequest(descriptions).put("parent", node).put("try", attempt);
        if (isDelegating) {
            body.put("then", node + ".c");
        }
        long startedAt = scenario.world.now;
        scenario.world.schedule(
                runMs,
                () -> post("/graphs/" + id + "/nodes", body, 0, response -> {
                    if (response.status() == 201 && graphCancelledAt != null && startedAt > graphCancelledAt) {
                        scenario.checker.violations.add(
                                "orphan children of " + node + " accepted after the graph's cancellation");
                    }
                    if (isDelegating && response.body().path("tasks").isObject()) {
                        continuationOf.put(node, node + ".c");
                    }
                    recordTasks(body, response);
                    scenario.world.schedule(500, finish);
                }));
    }

    /** Whether the node's task has completed, and those of all nodes to which its result was delegated in turn. */
    private boolean isNodeComplete(String node) {
        String current = node;
        while (current != null) {
            if (!taskByNode.containsKey(current) || !scenario.checker.tasks.isTaskComplete(taskByNode.get(current))) {
                return false;
            }
            current = continuationOf.get(current);
        }
        return true;
    }

    /** Queries the graph's status until it is terminal, and checks that a graph that is done lacks no accepted node. */
    private void poll() {
        long sentAt = scenario.world.now;
        scenario.world.send(
                "user",
                new Request(
                        "p" + scenario.world.random.nextInt(3) + ":1", "GET", "/submissions/" + id, null, 2_000, false),
                response -> {
                    if (response.status() == 200) {
                        lastStatus = response.body().path("status").asText();
                        scenario.checker.jobAnswered(id, lastStatus, sentAt, scenario.world.now);
                        if (lastStatus.equals("done")) {
                            for (String node : acceptedNodes) {
                                if (!isNodeComplete(node)) {
                                    scenario.checker.violations.add(
                                            "lost " + id + " " + node + ": the graph is done without it");
                                }
                            }
                        }
                    }
                    if (!lastStatus.equals("done") && !lastStatus.equals("aborted")) {
                        scenario.world.schedule(2_000, this::poll);
                    }
                });
    }

    /** Cancels the graph, once its submission was answered. */
    void cancel() {
        if (!isSubmitted) {
            scenario.world.schedule(500, this::cancel);
            return;
        }
        scenario.checker.cancellationRequested(id);
        long sentAt = scenario.world.now;
        post("/graphs/" + id + "/withdraw", Codec.object(), 0, response -> {
            if (response.status() == 200) {
                scenario.checker.jobAnswered(id, response.body().path("status").asText(), sentAt, scenario.world.now);
                if (response.body().path("status").asText().equals("aborted")) {
                    graphCancelledAt = scenario.world.now;
                }
            }
        });
    }

    /** Cancels one of the accepted nodes. */
    void cancelRandomNode() {
        if (acceptedNodes.isEmpty()) {
            return;
        }
        List<String> names = new ArrayList<>(acceptedNodes);
        names.sort(null);
        String node = names.get(scenario.world.random.nextInt(names.size()));
        scenario.checker.cancellationRequested(id); // a graph with a cancelled node doesn't end as "done"
        post("/graphs/" + id + "/nodes/" + node + "/withdraw", Codec.object(), 0, response -> {
            if (response.body().path("state").asText().equals("cancelled")) {
                nodeCancelledAt.put(node, scenario.world.now);
                dependenciesByNode.forEach((other, dependencies) -> {
                    if (dependencies.contains(node)) {
                        nodeCancelledAt.putIfAbsent(other, scenario.world.now);
                    }
                });
            }
        });
    }
}
