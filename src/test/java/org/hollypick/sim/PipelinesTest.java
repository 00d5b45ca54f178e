package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.JobSpec.Priority;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/** Jobs that await others, limits that tighten, and the version in production beside the present one. */
class PipelinesTest {
    private static final int DAYS = 200;
    /** What a key-value store may come down to. */
    private static final StoreLimits TIGHT = new StoreLimits(2_048, 4, 25);

    private static final BiFunction<EventLoop, Settings, Controller> NEW =
            (r, s) -> new Controller(r, s, OperatorSettings.defaults());

    private static ClusterScenario day(long seed, BiFunction<EventLoop, Settings, Controller> version) {
        return new ClusterScenario(seed, 1, null, TIGHT, version);
    }

    /**
     * Pipelines with late ends, cancelled middles and what must be refused, while limits tighten without notice and
     * things fail.
     */
    @Test
    void pipelinesViolateNoInvariantWhileLimitsTighten() {
        int starts = 0;
        for (int seed = 1; seed <= DAYS; seed++) {
            ClusterScenario day = day(seed, NEW);
            day.workload.submitJobs(12, 120_000);
            day.pipelines.submitPipelines(8, 110_000);
            day.world.schedule(60_000, day::tightenStoreLimits);
            day.randomFaults.scheduleFaults(seed % 4 == 0 ? 0 : 9, 20_000, 150_000);
            day.advance(240_000);
            assertEquals(List.of(), day.checker.violations, "seed " + seed);
            assertEquals(0, day.store.oversizedTransactions, "seed " + seed);
            starts += day.checker.tasks.starts;
        }
        assertTrue(starts > DAYS * 60, "the days did little: " + starts);
    }

    /**
     * Both versions side by side, on one another's records, with crashes back into the old one; pipelines come when all
     * are new.
     */
    @Test
    void rollingUpgradeFromProductionViolatesNoInvariant() throws Exception {
        ProductionVersion production = ProductionVersion.load();
        for (int seed = 1; seed <= 60; seed++) {
            int size = seed % 10 == 0 ? 12 : 1;
            ClusterScenario day = new ClusterScenario(seed, size, production, TIGHT, NEW);
            day.workload.submitJobs(20, 150_000);
            day.randomFaults.scheduleFaults(8, 10_000, 170_000);
            day.rollOut(25_000, 12_000);
            // A zone cut while both versions are there: the old one doesn't reckon with leases that the new one would
            // keep.
            day.placeControllerInZone(2, "b");
            for (int i = 0; i < 2; i++) {
                long ms = 10_000L + day.world.random.nextInt(25_000);
                day.world.schedule(15_000 + day.world.random.nextInt(50_000), () -> day.network.partitionZone("b", ms));
            }
            day.advance(58_000);
            day.pipelines.submitPipelines(8, 80_000);
            day.world.schedule(20_000, day::tightenStoreLimits);
            day.advance(200_000);
            assertEquals(List.of(), day.checker.violations, "seed " + seed);
            assertEquals(0, day.store.oversizedTransactions, "seed " + seed);
            assertTrue(day.checker.tasks.starts > 30, "seed " + seed + " started " + day.checker.tasks.starts);
        }
    }

    /** Whether some of the random scenarios breaks a rule whose name begins so. */
    private static boolean breaks(
            String rule, BiFunction<EventLoop, Settings, Controller> version, Consumer<ClusterScenario> troubles) {
        for (int seed = 1; seed <= 60; seed++) {
            ClusterScenario day = day(seed, version);
            day.pipelines.submitPipelines(14, 60_000);
            day.world.schedule(40_000, day::tightenStoreLimits);
            troubles.accept(day);
            day.advance(180_000);
            if (day.checker.violations.stream().anyMatch(b -> b.startsWith(rule))) {
                return true;
            }
        }
        return false;
    }

    /** A task's end that isn't durable yet is no reason to start: a cancellation may still win the record. */
    @Test
    void checkerDetectsAStartBeforeTheEndIsDurable() {
        ClusterScenario[] playing = {null};
        assertTrue(breaks(
                "too_early",
                (r, s) -> new Controller(r, s, OperatorSettings.defaults(), new JobDependencies() {
                    private final Map<String, Collection<String>> awaits = new HashMap<>();

                    @Override
                    public void addLive(String id, Priority rank, Collection<String> awaited) {
                        awaits.put(id, awaited);
                        super.addLive(id, rank, awaited);
                    }

                    @Override
                    public boolean ready(String id) {
                        return awaits.getOrDefault(id, List.of()).stream()
                                .allMatch(playing[0].checker.tasks::isComplete);
                    }

                    @Override
                    public Set<String> takeChangedJobs() {
                        Set<String> all = new LinkedHashSet<>(super.takeChangedJobs());
                        all.addAll(awaits.keySet());
                        return all;
                    }
                }),
                day -> {
                    playing[0] = day;
                    day.workload.cancelJobsOnCompletion();
                    for (int i = 0; i < 5; i++) {
                        day.world.schedule(15_000 + i * 20_000, () -> day.store.startOutage(5_000));
                    }
                }));
    }

    @Test
    void checkerDetectsThatNothingFollowsACancellation() {
        assertTrue(breaks(
                "orphaned",
                (r, s) -> new Controller(r, s, OperatorSettings.defaults(), new JobDependencies() {
                    @Override
                    public boolean isCancelled(String id) {
                        return false;
                    }
                }),
                day -> {}));
    }

    /** If only the leader knew, others would call a job pending that it has called cancelled. */
    @Test
    void checkerDetectsACascadeThatOnlyTheLeaderKnows() {
        ClusterScenario[] playing = {null};
        assertTrue(breaks(
                "went_back",
                (r, s) -> new Controller(r, s, OperatorSettings.defaults(), new JobDependencies() {
                    @Override
                    public boolean isCancelled(String id) {
                        return s.node().equals("bothy-" + playing[0].leaderIndex()) && super.isCancelled(id);
                    }
                }),
                day -> {
                    playing[0] = day;
                    withoutRecordsOfWhatFollows(day);
                }));
    }

    /**
     * The records of the jobs that users cancel are all that is needed: those of the jobs behind may stay unwritten for
     * ever.
     */
    @Test
    void everyNodeTellsWhatIsCancelledWithoutItsRecord() {
        for (int seed = 1; seed <= 20; seed++) {
            ClusterScenario day = day(seed, NEW);
            day.pipelines.submitPipelines(14, 60_000);
            withoutRecordsOfWhatFollows(day);
            day.advance(180_000);
            assertEquals(List.of(), day.checker.violations, "seed " + seed);
        }
    }

    private static void withoutRecordsOfWhatFollows(ClusterScenario day) {
        day.store.refusedTransactions = txn -> {
            for (JsonNode op : txn.path("then")) {
                String key = op.path("put").asText();
                if (key.startsWith("h/j/")
                        && op.path("data").path("status").asText().equals("aborted")
                        && !day.checker.isCancellationRequested(key.substring(4))) {
                    return true;
                }
            }
            return false;
        };
        for (int i = 0; i < 12; i++) {
            day.world.schedule(15_000 + 8_000 * i, () -> day.faults.crash(day.leaderIndex(), 5_000));
        }
    }

    private static ObjectNode job(String id, int tasks, Collection<String> awaits) {
        ObjectNode b = Codec.object()
                .put("name_id", id)
                .put("jobkind", "stage")
                .put("owner", "team")
                .put("shape", "batch")
                .put("rank", "standard")
                .put("shards", tasks)
                .put("cores", 1.0)
                .put("gpus", 0.0)
                .put("ram_gb", 0.5)
                .put("together", false)
                .put("spread", false)
                .put("lendable", true)
                .put("bundle", "img-0")
                .put("pull_gb", 1.0)
                .put("expect_s", 3.0)
                .put("bookmark_s", 0.0)
                .put("stow_s", 0.0);
        ArrayNode list = b.putArray("awaits");
        awaits.forEach(list::add);
        return b;
    }

    /**
     * What a job awaits may be larger than any value: it goes into further records, and holds across the loss of all
     * controllers.
     */
    @Test
    void aJobMayAwaitHundredsOfOthers() {
        ClusterScenario day = day(5, NEW);
        day.tightenStoreLimits();
        day.advance(5_000);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            String id = String.format("req-%018d", i);
            ids.add(id);
            day.world.schedule(i * 150L, () -> day.users.submit(id, job(id, 1, List.of())));
        }
        String last = "req-" + "9".repeat(18);
        day.world.schedule(20_000, () -> day.users.submitWhenAccepted(last, job(last, 2, ids)));
        day.advance(60_000);
        assertTrue(day.checker.isAccepted(last));
        day.faults.crashAll();
        day.advance(240_000);
        assertEquals(List.of(), day.checker.violations);
        assertEquals(0, day.store.oversizedTransactions);
        assertTrue(day.checker.isTerminal(last));
    }

    /**
     * Under small values one job's progress needs several parts; what they say holds across the loss of all
     * controllers.
     */
    @Test
    void progressOfAJobLargerThanAValueIsKept() {
        ClusterScenario day = new ClusterScenario(8, 20, null, new StoreLimits(640, 4, 40), NEW);
        day.tightenStoreLimits();
        day.advance(5_000);
        int tasks = 4_000;
        day.users.submit("req-1", job("req-1", tasks, List.of()).put("expect_s", 6.0));
        while (day.checker.tasks.completedCount < tasks / 2) {
            day.advance(1_000);
        }
        assertTrue(day.store.valuesUnder("h/p/").values().stream().anyMatch(r -> r.has("req-1@0/0")));
        day.faults.crashAll();
        day.advance(200_000);
        assertTrue(day.checker.isTerminal("req-1"));
        assertEquals(List.of(), day.checker.violations);
        assertEquals(0, day.store.oversizedTransactions);
        assertTrue(day.checker.tasks.starts < tasks * 1.4, "started again: " + day.checker.tasks.starts);
    }

    /** What can't be read, or be stored whatever the limits, is refused for good; what was accepted before stays so. */
    @Test
    void garbageInAwaitsIsRefused() {
        ClusterScenario day = day(6, NEW);
        day.advance(5_000);
        assertEquals(201, submit(day, job("req-1", 1, List.of())));
        for (JsonNode garbage : List.of(
                Codec.object(),
                Codec.array().add(1),
                Codec.array().add("req-x"),
                Codec.array().addNull(),
                Codec.array().add("req-1").add(""))) {
            ObjectNode b = job("req-2", 1, List.of());
            b.set("awaits", garbage);
            assertEquals(400, day.users.request("POST", "/submissions", b).status());
        }
        assertEquals(422, submit(day, job("req-2", 1, List.of("req-2"))));
        assertEquals(422, submit(day, job("req-2", 1, List.of("req-1", "req-3"))));
        ObjectNode endless = job("req-2", 1, List.of("req-1"));
        ArrayNode types = endless.putArray("flavours").add("t4");
        for (int i = 0; i < 2_000; i++) {
            types.add("type-" + i);
        }
        assertEquals(400, day.users.request("POST", "/submissions", endless).status());
        assertEquals(404, day.users.request("GET", "/submissions/req-2", null).status());
        assertEquals(201, submit(day, job("req-2", 1, List.of("req-1", "req-1"))));
        assertEquals(200, submit(day, job("req-2", 1, List.of("req-3"))));
        ObjectNode service = job("req-4", 1, List.of()).put("shape", "standing");
        assertEquals(201, day.users.request("POST", "/submissions", service).status());
        assertEquals(422, submit(day, job("req-5", 1, List.of("req-4"))));
    }

    /**
     * A job that names a cancelled one is accepted and over at once; a cancellation answered with done takes nothing
     * along.
     */
    @Test
    void aCancellationReachesWhatComesLater() {
        ClusterScenario day = day(7, NEW);
        day.advance(5_000);
        for (String id : List.of("req-1", "req-2")) {
            assertEquals(201, submit(day, job(id, 1, List.of())));
        }
        assertEquals(201, submit(day, job("req-3", 1, List.of("req-1"))));
        assertEquals("aborted", cancel(day, "req-1"));
        for (String id : List.of("req-3", "req-1")) {
            assertEquals("aborted", statusOf(day, id));
        }
        assertEquals(201, submit(day, job("req-4", 1, List.of("req-3", "req-2"))));
        assertEquals("aborted", statusOf(day, "req-4"));
        assertEquals("aborted", cancel(day, "req-4"));
        day.advance(120_000);
        assertEquals("aborted", day.store.valueOf("h/j/req-4").path("status").asText(), "its own record follows");
        assertEquals("done", cancel(day, "req-2"));
        assertEquals(201, submit(day, job("req-5", 1, List.of("req-2"))));
        day.advance(30_000);
        assertEquals("done", statusOf(day, "req-5"));
    }

    /**
     * The same of progress: while a record can't be written, nothing that is done may be cleared from the machines'
     * reports.
     */
    @Test
    void progressOfTheOldVersionThatIsTooLargeMovesOn() {
        ClusterScenario day = new ClusterScenario(12, 20, null, TIGHT, NEW);
        day.advance(5_000);
        ObjectNode packed = Codec.object();
        for (int i = 0; i < 220; i++) {
            String id = String.format("req-%06d", 100 + i);
            packed.put(id + "/0", "AA==");
            day.world.schedule(
                    i * 60L, () -> day.users.submit(id, job(id, 7, List.of()).put("expect_s", 30.0)));
        }
        day.advance(20_000);
        day.store.write("h/p/0", packed);
        assertTrue(Codec.write(packed, true).length > 2_048);
        day.faults.crashAll();
        day.tightenStoreLimits();
        day.advance(250_000);
        assertEquals(List.of(), day.checker.violations);
        assertEquals(0, day.store.oversizedTransactions);
        day.checker.submitted.keySet().forEach(id -> assertTrue(day.checker.isTerminal(id), id));
        assertEquals(
                0,
                day.cloud.agents().stream().mapToInt(FakeAgent::reportedTasks).sum());
    }

    /**
     * Records of machines that the version in production wrote under larger limits can't be written again as they are.
     * A refused write was repeated for ever, with every new machine's record in the same transaction.
     */
    @Test
    void recordsOfTheOldVersionThatAreTooLargeGiveTheirMachinesToOthers() throws Exception {
        ClusterScenario day = new ClusterScenario(11, 20, ProductionVersion.load(), TIGHT, NEW);
        day.workload.submitJobs(40, 30_000);
        day.advance(40_000);
        // Machines that came up together, as production packs them: 50 to a record.
        ObjectNode packed = Codec.object();
        day.store
                .valuesUnder("h/m/")
                .values()
                .forEach(r -> r.fields().forEachRemaining(f -> {
                    if (packed.size() < 50) {
                        packed.set(f.getKey(), f.getValue());
                    }
                }));
        assertTrue(Codec.write(packed, true).length > 2_048);
        day.store.write("h/m/bothy-0/1/0", packed);
        day.rollOut(0, 10_000);
        day.advance(45_000);
        day.tightenStoreLimits();
        day.workload.submitJobs(30, 60_000);
        day.advance(200_000);
        Set<String> named = new LinkedHashSet<>();
        day.store.valuesUnder("h/m/").values().forEach(r -> r.fieldNames().forEachRemaining(named::add));
        named.removeAll(day.cloud.machineNames());
        assertEquals(Set.of(), named, "machines that are gone are still recorded");
        assertEquals(List.of(), day.checker.violations);
        assertEquals(0, day.store.oversizedTransactions);
        day.checker.submitted.keySet().forEach(id -> assertTrue(day.checker.isTerminal(id), id));
    }

    /** The status with which the submission is answered. */
    private static int submit(ClusterScenario scenario, ObjectNode job) {
        return scenario.users.request("POST", "/submissions", job).status();
    }

    /** The state of the job that the answer to its cancellation names. */
    private static String cancel(ClusterScenario scenario, String id) {
        return status(scenario.users.request("POST", "/submissions/" + id + "/withdraw", Codec.object()));
    }

    private static String statusOf(ClusterScenario scenario, String id) {
        return status(scenario.users.request("GET", "/submissions/" + id, null));
    }

    private static String status(Response response) {
        return response.body().path("status").asText();
    }
}
