package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** A stand-in of one machine with its worker, as PROTOCOL describes it. Times are in seconds of {@link Wire#now}. */
final class Worker {
    private static final class Task {
        String shard;
        long attempt;
        String status = "fetching";
        String cause;
        boolean fails;
        boolean saved;
        JsonNode job;
        double imageAt;
        double startedAt;
        double endsAt = Double.POSITIVE_INFINITY;
        double savedAt;
    }

    final String name;
    final JsonNode type;
    final String hall;
    final boolean lendable;
    final int port;
    private final Map<String, JsonNode> jobs;
    private final List<String> controllers;
    private final List<String> controllerNames;
    private final double reportS;
    private final double leaseS;
    private final HttpServer server;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long tenure = 1;
    private long tick;
    private long baton;
    private double leaseFrom = Wire.now();
    private int node;
    private boolean changed;
    private boolean gone;
    /** While true every task that starts on this machine fails. */
    volatile boolean sick;
    /** Run time of a batch task that completes; a job's expect_s if negative. */
    volatile double runS = -1;
    /** Called with each direct call that was carried out. */
    volatile Consumer<JsonNode> onCall = call -> {};
    /** Counts of starts by shard. */
    final Map<String, Integer> starts = new HashMap<>();

    Worker(
            String name,
            JsonNode type,
            String hall,
            boolean lendable,
            Map<String, JsonNode> jobs,
            List<String> controllerNames,
            List<String> controllers,
            double reportS,
            double leaseS)
            throws IOException {
        this.name = name;
        this.type = type;
        this.hall = hall;
        this.lendable = lendable;
        this.jobs = jobs;
        this.controllerNames = controllerNames;
        this.controllers = controllers;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.port = Wire.freePort();
        this.random = new Random(name.hashCode());
        this.node = random.nextInt(controllers.size());
        this.server = Wire.serve(port, this::handle);
        start(this::reportLoop);
        start(this::taskLoop);
        Wire.log(name + " up: type=" + type.path("sku").asText() + " hall=" + hall + " lendable=" + lendable);
    }

    private void start(Runnable loop) {
        Thread thread = new Thread(loop);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Takes the machine away. */
    synchronized void vanish() {
        gone = true;
        tasks.clear();
        server.stop(0);
        Wire.log(name + " gone");
    }

    synchronized boolean isGone() {
        return gone;
    }

    /** Number of tasks on the machine that haven't exited. */
    synchronized int active() {
        return (int) tasks.values().stream().filter(t -> !t.status.equals("exited")).count();
    }

    synchronized boolean has(String shard) {
        return tasks.values().stream().anyMatch(t -> t.shard.equals(shard) && !t.status.equals("exited"));
    }

    /** Whether the machine lists the attempt, in any state. */
    synchronized boolean knows(String shard, long attempt) {
        return tasks.containsKey(shard + "#" + attempt);
    }

    /** The shards that run on the machine: those that have their image and haven't exited. */
    synchronized List<String> running() {
        return tasks.values().stream()
                .filter(t -> t.status.equals("running") || t.status.equals("saving"))
                .map(t -> t.shard)
                .toList();
    }

    synchronized double freeCores() {
        return type.path("cores").asDouble() - used("cores");
    }

    synchronized double freeRam() {
        return type.path("ram_gb").asDouble() - used("ram_gb");
    }

    private double used(String amount) {
        return tasks.values().stream()
                .filter(t -> !t.status.equals("exited"))
                .mapToDouble(t -> t.job.path(amount).asDouble())
                .sum();
    }

    // ---- reports ----

    private synchronized ObjectNode report() {
        tick++;
        ObjectNode body = Wire.map()
                .put("bothy", name)
                .put("addr", address())
                .put("flavour", type.path("sku").asText())
                .put("hall", hall)
                .put("lendable", lendable)
                .put("tenure", tenure)
                .put("tick", tick)
                .put("baton", baton);
        body.putNull("warning_s");
        ArrayNode shards = body.putArray("shards");
        for (Task task : tasks.values()) {
            ObjectNode one =
                    shards.addObject().put("shard", task.shard).put("try", task.attempt).put("status", task.status);
            if (task.cause != null) {
                one.put("cause", task.cause);
            }
            if (task.saved) {
                one.put("saved", true);
            }
        }
        changed = false;
        return body;
    }

    private void reportLoop() {
        while (!isGone()) {
            long session;
            double sentAt;
            ObjectNode report;
            synchronized (this) {
                expireLease();
                session = tenure;
                sentAt = Wire.now();
                report = report();
            }
            Wire.Answer answer = Wire.call("POST", controllers.get(node), "/hello", report, 4000);
            double wait = reportS * (0.75 + 0.5 * random.nextDouble());
            if (answer.status() == 200) {
                accept(answer.body(), session, sentAt);
            } else if (answer.status() == 421 && controllerNames.contains(answer.body().path("foreman").asText())
                    && controllerNames.indexOf(answer.body().path("foreman").asText()) != node) {
                node = controllerNames.indexOf(answer.body().path("foreman").asText());
                wait = 0.3;
            } else {
                node = (node + 1) % controllers.size();
                wait = 1;
            }
            double until = Wire.now() + wait;
            double earliest = Wire.now() + 0.5;
            while (Wire.now() < until && !(isChanged() && Wire.now() >= earliest)) {
                Wire.sleep(0.02);
            }
        }
    }

    private synchronized boolean isChanged() {
        return changed;
    }

    private synchronized void accept(JsonNode response, long session, double sentAt) {
        if (gone || session != tenure || !response.has("baton") || Wire.now() - sentAt > 4) {
            return;
        }
        long token = response.path("baton").asLong();
        if (Long.compareUnsigned(token, baton) < 0) {
            return;
        }
        if (token != baton) {
            baton = token;
            changed = true;
        }
        leaseFrom = sentAt;
        response.path("orders").forEach(this::execute);
    }

    private void expireLease() {
        if (Wire.now() - leaseFrom > leaseS) {
            Wire.log(name + " lease expired, session " + tenure + " ends with " + tasks.size() + " tasks");
            tasks.clear();
            tenure++;
            leaseFrom = Wire.now();
            changed = true;
        }
    }

    // ---- commands ----

    private synchronized Wire.Answer handle(String method, String path, Map<String, String> query, JsonNode body) {
        expireLease();
        if (path.equals("/inspect")) {
            return new Wire.Answer(200, report());
        }
        if (body == null || !body.has("baton") || !body.has("tenure")) {
            return new Wire.Answer(400, Wire.map());
        }
        long token = body.path("baton").asLong();
        if (Long.compareUnsigned(token, baton) < 0 || body.path("tenure").asLong() != tenure) {
            return new Wire.Answer(409, report());
        }
        if (token != baton) {
            baton = token;
            changed = true;
        }
        body.path("orders").forEach(this::execute);
        onCall.accept(body);
        return new Wire.Answer(200, report());
    }

    private void execute(JsonNode order) {
        String shard = order.path("shard").asText();
        long attempt = order.path("try").asLong();
        String key = shard + "#" + attempt;
        Task task = tasks.get(key);
        switch (order.path("verb").asText()) {
            case "launch" -> {
                if (task == null) {
                    launch(shard, attempt, key);
                }
            }
            case "kill" -> {
                if (task != null) {
                    kill(task, order.path("leeway_s").asDouble());
                }
            }
            case "clear" -> {
                if (task != null && task.status.equals("exited")) {
                    tasks.remove(key);
                    changed = true;
                }
            }
            default -> {}
        }
    }

    private void launch(String shard, long attempt, String key) {
        Task task = new Task();
        task.shard = shard;
        task.attempt = attempt;
        task.job = jobs.get(shard.substring(0, shard.indexOf('/')));
        changed = true;
        boolean busy = has(shard);
        tasks.put(key, task);
        if (task.job == null) {
            task.job = Wire.map();
            exit(task, "unknown");
        } else if (busy) {
            exit(task, "busy");
        } else if (used("cores") > type.path("cores").asDouble() + 1e-6
                || used("ram_gb") > type.path("ram_gb").asDouble() + 1e-6) {
            exit(task, "full");
        } else {
            String image = task.job.path("bundle").asText();
            double pull = images.contains(image)
                    ? 0
                    : task.job.path("pull_gb").asDouble() / type.path("pull_gb_per_s").asDouble();
            task.imageAt = Wire.now() + pull;
            Wire.log(name + " launch " + key + " fetch_s=" + pull);
        }
    }

    private void kill(Task task, double leeway) {
        if (task.status.equals("exited")) {
            return;
        }
        boolean saves = task.status.equals("running")
                && task.job.path("bookmark_s").asDouble() > 0
                && leeway >= task.job.path("stow_s").asDouble();
        if (saves) {
            task.status = "saving";
            task.savedAt = Wire.now() + task.job.path("stow_s").asDouble();
        } else if (!task.status.equals("saving") || leeway == 0) {
            exit(task, "stopped");
        }
        changed = true;
    }

    private void exit(Task task, String cause) {
        task.status = "exited";
        task.cause = cause;
        changed = true;
        Wire.log(name + " exit " + task.shard + "#" + task.attempt + " cause=" + cause);
    }

    private void taskLoop() {
        while (!isGone()) {
            Wire.sleep(0.02);
            advance();
        }
    }

    private synchronized void advance() {
        expireLease();
        double now = Wire.now();
        for (Task task : new ArrayList<>(tasks.values())) {
            if (task.status.equals("fetching") && now >= task.imageAt) {
                images.add(task.job.path("bundle").asText());
                task.status = "running";
                task.startedAt = now;
                starts.merge(task.shard, 1, Integer::sum);
                boolean batch = task.job.path("shape").asText().equals("batch");
                if (sick) {
                    task.endsAt = now + 0.3;
                    task.fails = true;
                } else if (batch) {
                    task.endsAt = now + (runS >= 0 ? runS : task.job.path("expect_s").asDouble());
                }
                Wire.log(name + " start " + task.shard + "#" + task.attempt);
                changed = true;
            } else if (task.status.equals("running") && now >= task.endsAt) {
                exit(task, task.fails ? "error" : "done");
            } else if (task.status.equals("saving") && now >= task.savedAt) {
                task.saved = true;
                exit(task, "stopped");
            }
        }
    }
}
