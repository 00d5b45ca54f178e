package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToLongBiFunction;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/** A short day: three controllers, users, machines and faults drawn from a seed, with every rule checked. */
final class ClusterScenario {
    private static final List<String> ZONES = List.of("a", "b");
    private static final long LEASE_MS = 15_000;
    /** What a cancelled task has beyond a lease. */
    private static final long CANCEL_MS = 20_000;

    private static final double TEAM_CPUS = 40;
    private static final String TEAM = "team";
    /**
     * Milliseconds within which a trouble meets the call that it is aimed at: a call, its execution and its answer take
     * up to 11.
     */
    private static final int AIM_MS = 15;
    /** Calls of controllers that troubles are aimed at: how the path begins, and what the body contains. */
    private static final List<String[]> CALLS = List.of(
            new String[] {"/commands", "launch"},
            new String[] {"/commands", "kill"},
            new String[] {"/commit", "aborted"},
            new String[] {"/commit", "done"},
            new String[] {"/commit", "h/roster"},
            new String[] {"/commit", "h/m/"},
            new String[] {"/commit", "h/j/"},
            new String[] {"/commit", "h/n/"},
            new String[] {"/hosts", "hire"},
            new String[] {"/hosts/return", ""},
            new String[] {"/promise", ""},
            new String[] {"/keep", ""},
            new String[] {"/release", ""});

    /** A controller's host; processes come and go on it. */
    private final class Host implements SimulatedWorld.Endpoint {
        final int index;
        String zone = "a";
        final double rate;
        SimulatedWorld.Process process;
        ControllerProcess node;
        /** It still has the version in production. */
        boolean old;

        Host(int index) {
            this.index = index;
            this.rate = clockRate(index);
        }

        String name() {
            return "bothy-" + index;
        }

        void start() {
            process = world.new Process("bothy-" + index, rate);
            process.limit(sockets, costMs);
            node = old
                    ? production.controller(process, settings(index, false))
                    : ControllerProcess.of(version.apply(process, settings(index, tightened != null)));
            process.after(0, node::start);
        }

        void crash(long ms) {
            if (process.dead) {
                return; // it comes back with the version that is due by then
            }
            process.dead = true;
            world.at(ms, this::start);
        }

        @Override
        public boolean listens() {
            return !process.dead;
        }

        @Override
        public void request(String method, String path, JsonNode body, Consumer<Response> reply) {
            if (withheld != null && path.equals("/submissions/" + withheld)) {
                reply.accept(new Response(503, Codec.object()));
                return;
            }
            SimulatedWorld.Process at = process;
            String reporter = path.equals("/hello") ? body.path("bothy").asText() : null;
            if (reporter != null && !at.accepts(reporter)) {
                reply.accept(Response.notSent());
                return;
            }
            byte[] bytes = body == null ? new byte[0] : Codec.write(body, false);
            AnswerOrderChecker.Question question = AnswerOrderChecker.question(name(), method, path, body, world.now);
            at.awake(() -> metering.run(
                    name(),
                    GrowthBenchmark.Metering.activity(path, body),
                    () -> node.handle(
                            method,
                            path,
                            bytes,
                            answer -> at.out(() -> {
                                Response r = faulty.apply(question, answer.get());
                                checker.order.left(question, r, world.now);
                                if (reporter != null) {
                                    at.answered(reporter);
                                }
                                answering.accept(name(), path);
                                if (path.equals("/hello")
                                        && r.ok()
                                        && r.body().path("orders").toString().contains("launch")) {
                                    answered(name(), r.body().path("baton").asLong());
                                }
                                reply.accept(r);
                            }))));
        }
    }

    final SimulatedWorld world;
    final FakeKeyValueStore state;
    final InvariantChecker checker;
    final FakeCloud cloud;
    private final StarvationChecker waitingCheck;
    private final List<Host> hosts = new ArrayList<>();
    private final int size;
    private final long leaseMs;
    private final ProductionVersion production;
    private final Limits tightened;
    private final BiFunction<EventLoop, Settings, Controller> version;
    /** Takes the time of what the controllers are asked. */
    GrowthBenchmark.Metering metering = (node, activity, handling) -> handling.run();
    /** A faulty version's answers in the place of the right ones. */
    BiFunction<AnswerOrderChecker.Question, Response, Response> faulty = (question, reply) -> reply;
    /** Sees which controller answers a request of a user or a machine, in the moment of sending, and to which path. */
    BiConsumer<String, String> answering = (node, path) -> {};
    /** A job about which nothing is told to its users, for whatever reason. */
    String withheld;
    /** Of each controller started from now on; 0: no limit. */
    int sockets;

    double costMs;
    private int jobs;
    private boolean lasting;
    /** How many times as long as usual tasks run. */
    double length = 1;
    /** One in so many arrays is cancelled. */
    int cancelledOf = 6;
    /** Teams that submit jobs, in turn; a day with more than the usual one needs a version that knows them. */
    List<String> owners = List.of(TEAM);
    /** Every second array is bound to one zone or spread over both. */
    boolean zoneBound;

    private final Set<String> keep = new HashSet<>();
    private final Set<String> hasty = new HashSet<>();
    private final Set<String> looked = new HashSet<>();
    /** What is held up on its way, see {@link SimulatedWorld#heldUp}. */
    ToLongBiFunction<String, Request> late = (from, call) -> 0;

    private final Set<String> muted = new HashSet<>();

    ClusterScenario(long seed) {
        this(seed, 1);
    }

    /** {@code size}: how many times as many machines and tasks as usual. */
    ClusterScenario(long seed, int size) {
        this(seed, size, null, null, (r, s) -> new Controller(r, s, OperatorSettings.defaults()));
    }

    /**
     * {@code production}: with what the controllers begin; {@code tightened}: limits that come later; {@code version}:
     * the new one.
     */
    ClusterScenario(
            long seed,
            int size,
            ProductionVersion production,
            Limits tightened,
            BiFunction<EventLoop, Settings, Controller> version) {
        this(seed, size, production, tightened, version, LEASE_MS);
    }

    /** {@code leaseMs}: of the workers; a cancelled task has 20 s more. */
    ClusterScenario(
            long seed,
            int size,
            ProductionVersion production,
            Limits tightened,
            BiFunction<EventLoop, Settings, Controller> version,
            long leaseMs) {
        this.size = size;
        this.leaseMs = leaseMs;
        this.production = production;
        this.tightened = tightened;
        this.version = version;
        world = new SimulatedWorld(seed);
        state = new FakeKeyValueStore(world);
        checker = new InvariantChecker(leaseMs + CANCEL_MS);
        checker.teamCpus.put(TEAM, TEAM_CPUS * size);
        List<String> nodes = List.of("p0:1", "p1:1", "p2:1");
        cloud = new FakeCloud(world, checker, nodes, ZONES, leaseMs, size);
        waitingCheck = new StarvationChecker(checker, cloud);
        world.listen("state:1", state);
        world.listen("cloud:1", cloud);
        world.sending = (from, call) -> {
            if (call.path().equals("/commands")
                    || (call.path().startsWith("/hosts") && call.method().equals("POST"))) {
                ordered(from);
            }
        };
        for (int i = 0; i < 3; i++) {
            Host h = new Host(i);
            h.old = production != null;
            hosts.add(h);
            h.start();
            world.listen("p" + i + ":1", h);
            world.listen("m" + i + ":1", new SimulatedWorld.Endpoint() {
                @Override
                public boolean listens() {
                    return h.listens();
                }

                @Override
                public void request(String method, String path, JsonNode body, Consumer<Response> reply) {
                    SimulatedWorld.Process at = h.process;
                    byte[] bytes = body == null ? new byte[0] : Codec.write(body, true);
                    at.awake(() -> metering.run(
                            h.name(),
                            path,
                            () -> h.node.handleMesh(
                                    method, path, bytes, answer -> at.out(() -> reply.accept(answer.get())))));
                }
            });
        }
        world.heldUp = this::mutedOrLate;
        sweep();
    }

    private long mutedOrLate(String from, Request call) {
        return muted.contains(from) ? SimulatedWorld.LOST : late.applyAsLong(from, call);
    }

    /** Six services that nobody cancels run. */
    ClusterScenario withRunningServices() {
        play(5_000);
        submitLasting(6);
        play(35_000);
        if (checker.starts < 6) {
            throw new AssertionError("only " + checker.starts + " tasks started");
        }
        return this;
    }

    /** A faulty version's settings: a cancelled task seems to have that much longer. */
    static Settings greedy(Settings s, double moreS) {
        return new Settings(
                s.node(),
                s.zone(),
                s.publicAddr(),
                s.meshAddr(),
                s.siblings(),
                s.cloud(),
                s.state(),
                s.zones(),
                s.teams(),
                s.objectives(),
                s.reportS(),
                s.leaseS(),
                s.cancelS() + moreS,
                s.stateRps(),
                s.stateWriteRps(),
                s.valueBytes(),
                s.txnOps(),
                s.cloudRps(),
                s.listLagS(),
                s.sockets());
    }

    /** The same settings with these teams, which each may take that many cores at once. */
    static Settings withTeams(Settings s, List<String> names, double cpusMax) {
        Map<String, Settings.Team> teams = new HashMap<>();
        names.forEach(n -> teams.put(n, new Settings.Team(n, cpusMax / 2, cpusMax, 0, 0)));
        return new Settings(
                s.node(),
                s.zone(),
                s.publicAddr(),
                s.meshAddr(),
                s.siblings(),
                s.cloud(),
                s.state(),
                s.zones(),
                teams,
                s.objectives(),
                s.reportS(),
                s.leaseS(),
                s.cancelS(),
                s.stateRps(),
                s.stateWriteRps(),
                s.valueBytes(),
                s.txnOps(),
                s.cloudRps(),
                s.listLagS(),
                s.sockets());
    }

    /** A faulty version's settings: workers' leases seem to last that long only. */
    static Settings shortLease(Settings s, double leaseS) {
        return new Settings(
                s.node(),
                s.zone(),
                s.publicAddr(),
                s.meshAddr(),
                s.siblings(),
                s.cloud(),
                s.state(),
                s.zones(),
                s.teams(),
                s.objectives(),
                s.reportS(),
                leaseS,
                s.cancelS(),
                s.stateRps(),
                s.stateWriteRps(),
                s.valueBytes(),
                s.txnOps(),
                s.cloudRps(),
                s.listLagS(),
                s.sockets());
    }

    /** Limits of the state service. */
    record Limits(int valueBytes, int txnOps, double writeRps) {}

    private static double clockRate(int index) {
        return 1 + (index - 1) * 0.0005;
    }

    private Settings settings(int index, boolean tight) {
        List<Settings.Sibling> siblings = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            if (i != index) {
                siblings.add(new Settings.Sibling("bothy-" + i, "a", "m" + i + ":1"));
            }
        }
        return new Settings(
                "bothy-" + index,
                "a",
                "p" + index + ":1",
                "m" + index + ":1",
                siblings,
                "cloud:1",
                "state:1",
                ZONES,
                Map.of(TEAM, new Settings.Team(TEAM, 20 * size, TEAM_CPUS * size, 0, 0)),
                List.of(),
                3,
                leaseMs / 1000.0,
                (leaseMs + CANCEL_MS) / 1000.0,
                150,
                tight ? tightened.writeRps : 60,
                tight ? tightened.valueBytes : 8192,
                tight ? tightened.txnOps : 12,
                8,
                4,
                1000);
    }

    /**
     * A controller orders machines about, or the cloud: only the one that the leader record names may, in the moment of
     * sending.
     */
    private void ordered(String node) {
        if (!node.equals(state.data("h/roster").path("leader").asText())) {
            checker.broken.add("without_right " + node + " at " + world.now);
        }
    }

    /** Any controller may pass on what the leader answers, but only while that one is the leader. */
    private void answered(String node, long token) {
        JsonNode then = state.put("h/roster", token);
        JsonNode now = state.data("h/roster");
        if (then == null
                || !then.path("leader").equals(now.path("leader"))
                || !then.path("member").equals(now.path("member"))) {
            checker.broken.add("answered_without_right " + node + " at " + world.now);
        }
    }

    private void sweep() {
        checker.sweep(world.now);
        waitingCheck.sweep(world.now);
        world.at(500, this::sweep);
    }

    // ---- users ----

    void submitSome(int count, long within) {
        for (int i = 0; i < count; i++) {
            world.at(world.random.nextInt((int) within), this::submitOne);
        }
    }

    void submitArrays(int count, long within) {
        for (int i = 0; i < count; i++) {
            world.at(world.random.nextInt((int) within), () -> submitOne(false));
        }
    }

    /** Services that nobody cancels. */
    void submitLasting(int count) {
        lasting = true;
        for (int i = 0; i < count; i++) {
            submitOne(true);
        }
        lasting = false;
    }

    private void submitOne() {
        submitOne(world.random.nextInt(3) == 0);
    }

    private void submitOne(boolean service) {
        String id = String.format("req-%06d", jobs++);
        if (lasting) {
            keep.add(id);
        }
        ObjectNode b = Codec.object()
                .put("name_id", id)
                .put("jobkind", service ? "web" : "batch")
                .put("owner", owners.get(jobs % owners.size()))
                .put("shape", service ? "standing" : "batch")
                .put("rank", service ? "prod" : world.random.nextBoolean() ? "standard" : "low")
                .put("shards", 1 + world.random.nextInt(6 * size))
                .put("cores", 1.0 + world.random.nextInt(2))
                .put("gpus", 0.0)
                .put("ram_gb", 2.0)
                .put("together", !service && world.random.nextInt(4) == 0)
                .put("spread", service)
                .put("lendable", !service)
                .put("bundle", "img-" + world.random.nextInt(3))
                .put("pull_gb", 1.0)
                .put("expect_s", service ? 0.0 : length * (4.0 + world.random.nextInt(15)))
                .put("bookmark_s", 0.0)
                .put("stow_s", 0.0);
        if (zoneBound && !service) {
            switch (world.random.nextInt(4)) {
                case 0 -> b.put("hall", ZONES.get(world.random.nextInt(ZONES.size())));
                case 1 -> b.put("spread", true).put("together", false);
                default -> {}
            }
        }
        begin(id, b);
    }

    void begin(String id, ObjectNode b) {
        checker.submitting(id, b, world.now);
        submit(id, b, world.now + 60_000);
    }

    /** One stage of a pipeline, submitted as soon as what it awaits is accepted. */
    private String stage(int tasks, double seconds, String... awaits) {
        String id = String.format("req-%06d", jobs++);
        ObjectNode b = Codec.object()
                .put("name_id", id)
                .put("jobkind", "stage")
                .put("owner", "team")
                .put("shape", "batch")
                .put("rank", world.random.nextBoolean() ? "urgent" : "low")
                .put("shards", tasks)
                .put("cores", 1.0)
                .put("gpus", 0.0)
                .put("ram_gb", 2.0)
                .put("together", false)
                .put("spread", false)
                .put("lendable", true)
                .put("bundle", "img-0")
                .put("pull_gb", 1.0)
                .put("expect_s", seconds)
                .put("bookmark_s", 0.0)
                .put("stow_s", 0.0);
        ArrayNode list = b.putArray("awaits");
        List.of(awaits).forEach(list::add);
        submitWhenAccepted(id, b);
        return id;
    }

    void submitWhenAccepted(String id, ObjectNode b) {
        for (JsonNode awaited : b.path("awaits")) {
            if (!checker.isAccepted(awaited.asText())) {
                world.at(50, () -> submitWhenAccepted(id, b));
                return;
            }
        }
        begin(id, b);
    }

    /**
     * First one job, then some side by side and one that may not be lent, then a last one that needs all; now and then
     * submitted late or cancelled.
     */
    void pipelines(int count, long within) {
        for (int i = 0; i < count; i++) {
            world.at(world.random.nextInt((int) within), this::pipeline);
        }
    }

    private void pipeline() {
        List<String> batches = new ArrayList<>();
        checker.submitted.forEach((id, spec) -> {
            if (spec.path("shape").asText().equals("batch") && checker.isAccepted(id)) {
                batches.add(id);
            }
        });
        batches.sort(null);
        boolean behind = !batches.isEmpty() && world.random.nextInt(3) == 0;
        String first = behind
                ? stage(1 + world.random.nextInt(4), 4, batches.get(world.random.nextInt(batches.size())))
                : stage(1 + world.random.nextInt(4), 4);
        List<String> middle = new ArrayList<>();
        for (int i = 1 + world.random.nextInt(3); i > 0; i--) {
            middle.add(stage(1 + world.random.nextInt(3 * size), 5, first));
        }
        middle.add(stage(1, 4, first, first));
        String[] all = middle.toArray(new String[0]);
        world.at(world.random.nextInt(4) == 0 ? world.random.nextInt(60_000) : 0, () -> stage(2, 3, all));
        world.at(world.random.nextInt(30_000), () -> refused(first));
    }

    /** What awaits itself or nothing that was ever accepted can never run. */
    private void refused(String known) {
        ObjectNode b = ((ObjectNode) checker.submitted.getOrDefault(known, Codec.object()))
                .deepCopy()
                .put("name_id", "req-9" + known.substring(4));
        b.putArray("awaits")
                .add(known)
                .add(world.random.nextBoolean() ? b.path("name_id").asText() : "req-777777");
        world.send(
                "user",
                new Request(anyNode(), "POST", "/submissions", b, 5_000, false),
                r -> checker.neverAccepted(b.path("name_id").asText(), r.status()));
    }

    /** A batch job of tasks of one core that run for about so long, all alike; nobody cancels it by chance. */
    String submitBatch(int tasks, double seconds, String image) {
        String id = String.format("req-%06d", jobs);
        keep.add(id);
        String owner = owners.get(jobs++ % owners.size());
        begin(
                id,
                Codec.object()
                        .put("name_id", id)
                        .put("jobkind", "batch")
                        .put("owner", owner)
                        .put("shape", "batch")
                        .put("rank", "standard")
                        .put("shards", tasks)
                        .put("cores", 1.0)
                        .put("gpus", 0.0)
                        .put("ram_gb", 2.0)
                        .put("together", false)
                        .put("spread", false)
                        .put("lendable", true)
                        .put("bundle", image)
                        .put("pull_gb", 1.0)
                        .put("expect_s", seconds)
                        .put("bookmark_s", 0.0)
                        .put("stow_s", 0.0));
        return id;
    }

    /** Kills the controllers one after the other; they come back with the new version. */
    void roll(long from, long every) {
        for (Host h : hosts) {
            world.at(from + every * h.index, () -> {
                h.old = false;
                h.crash(4_000);
            });
        }
    }

    void tighten() {
        state.tighten(tightened.valueBytes, tightened.txnOps, tightened.writeRps);
    }

    /** A user's request and its answer, while time goes on. */
    Response ask(String method, String path, JsonNode body) {
        return askAt(world.random.nextInt(3), method, path, body);
    }

    /** The same at one controller. */
    Response askAt(int node, String method, String path, JsonNode body) {
        Response[] answer = {null};
        if (path.equals("/submissions")
                && !checker.submitted.containsKey(body.path("name_id").asText())) {
            checker.submitting(body.path("name_id").asText(), body, world.now);
        }
        if (path.endsWith("/withdraw")) {
            checker.withdrawing(path.split("/")[2]);
        }
        long asked = world.now;
        world.send("user", new Request("p" + node + ":1", method, path, body, 5_000, false), r -> {
            answer[0] = r;
            if (r.status() == 200 && path.startsWith("/submissions/")) {
                checker.told(path.split("/")[2], r.body().path("status").asText(), asked, world.now);
            }
        });
        while (answer[0] == null) {
            play(10);
        }
        return answer[0];
    }

    /** A user asks all nodes about a job at once, and waits for none. */
    void look(String id) {
        long asked = world.now;
        for (Host h : hosts) {
            world.send(
                    "user", new Request("p" + h.index + ":1", "GET", "/submissions/" + id, null, 2_000, false), r -> {
                        if (r.status() == 200) {
                            checker.told(id, r.body().path("status").asText(), asked, world.now);
                        }
                    });
        }
    }

    /** A user's request to some controller, its body as it comes from the wire. */
    void raw(String method, String path, byte[] body, Consumer<Response> reply) {
        Host h = hosts.get(world.random.nextInt(hosts.size()));
        if (h.process.dead) {
            world.at(10, () -> reply.accept(new Response(503, Codec.object())));
            return;
        }
        SimulatedWorld.Process at = h.process;
        at.awake(() -> h.node.handle(method, path, body, answer -> at.out(() -> reply.accept(answer.get()))));
    }

    /** Users who cancel a job in the moment when its last task completes. */
    void withdrawOnceComplete() {
        checker.submitted.keySet().stream()
                .filter(id -> checker.isAccepted(id) && checker.isComplete(id) && hasty.add(id))
                .toList()
                .forEach(this::withdraw);
        world.at(50, this::withdrawOnceComplete);
    }

    // ---- users who look closely ----

    /** Milliseconds after the news of a job at which users ask all controllers about it. */
    private static final List<Integer> LOOKS_MS = List.of(0, 1, 2, 4, 8, 12, 16, 24, 32, 48, 64, 100);

    /**
     * From now on users ask at all controllers, for estimates too, again and again, and repeat the submission when a
     * job is accepted, complete or over; some cancel at once.
     */
    void closeLooks() {
        checker.order.news = this::closeLook;
        lookOnceComplete();
    }

    private void lookOnceComplete() {
        checker.submitted.keySet().stream()
                .filter(id -> checker.isAccepted(id) && checker.isComplete(id) && looked.add(id))
                .toList()
                .forEach(this::closeLook);
        world.at(25, this::lookOnceComplete);
    }

    private void closeLook(String id) {
        JsonNode b = checker.submitted.get(id);
        boolean graph = b.has("nodes");
        for (int ms : LOOKS_MS) {
            for (int node = 0; node < hosts.size(); node++) {
                int at = node;
                world.at(ms, () -> lookAt(at, id, (graph ? "/graphs/" : "/submissions/") + id));
                if (ms % 32 == 0 && !graph) {
                    world.at(ms, () -> lookAt(at, id, "/submissions/" + id + "/estimate"));
                }
                if (ms < 16 && !graph) {
                    world.at(ms, () -> againAt(at, id, b));
                }
            }
        }
        if (!keep.contains(id) && !checker.isOver(id) && !graph && world.random.nextInt(3) == 0) {
            world.at(world.random.nextInt(16), () -> withdraw(id));
        }
    }

    void lookAt(int node, String id, String path) {
        long asked = world.now;
        world.send("user", new Request("p" + node + ":1", "GET", path, null, 2_000, false), r -> {
            if (r.status() == 200) {
                checker.told(id, r.body().path("status").asText(), asked, world.now);
            } else {
                checker.refused(id, r.status(), asked);
            }
        });
    }

    /** Submissions that can't be accepted, each at all controllers, some of them twice. */
    void oddRequests(int count, long within) {
        for (int i = 0; i < count; i++) {
            String id = "req-8" + String.format("%05d", i);
            world.at(world.random.nextInt((int) within), () -> oddRequest(id));
        }
    }

    private void oddRequest(String id) {
        ObjectNode b = batch(id, 1, 5);
        int due = 422;
        switch (world.random.nextInt(6)) {
            case 0 -> b.put("owner", "nobody");
            case 1 -> b.put("cores", FakeCloud.CPUS + 1.0);
            case 2 -> b.put("hall", "nowhere");
            case 3 -> b.putArray("flavours").add("none");
            case 4 -> b.put("shape", "standing").put("shards", (int) (TEAM_CPUS * size) + 1);
            default -> {
                List<String> fields = new ArrayList<>();
                b.fieldNames().forEachRemaining(fields::add);
                b.remove(fields.get(world.random.nextInt(fields.size())));
                due = 400;
            }
        }
        int expected = due;
        for (int node = 0; node < hosts.size(); node++) {
            Request call = new Request("p" + node + ":1", "POST", "/submissions", b, 5_000, false);
            Runnable send = () -> world.send("user", call, r -> checker.neverAccepted(id, expected, r.status()));
            world.at(world.random.nextInt(3_000), send);
            world.at(world.random.nextInt(3_000), send);
        }
    }

    private static ObjectNode batch(String id, int tasks, double seconds) {
        return Codec.object()
                .put("name_id", id)
                .put("jobkind", "batch")
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
                .put("expect_s", seconds)
                .put("bookmark_s", 0.0)
                .put("stow_s", 0.0);
    }

    private String anyNode() {
        return "p" + world.random.nextInt(3) + ":1";
    }

    private void submit(String id, ObjectNode b, long until) {
        long asked = world.now;
        world.send("user", new Request(anyNode(), "POST", "/submissions", b, 5_000, false), r -> {
            if (r.status() == 201 || r.status() == 200) {
                checker.told(id, r.body().path("status").asText(), asked, world.now);
                poll(id);
                if (!keep.contains(id)
                        && (b.path("shape").asText().equals("standing") || world.random.nextInt(cancelledOf) == 0)) {
                    world.at(world.random.nextInt(60_000), () -> withdraw(id));
                }
                world.at(world.random.nextInt(100_000), () -> again(id, b));
            } else {
                checker.refused(id, r.status(), asked);
                if (world.now < until) {
                    world.at(1_000, () -> submit(id, b, until));
                }
            }
        });
    }

    /** A late retry of an accepted submission. */
    private void again(String id, ObjectNode b) {
        againAt(world.random.nextInt(3), id, b);
    }

    void againAt(int node, String id, JsonNode b) {
        long asked = world.now;
        world.send("user", new Request("p" + node + ":1", "POST", "/submissions", b, 5_000, false), r -> {
            if (r.status() == 200 || r.status() == 201) {
                checker.told(id, r.body().path("status").asText(), asked, world.now);
            } else {
                checker.refused(id, r.status(), asked);
            }
        });
    }

    private void poll(String id) {
        long asked = world.now;
        world.send("user", new Request(anyNode(), "GET", "/submissions/" + id, null, 2_000, false), r -> {
            if (r.status() == 200) {
                checker.told(id, r.body().path("status").asText(), asked, world.now);
            } else if (r.status() == 404) {
                checker.refused(id, 404, asked);
            }
            world.at(1_000 + world.random.nextInt(2_000), () -> poll(id));
        });
    }

    void withdraw(String id) {
        withdrawAt(world.random.nextInt(3), id);
    }

    /** Repeated, at any controller, until it is answered. */
    void withdrawAt(int node, String id) {
        checker.withdrawing(id);
        long asked = world.now;
        world.send(
                "user",
                new Request(
                        "p" + node + ":1", "POST", "/submissions/" + id + "/withdraw", Codec.object(), 5_000, false),
                r -> {
                    if (r.status() == 200) {
                        checker.told(id, r.body().path("status").asText(), asked, world.now);
                    } else {
                        checker.refused(id, r.status(), asked);
                        world.at(1_000, () -> withdraw(id));
                    }
                });
    }

    // ---- faults ----

    void drawFaults(int count, long from, long to) {
        for (int i = 0; i < count; i++) {
            world.at(from + world.random.nextInt((int) (to - from)), this::fault);
        }
    }

    void crash(int node, long ms) {
        hosts.get(node).crash(ms);
    }

    /** The controller stands still while its clocks run on. */
    void freeze(int node, long ms) {
        hosts.get(node).process.freeze(ms);
    }

    /** The leading controller stands still between the decision for its next call of that kind and sending it. */
    void freezeLeaderBefore(Predicate<Request> which, long ms) {
        hosts.get(leader()).process.freezeBeforeSending(which, ms);
    }

    void crashAll() {
        hosts.forEach(h -> h.crash(restartMs(4_000)));
    }

    /** How long an ended process is away: a fraction of a second as often as seconds. */
    private long restartMs(int slowMs) {
        return world.random.nextBoolean() ? 50 + world.random.nextInt(950) : slowMs + world.random.nextInt(slowMs);
    }

    /** From now on each controller has no more sockets than that, and everything that it does takes it so long. */
    void limit(int sockets, double costMs) {
        this.sockets = sockets;
        this.costMs = costMs;
        hosts.forEach(h -> h.process.limit(sockets, costMs));
    }

    String lead() {
        return state.data("h/roster").path("leader").asText();
    }

    /** The number of the controller that the leader record names. */
    int leader() {
        return Integer.parseInt(lead().substring("bothy-".length()));
    }

    int ready(int node) {
        int[] status = {0};
        hosts.get(node).request("GET", "/ready", null, r -> status[0] = r.status());
        play(10);
        return status[0];
    }

    /** Nothing passes between a controller and the machines. */
    void cutFromWorkers(int node, long ms) {
        cutFromWorkers(node, ms, cloud.names());
    }

    void cutFromWorkers(int node, long ms, Collection<String> names) {
        for (FakeAgent w : cloud.workers()) {
            if (names.contains(w.name)) {
                world.cut(w.name, "p" + node + ":1", ms);
                world.cut("bothy-" + node, w.addr, ms);
            }
        }
    }

    /** Reports of that machine arrive at that controller, and nothing from there reaches it. */
    void deafen(FakeAgent w, int node, long ms) {
        world.cutOneWay("bothy-" + node, w.addr, ms);
        world.cutOneWay("p" + node + ":1", w.name, ms);
    }

    void deafen(FakeAgent w, long ms) {
        hosts.forEach(h -> deafen(w, h.index, ms));
    }

    /** The machine reaches no controller, while their direct calls reach it and are answered. */
    void mute(FakeAgent w, long ms) {
        muted.add(w.name);
        world.at(ms, () -> muted.remove(w.name));
    }

    /** Nothing passes between the machine and any controller. */
    void silence(FakeAgent w, long ms) {
        hosts.forEach(h -> cutFromWorkers(h.index, ms, Set.of(w.name)));
    }

    /** Once the leader record names a leader under a token other than now's, however that came. */
    void atNextLeader(Runnable run) {
        awaitToken(state.stamp("h/roster"), run);
    }

    private void awaitToken(long before, Runnable run) {
        world.at(5, () -> {
            if (state.stamp("h/roster") != before) {
                run.run();
            } else {
                awaitToken(before, run);
            }
        });
    }

    /** A controller loses the state service and the other controllers, not its machines nor its users. */
    void cutFromStateAndPeers(int node, long ms) {
        world.cut("bothy-" + node, "state:1", ms);
        for (Host h : hosts) {
            if (h.index != node) {
                world.cut("bothy-" + node, "m" + h.index + ":1", ms);
                world.cut(h.name(), "m" + node + ":1", ms);
            }
        }
    }

    /** Only what the pattern says passes between controllers, the state service and the machines. */
    void links(LinkPattern links) {
        world.close(
                links == null
                        ? (from, to) -> false
                        : (from, to) -> {
                            int controller = number(from, "bothy-", "");
                            if (controller < 0) {
                                int asked = number(to, "p", ":1");
                                return asked >= 0 && zoneOf(from) != null && !links.machines(asked, zoneOf(from));
                            }
                            int peer = number(to, "m", ":1");
                            return to.equals("state:1")
                                    ? !links.state(controller)
                                    : peer >= 0
                                            ? !links.peers(controller, peer)
                                            : zoneOf(to) != null && !links.machines(controller, zoneOf(to));
                        });
    }

    private static int number(String name, String before, String after) {
        return name.length() == before.length() + 1 + after.length() && name.startsWith(before) && name.endsWith(after)
                ? name.charAt(before.length()) - '0'
                : -1;
    }

    /** Of a machine, by its name or address; null for anything else. */
    private String zoneOf(String machine) {
        for (FakeAgent w : cloud.workers()) {
            if (w.name.equals(machine) || w.addr.equals(machine)) {
                return w.zone;
            }
        }
        return null;
    }

    void controllerInZone(int node, String zone) {
        hosts.get(node).zone = zone;
    }

    /** Nothing passes between a zone, its controllers included, and anything else; inside it everything does. */
    void cutZone(String zone, long ms) {
        for (Host h : hosts) {
            boolean inside = h.zone.equals(zone);
            if (inside) {
                world.cut(h.name(), "state:1", ms);
                world.cut(h.name(), "cloud:1", ms);
                world.cut("user", "p" + h.index + ":1", ms);
            }
            for (Host other : hosts) {
                if (inside && !other.zone.equals(zone)) {
                    world.cut(h.name(), "m" + other.index + ":1", ms);
                    world.cut(other.name(), "m" + h.index + ":1", ms);
                }
            }
            for (FakeAgent w : cloud.workers()) {
                if (inside != w.zone.equals(zone)) {
                    world.cut(w.name, "p" + h.index + ":1", ms);
                    world.cut(h.name(), w.addr, ms);
                }
            }
        }
    }

    private void fault() {
        List<FakeAgent> workers = cloud.workers();
        FakeAgent w = workers.isEmpty() ? null : workers.get(world.random.nextInt(workers.size()));
        int node = world.random.nextInt(3);
        long ms = 1_000L + world.random.nextInt(30_000);
        switch (world.random.nextInt(21)) {
            case 0, 1 -> crash(node, restartMs(10_000));
            case 2 -> crashAll();
            case 3 -> state.outage(ms);
            case 4 -> {
                world.cut("bothy-" + node, "state:1", ms);
                if (world.random.nextInt(3) == 0) {
                    world.cut("bothy-" + node, "m" + (node + 1) % 3 + ":1", ms);
                }
            }
            case 5 -> {
                if (w != null) {
                    w.hang(ms);
                }
            }
            case 6 -> {
                if (w != null) {
                    world.cut("bothy-" + node, w.addr, ms); // direct orders held back, reports go on
                }
            }
            case 7 -> {
                if (w != null) {
                    for (int i = 0; i < 3; i++) {
                        world.cut(w.name, "p" + i + ":1", ms);
                        world.cut("bothy-" + i, w.addr, ms);
                    }
                }
            }
            case 8 -> {
                if (w != null && w.spot) {
                    cloud.take(w);
                }
            }
            case 9 -> {
                if (w != null) {
                    w.sick();
                }
            }
            case 10 -> freeze(node, ms / 2);
            case 11, 12 -> {
                if (w != null) {
                    int one = world.random.nextInt(4);
                    hosts.stream().filter(h -> one == 3 || one == h.index).forEach(h -> deafen(w, h.index, 3 * ms));
                }
            }
            case 13 -> {
                world.copyShare = 0.3;
                world.at(ms, () -> world.copyShare = 0);
            }
            case 14, 15 -> {
                if (w != null) {
                    w.restart(50 + world.random.nextInt(950), world.random.nextBoolean());
                }
            }
            case 16 -> cutFromStateAndPeers(node, ms);
            case 17, 18, 19 -> meeting();
            default -> {
                world.lateShare = 0.03;
                world.at(ms, () -> world.lateShare = 0);
            }
        }
    }

    /**
     * Troubles that meet: of each pair the second begins within milliseconds of a call, a state session, a lease or a
     * cancelled task's time of the first.
     */
    void drawMeetings(int pairs, long from, long to) {
        for (int i = 0; i < pairs; i++) {
            long first = from + world.random.nextInt((int) (to - from));
            long within = List.of(0L, 4_000L, leaseMs, leaseMs + CANCEL_MS).get(world.random.nextInt(4));
            world.at(first, this::meeting);
            if (within == 0) {
                world.at(first, () -> aim(someCall(), this::meeting));
            } else {
                world.at(first + world.random.nextInt((int) within), this::meeting);
            }
        }
    }

    /**
     * The next call of that kind brings the trouble about within milliseconds: before it arrives, as it is carried out,
     * or before its answer is back.
     */
    void aim(Predicate<Request> which, Runnable trouble) {
        boolean[] struck = {false};
        world.sending = world.sending.andThen((from, call) -> {
            if (!struck[0] && which.test(call)) {
                struck[0] = true;
                world.at(world.random.nextInt(AIM_MS), trouble);
            }
        });
    }

    /** A kind of call of those on which rules rest. */
    private Predicate<Request> someCall() {
        String[] kind = CALLS.get(world.random.nextInt(CALLS.size()));
        return call -> call.path().startsWith(kind[0])
                && (call.body() == null ? "" : call.body().toString()).contains(kind[1]);
    }

    /** One trouble of those that broke rules together with another: most strike the leading controller. */
    private void meeting() {
        int led = state.data("h/roster") == null ? 0 : leader();
        String leader = "bothy-" + led;
        long ms = 1_000L + world.random.nextInt(20_000);
        switch (world.random.nextInt(24)) {
            case 0, 1 -> world.refuse(leader, "state:1", ms);
            case 2, 3 -> state.outage(leaseMs + CANCEL_MS + ms);
            case 4 -> {
                world.lateWriteShare = 0.2;
                world.at(ms, () -> world.lateWriteShare = 0);
            }
            case 5 -> world.slow("state:1", 3_000, ms);
            case 6 -> cutFromStateAndPeers(led, 2 * ms);
            case 7 -> world.cutOneWay("state:1", leader, ms);
            case 8 -> crash(led, restartMs(5_000));
            case 9 -> crashAll();
            case 10 -> freeze(led, ms);
            case 11 -> cutFromWorkers(led, 2 * ms, some());
            case 12 ->
                cloud.workers().stream()
                        .filter(w -> world.random.nextInt(3) == 0)
                        .forEach(w -> deafen(w, 2 * ms));
            case 13, 14 -> cutZone(ZONES.get(world.random.nextInt(ZONES.size())), leaseMs + ms);
            case 15 -> mute(some(), leaseMs + ms);
            case 16 -> allAwayForLongerThanALease();
            case 17 -> changeLeaders(10, 10_000);
            case 18, 19 -> cancelSome(ms);
            case 20, 21 -> refusalThenOutage(leaseMs + CANCEL_MS + ms);
            case 22 -> hosts.get(led).process.freezeBeforeSending(someCall(), ms);
            default ->
                cloud.workers().stream()
                        .filter(w -> world.random.nextInt(3) == 0)
                        .forEach(w -> w.hang(ms));
        }
    }

    /**
     * Troubles in which answers overtake one another: slow ways to the state service and between controllers, a leader
     * that is refused, stands still or ends.
     */
    void drawAnswerTroubles(int count, long from, long to) {
        for (int i = 0; i < count; i++) {
            world.at(from + world.random.nextInt((int) (to - from)), this::answerTrouble);
        }
    }

    private void answerTrouble() {
        int led = state.data("h/roster") == null ? 0 : leader();
        long ms = 1_000L + world.random.nextInt(8_000);
        switch (world.random.nextInt(8)) {
            case 0 -> world.slow("state:1", 700, ms);
            case 1, 2 -> world.slow("m" + led + ":1", 400, 2 * ms);
            case 3 -> world.refuse("bothy-" + led, "state:1", ms);
            case 4 -> freeze(world.random.nextInt(3), 100 + ms / 2);
            case 5 -> world.cutOneWay("state:1", "bothy-" + world.random.nextInt(3), ms);
            case 6 -> crash(led, restartMs(5_000));
            default -> state.outage(ms);
        }
    }

    /** These machines reach no controller, while direct commands reach them. */
    void mute(Collection<String> names, long ms) {
        names.forEach(name -> hosts.forEach(h -> world.cutOneWay(name, "p" + h.index + ":1", ms)));
    }

    /** They come back at different moments; the first of them ends once more and is back within a fifth of a second. */
    void allAwayForLongerThanALease() {
        int first = world.random.nextInt(hosts.size());
        for (Host h : hosts) {
            crash(h.index, leaseMs + (h.index == first ? 500 : 2_000 + world.random.nextInt(6_000)));
        }
        world.at(leaseMs + 500 + world.random.nextInt(1_500), () -> crash(first, 1 + world.random.nextInt(199)));
    }

    /** The leading controller ends so often, each time to be back at once or after the next change. */
    void changeLeaders(int times, long everyMs) {
        for (int i = 0; i < times; i++) {
            world.at(
                    i * everyMs,
                    () -> crash(
                            state.data("h/roster") == null ? 0 : leader(),
                            world.random.nextBoolean() ? 200 : everyMs - 1_000));
        }
    }

    /**
     * Users cancel half of the unfinished jobs within a fifth of a second, and a third of the machines hang that long;
     * 0: none does.
     */
    void cancelSome(long hangMs) {
        checker.submitted.keySet().stream()
                .filter(id -> !checker.isOver(id) && !keep.contains(id))
                .sorted()
                .filter(id -> world.random.nextBoolean())
                .forEach(id -> world.at(world.random.nextInt(200), () -> withdraw(id)));
        if (hangMs > 0) {
            cloud.workers().stream().filter(w -> world.random.nextInt(3) == 0).forEach(w -> w.hang(hangMs));
        }
    }

    /**
     * Users cancel at the very moment at which the state service refuses the leader alone; a second later it is out for
     * all.
     */
    void refusalThenOutage(long outageMs) {
        world.refuse(state.data("h/roster") == null ? "bothy-0" : lead(), "state:1", 1_500);
        cancelSome(0);
        world.at(1_000, () -> state.outage(outageMs));
    }

    /** The names of some machines. */
    private Set<String> some() {
        Set<String> names = new HashSet<>(cloud.names());
        names.removeIf(n -> world.random.nextInt(3) == 0);
        return names;
    }

    ClusterScenario play(long ms) {
        world.runUntil(world.now + ms);
        return this;
    }
}
