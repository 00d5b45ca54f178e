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
 * A client with a graph, and what its tasks do: each node's part is drawn from its name, so that an attempt that runs
 * again does the same. It checks what it is told: no node starts before all that it awaits is done, none that was told
 * to be cancelled starts, none is run under two names, and none that was accepted gets lost.
 */
final class GraphUser {
    private final ClusterScenario scenario;
    final String id;
    private final int depth;
    private final int width;
    /** By node: its task as the service named it, and what it awaits. */
    private final Map<String, String> taskOf = new HashMap<>();

    private final Map<String, String> nodeOf = new HashMap<>();
    private final Map<String, List<String>> awaits = new LinkedHashMap<>();
    private final Map<String, String> then = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    private final Map<String, Long> cancelledAt = new HashMap<>();
    private boolean sent;
    private Long withdrawnAt;
    String lastStatus = "";
    int rejectedChildren;

    /** {@code depth}: how often nodes may add children below one another; {@code width}: how many each adds at most. */
    GraphUser(ClusterScenario scenario, String id, int depth, int width) {
        this.scenario = scenario;
        this.id = id;
        this.depth = depth;
        this.width = width;
    }

    private Random randomFor(String node) {
        return new Random(node.hashCode() * 31L + id.hashCode());
    }

    private ObjectNode node(String name, List<String> needs) {
        awaits.put(name, needs);
        Random r = randomFor(name);
        ObjectNode n =
                Codec.object().put("id", name).put("cores", 1.0 + r.nextInt(2)).put("expect_s", 2.0 + r.nextInt(4));
        ArrayNode list = n.putArray("awaits");
        needs.forEach(list::add);
        return n;
    }

    private ObjectNode call(List<ObjectNode> nodes) {
        ObjectNode b = Codec.object()
                .put("name_id", id)
                .put("jobkind", "graph")
                .put("owner", "team")
                .put("rank", "standard");
        b.putObject("task")
                .put("cores", 1.0)
                .put("ram_gb", 2.0)
                .put("bundle", "img-0")
                .put("pull_gb", 1.0)
                .put("lendable", true);
        b.putArray("nodes").addAll(nodes);
        return b;
    }

    void start() {
        List<ObjectNode> first = new ArrayList<>();
        List<String> names = new ArrayList<>();
        Random r = randomFor("");
        for (int i = 0; i < 1 + r.nextInt(4); i++) {
            List<String> needs = names.stream().filter(n -> r.nextInt(3) == 0).toList();
            names.add("n" + i);
            first.add(node("n" + i, needs));
        }
        ObjectNode b = call(first);
        scenario.checker.jobSubmitted(id, b, scenario.world.now);
        scenario.checker.tasks.graphProgram = this::running;
        USERS.put(id, this);
        post("/graphs", b, 0, r2 -> {
            learn(b, r2);
            sent = true;
            poll();
        });
    }

    private static final Map<String, GraphUser> USERS = new HashMap<>();

    /** Tasks of several graphs run on one day. */
    private void running(String task, long attempt, Runnable finish) {
        USERS.get(task.substring(0, task.indexOf('/'))).run(task, attempt, finish);
    }

    /** Repeats a call until it is answered for certain. */
    private void post(String path, ObjectNode body, int tries, Consumer<Response> then) {
        if (tries > 120) {
            return;
        }
        scenario.world.send(
                "user",
                new Request("p" + scenario.world.random.nextInt(3) + ":1", "POST", path, body, 5_000, false),
                r -> {
                    if (r.status() == 200
                            || r.status() == 201
                            || r.status() == 409
                            || r.status() == 422
                            || r.status() == 400
                            || r.status() == 404) {
                        then.accept(r);
                    } else {
                        scenario.world.schedule(1_000, () -> post(path, body, tries + 1, then));
                    }
                });
    }

    /**
     * Takes in which task each node is, as a user's upload of descriptions does; a node that got two names would run
     * twice.
     */
    private void learn(ObjectNode call, Response r) {
        if (!r.body().path("tasks").isObject()) {
            if (r.status() != 409) {
                scenario.checker.violations.add("graph refused " + id + ": " + r.status() + " " + r.body());
            }
            rejectedChildren += r.status() == 409 ? 1 : 0;
            return;
        }
        for (JsonNode n : call.path("nodes")) {
            String name = n.path("id").asText();
            String task = r.body().path("tasks").path(name).asText();
            String before = taskOf.put(name, task);
            if (before != null && !before.equals(task)) {
                scenario.checker.violations.add("doubled " + id + " " + name + ": " + before + " and " + task);
            }
            nodeOf.put(task, name);
            accepted.add(name);
            // what an agent fetches: the node's fields, and the call's for the rest
            ObjectNode description = call.path("task").deepCopy();
            description.setAll((ObjectNode) n);
            scenario.checker.tasks.graphNodes.put(task, description);
        }
    }

    private void run(String task, long attempt, Runnable finish) {
        String node = nodeOf.get(task);
        for (String other : awaits.get(node)) {
            if (!complete(other)) {
                scenario.checker.violations.add("too_early " + id + " " + node + " before " + other);
            }
        }
        if ((cancelledAt.containsKey(node) && scenario.world.now > cancelledAt.get(node) + 35_000)
                || (withdrawnAt != null && scenario.world.now > withdrawnAt + 35_000)) {
            scenario.checker.violations.add("ran_cancelled " + id + " " + node);
        }
        Random r = randomFor(node + "/");
        long ms = 1_000L + r.nextInt(4_000);
        int level = node.length() - node.replace(".", "").length();
        int children = level < depth ? r.nextInt(width + 1) : 0;
        if (children == 0) {
            scenario.world.schedule(ms, finish);
            return;
        }
        List<ObjectNode> list = new ArrayList<>();
        List<String> names = new ArrayList<>();
        for (int i = 0; i < children; i++) {
            String name = node + "." + i;
            List<String> needs = new ArrayList<>(
                    names.stream().filter(n -> r.nextInt(4) == 0).toList());
            names.add(name);
            list.add(node(name, needs));
        }
        boolean hands = r.nextBoolean();
        if (hands) {
            list.add(node(node + ".c", List.copyOf(names)));
        }
        ObjectNode b = call(list).put("parent", node).put("try", attempt);
        if (hands) {
            b.put("then", node + ".c");
        }
        long asked = scenario.world.now;
        scenario.world.schedule(
                ms,
                () -> post("/graphs/" + id + "/nodes", b, 0, reply -> {
                    if (reply.status() == 201 && withdrawnAt != null && asked > withdrawnAt) {
                        scenario.checker.violations.add(
                                "orphan children of " + node + " accepted after the graph's cancellation");
                    }
                    if (hands && reply.body().path("tasks").isObject()) {
                        then.put(node, node + ".c");
                    }
                    learn(b, reply);
                    scenario.world.schedule(500, finish);
                }));
    }

    /** Its own task has completed, and that of whatever it handed on to. */
    private boolean complete(String node) {
        String at = node;
        while (at != null) {
            if (!taskOf.containsKey(at) || !scenario.checker.tasks.isTaskComplete(taskOf.get(at))) {
                return false;
            }
            at = then.get(at);
        }
        return true;
    }

    private void poll() {
        long asked = scenario.world.now;
        scenario.world.send(
                "user",
                new Request(
                        "p" + scenario.world.random.nextInt(3) + ":1", "GET", "/submissions/" + id, null, 2_000, false),
                r -> {
                    if (r.status() == 200) {
                        lastStatus = r.body().path("status").asText();
                        scenario.checker.jobAnswered(id, lastStatus, asked, scenario.world.now);
                        if (lastStatus.equals("done")) {
                            for (String node : accepted) {
                                if (!complete(node)) {
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

    void cancel() {
        if (!sent) {
            scenario.world.schedule(500, this::cancel);
            return;
        }
        scenario.checker.cancellationRequested(id);
        long asked = scenario.world.now;
        post("/graphs/" + id + "/withdraw", Codec.object(), 0, r -> {
            if (r.status() == 200) {
                scenario.checker.jobAnswered(id, r.body().path("status").asText(), asked, scenario.world.now);
                if (r.body().path("status").asText().equals("aborted")) {
                    withdrawnAt = scenario.world.now;
                }
            }
        });
    }

    /** Cancels one of the nodes that the service knows. */
    void cancelRandomNode() {
        if (accepted.isEmpty()) {
            return;
        }
        List<String> names = new ArrayList<>(accepted);
        names.sort(null);
        String node = names.get(scenario.world.random.nextInt(names.size()));
        scenario.checker.cancellationRequested(id); // with a node cancelled the graph ends as not done
        post("/graphs/" + id + "/nodes/" + node + "/withdraw", Codec.object(), 0, r -> {
            if (r.body().path("state").asText().equals("cancelled")) {
                cancelledAt.put(node, scenario.world.now);
                awaits.forEach((other, needs) -> {
                    if (needs.contains(node)) {
                        cancelledAt.putIfAbsent(other, scenario.world.now);
                    }
                });
            }
        });
    }
}
