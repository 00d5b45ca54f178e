package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.hollypick.io.Codec;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/** A worker, written from the protocol: reports, leases, tokens, images, orders late and repeated. */
final class FakeAgent implements SimulatedWorld.Endpoint {
    private static final class Task {
        String status = "fetching";
        String cause;
    }

    final String name;
    final String addr;
    final String zone;
    final boolean spot;
    private final SimulatedWorld world;
    private final InvariantChecker checker;
    private final List<String> nodes;
    private final long leaseMs;
    private final double cpus;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private final List<Runnable> frozen = new ArrayList<>();
    boolean gone;
    private boolean hung;
    /** For how long it has hung in all: its tasks don't run meanwhile. */
    private long hungMs;
    /** Orders of that kind don't reach it, as if no controller sent them: breaks rules in tests of the checker. */
    String ignored = "";
    /** It reports tasks that wait for their image as running: a leader acts as one that doesn't tell them apart. */
    boolean callsFetchingRunning;
    /** Counts its starts: what an earlier life has under way means nothing to the present one. */
    private int life;

    private boolean down;
    private boolean sick;
    /** It carries out direct commands of any token and session: breaks the workers' promise. */
    boolean careless;

    private int node;
    private long session = 1;
    private long tick;
    /** The highest that it has seen. */
    long token;

    private long renewedAt;
    private boolean reporting;
    private long lastReport;
    Double notice;

    FakeAgent(
            SimulatedWorld world,
            InvariantChecker checker,
            List<String> nodes,
            String name,
            String addr,
            String zone,
            boolean spot,
            double cpus,
            long leaseMs) {
        this.world = world;
        this.checker = checker;
        this.nodes = nodes;
        this.name = name;
        this.addr = addr;
        this.zone = zone;
        this.spot = spot;
        this.cpus = cpus;
        this.leaseMs = leaseMs;
        this.renewedAt = world.now;
        this.node = world.random.nextInt(nodes.size());
        loop();
        watchLease();
    }

    /** Tasks that it reports, exited ones included. */
    int tasks() {
        return tasks.size();
    }

    /** Whether a task of that job is on it and hasn't ended. */
    boolean has(String job) {
        return tasks.entrySet().stream()
                .anyMatch(e ->
                        e.getKey().startsWith(job + "/") && !e.getValue().status.equals("exited"));
    }

    /** Tasks that haven't ended. */
    int running() {
        return (int)
                tasks.values().stream().filter(t -> !t.status.equals("exited")).count();
    }

    /** The tasks that haven't ended. */
    List<String> taskNames() {
        return tasks.entrySet().stream()
                .filter(e -> !e.getValue().status.equals("exited"))
                .map(e -> taskOf(e.getKey()))
                .toList();
    }

    /** It is up, reports and isn't faulty, and the cloud hasn't announced its end. */
    boolean isWell() {
        return !gone && !down && !hung && !sick && notice == null;
    }

    /** Tasks end with the lease even on a machine that hangs. */
    private void watchLease() {
        world.at(100, () -> {
            if (!gone) {
                checkLease();
                watchLease();
            }
        });
    }

    /** Whatever the machine does waits while it hangs, and is lost when it is gone. */
    private void later(long ms, Runnable run) {
        int now = life;
        world.at(ms, () -> act(now, run));
    }

    private void act(int when, Runnable run) {
        if (gone || down || when != life) {
            return;
        }
        if (hung) {
            frozen.add(run);
        } else {
            checkLease();
            run.run();
        }
    }

    void hang(long ms) {
        hung = true;
        world.at(ms, () -> {
            hung = false;
            hungMs += ms;
            checkLease();
            tasks.forEach((k, t) -> {
                if (t.status.equals("running")) {
                    checker.wentOn(taskOf(k), world.now);
                }
            });
            List<Runnable> list = new ArrayList<>(frozen);
            frozen.clear();
            list.forEach(r -> act(life, r));
        });
    }

    void hangLater(long afterMs, long ms) {
        world.at(afterMs, () -> hang(ms));
    }

    /** Ends a task that has run for so long, times in which the machine hung left out. */
    private void runFor(long ms, Runnable end) {
        long before = hungMs;
        later(ms, () -> {
            if (hungMs > before) {
                runFor(hungMs - before, end);
            } else {
                end.run();
            }
        });
    }

    /**
     * It ends and is back soon with nothing on it; {@code anew}: with its counts at their first values, and no token.
     */
    void restart(long ms, boolean anew) {
        if (gone || down || hung) {
            return;
        }
        down = true;
        life++;
        leave();
        images.clear();
        world.at(ms, () -> {
            down = false;
            reporting = false;
            renewedAt = world.now;
            if (anew) {
                session = 1;
                tick = 0;
                token = 0;
            }
            loop();
        });
    }

    private void leave() {
        tasks.keySet().forEach(k -> checker.left(taskOf(k), this));
        tasks.clear();
    }

    void sick() {
        sick = true;
    }

    void vanish() {
        gone = true;
        leave();
    }

    @Override
    public boolean listens() {
        return !gone && !down;
    }

    @Override
    public int life() {
        return life;
    }

    private static String taskOf(String key) {
        return key.substring(0, key.indexOf('#'));
    }

    private void checkLease() {
        if (!down && world.now - renewedAt > leaseMs) {
            tasks.forEach((k, t) -> {
                checker.lost += t.status.equals("running") ? 1 : 0;
                checker.left(taskOf(k), this);
            });
            tasks.clear();
            session++;
            renewedAt = world.now;
        }
    }

    private void loop() {
        later(200, () -> {
            if (!reporting && world.now - lastReport > 2_250 + world.random.nextInt(1_500)) {
                report();
            }
            loop();
        });
    }

    private void changed() {
        later(Math.max(0, 500 - (world.now - lastReport)), () -> {
            if (!reporting) {
                report();
            }
        });
    }

    private ObjectNode describe() {
        ObjectNode b = Codec.object()
                .put("bothy", name)
                .put("addr", addr)
                .put("flavour", "t4")
                .put("hall", zone)
                .put("lendable", spot)
                .put("tenure", session)
                .put("tick", ++tick)
                .put("baton", token);
        if (notice != null) {
            b.put("warning_s", notice);
        }
        ArrayNode list = b.putArray("shards");
        tasks.forEach((k, t) -> {
            ObjectNode n = list.addObject()
                    .put("shard", taskOf(k))
                    .put("try", Long.parseLong(k.substring(k.indexOf('#') + 1)))
                    .put("status", callsFetchingRunning && t.status.equals("fetching") ? "running" : t.status);
            if (t.cause != null) {
                n.put("cause", t.cause);
            }
        });
        return b;
    }

    private void report() {
        reporting = true;
        lastReport = world.now;
        long sent = world.now;
        long sentIn = session;
        int now = life;
        world.send(
                name,
                new Request(nodes.get(node), "POST", "/hello", describe(), 4_000, false),
                r -> act(now, () -> {
                    reporting = false;
                    if (r.status() == 200
                            && session == sentIn
                            && world.now - sent <= 4_000
                            && r.body().path("baton").asLong() >= token) {
                        boolean higher = r.body().path("baton").asLong() > token;
                        token = r.body().path("baton").asLong();
                        renewedAt = sent;
                        execute(r.body().path("orders"));
                        if (higher) {
                            changed();
                        }
                    } else if (r.status() == 421 && r.body().path("foreman").isTextual()) {
                        int next = Integer.parseInt(
                                r.body().path("foreman").asText().substring("bothy-".length()));
                        if (next == node) {
                            node = (node + 1) % nodes.size();
                        }
                        node = next;
                        later(300, () -> lastReport = 0);
                    } else if (r.status() != 200) {
                        node = (node + 1) % nodes.size();
                        later(1_000, () -> lastReport = 0);
                    }
                }));
    }

    private void execute(JsonNode orders) {
        for (JsonNode o : orders) {
            if (o.path("verb").asText().equals(ignored)) {
                continue;
            }
            String task = o.path("shard").asText();
            String key = task + "#" + o.path("try").asLong();
            Task t = tasks.get(key);
            switch (o.path("verb").asText()) {
                case "launch" -> {
                    if (t == null) {
                        launch(task, key);
                    }
                }
                case "kill" -> {
                    if (t != null && !t.status.equals("exited")) {
                        exit(key, t, "stopped");
                    }
                }
                case "clear" -> {
                    if (t != null && t.status.equals("exited")) {
                        tasks.remove(key);
                    }
                }
                default -> throw new AssertionError("unknown order " + o);
            }
        }
    }

    private void launch(String task, String key) {
        Task t = new Task();
        JsonNode spec = checker.spec(task);
        if (spec == null) {
            refuse(key, t, "unknown");
            return;
        }
        double used = spec.path("cores").asDouble();
        for (Map.Entry<String, Task> e : tasks.entrySet()) {
            if (!e.getValue().status.equals("exited")) {
                if (taskOf(e.getKey()).equals(task)) {
                    refuse(key, t, "busy");
                    return;
                }
                used += checker.spec(taskOf(e.getKey())).path("cores").asDouble();
            }
        }
        if (used > cpus + 1e-6) {
            refuse(key, t, "full");
            return;
        }
        tasks.put(key, t);
        String image = spec.path("bundle").asText();
        later(images.contains(image) ? 0 : 2_000 + world.random.nextInt(3_000), () -> {
            if (tasks.get(key) == t && t.status.equals("fetching")) {
                images.add(image);
                t.status = "running";
                checker.started(task, this, world.now);
                changed();
                if (checker.nodes.containsKey(task)) {
                    if (sick || spec.path("fails").asBoolean()) {
                        later(500, () -> end(key, t, "error"));
                    } else {
                        checker.program.running(
                                task,
                                Long.parseLong(key.substring(key.indexOf('#') + 1)),
                                () -> act(life, () -> end(key, t, "done")));
                    }
                } else if (sick) {
                    later(500, () -> end(key, t, "error"));
                } else if (spec.path("shape").asText().equals("batch")) {
                    long ms = (long) (spec.path("expect_s").asDouble() * (500 + world.random.nextInt(1_000)));
                    runFor(ms, () -> end(key, t, "done"));
                }
            }
        });
    }

    private void refuse(String key, Task t, String why) {
        t.status = "exited";
        t.cause = why;
        tasks.put(key, t);
        changed();
    }

    private void end(String key, Task t, String cause) {
        if (tasks.get(key) == t && t.status.equals("running")) {
            if (cause.equals("done")) {
                checker.completed(taskOf(key));
            }
            exit(key, t, cause);
        }
    }

    private void exit(String key, Task t, String cause) {
        if (t.status.equals("running")) {
            checker.left(taskOf(key), this);
        }
        t.status = "exited";
        t.cause = cause;
        changed();
    }

    @Override
    public void request(String method, String path, JsonNode body, Consumer<Response> callback) {
        act(life, () -> {
            if (path.equals("/inspect")) {
                callback.accept(new Response(200, describe()));
            } else if (!careless
                    && (body.path("baton").asLong() < token
                            || body.path("tenure").asLong() != session)) {
                callback.accept(new Response(409, describe()));
            } else {
                boolean higher = body.path("baton").asLong() > token;
                token = Math.max(token, body.path("baton").asLong());
                execute(body.path("orders"));
                if (higher) {
                    changed();
                }
                callback.accept(new Response(200, describe()));
            }
        });
    }
}
