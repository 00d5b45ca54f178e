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
    private static final int RANDOM_SCENARIOS = 200;
    /** What a key-value store may come down to. */
    private static final StoreLimits TIGHTENED_LIMITS = new StoreLimits(2_048, 4, 25);

    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (r, s) -> new Controller(r, s, OperatorSettings.defaults());

    private static ClusterScenario newScenario(long seed, BiFunction<EventLoop, Settings, Controller> version) {
        return new ClusterScenario(seed, 1, null, TIGHTENED_LIMITS, version);
    }

    /**
     * Pipelines with late ends, cancelled middles and what must be refused, while limits tighten without notice and
     * things fail.
     */
    @Test
    void pipelinesViolateNoInvariantWhileLimitsTighten() {
        int starts = 0;
        for (int seed = 1; seed <= RANDOM_SCENARIOS; seed++) {
            ClusterScenario scenario = newScenario(seed, CURRENT_VERSION);
            scenario.workload.submitJobs(12, 120_000);
            scenario.pipelines.submitPipelines(8, 110_000);
            scenario.world.schedule(60_000, scenario::tightenStoreLimits);
            scenario.randomFaults.scheduleFaults(seed % 4 == 0 ? 0 : 9, 20_000, 150_000);
            scenario.advance(240_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            assertEquals(0, scenario.store.oversizedTransactions, "seed " + seed);
            starts += scenario.checker.tasks.starts;
        }
        assertTrue(starts > RANDOM_SCENARIOS * 60, "the days did little: " + starts);
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
            ClusterScenario scenario = new ClusterScenario(seed, size, production, TIGHTENED_LIMITS, CURRENT_VERSION);
            scenario.workload.submitJobs(20, 150_000);
            scenario.randomFaults.scheduleFaults(8, 10_000, 170_000);
            scenario.rollOut(25_000, 12_000);
            // A zone cut while both versions are there: the old one doesn't reckon with leases that the new one would
            // keep.
            scenario.placeControllerInZone(2, "b");
            for (int i = 0; i < 2; i++) {
                long ms = 10_000L + scenario.world.random.nextInt(25_000);
                scenario.world.schedule(
                        15_000 + scenario.world.random.nextInt(50_000), () -> scenario.network.partitionZone("b", ms));
            }
            scenario.advance(58_000);
            scenario.pipelines.submitPipelines(8, 80_000);
            scenario.world.schedule(20_000, scenario::tightenStoreLimits);
            scenario.advance(200_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            assertEquals(0, scenario.store.oversizedTransactions, "seed " + seed);
            assertTrue(
                    scenario.checker.tasks.starts > 30, "seed " + seed + " started " + scenario.checker.tasks.starts);
        }
    }

    /** Whether some of the random scenarios breaks a rule whose name begins so. */
    private static boolean anyScenarioViolates(
            String rule, BiFunction<EventLoop, Settings, Controller> version, Consumer<ClusterScenario> troubles) {
        for (int seed = 1; seed <= 60; seed++) {
            ClusterScenario scenario = newScenario(seed, version);
            scenario.pipelines.submitPipelines(14, 60_000);
            scenario.world.schedule(40_000, scenario::tightenStoreLimits);
            troubles.accept(scenario);
            scenario.advance(180_000);
            if (scenario.checker.violations.stream().anyMatch(b -> b.startsWith(rule))) {
                return true;
            }
        }
        return false;
    }

    /** A task's end that isn't durable yet is no reason to start: a cancellation may still win the record. */
    @Test
    void checkerDetectsAStartBeforeTheDependencyIsDurablyCompleted() {
        ClusterScenario[] current = {null};
        assertTrue(anyScenarioViolates(
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
                                .allMatch(current[0].checker.tasks::isComplete);
                    }

                    @Override
                    public Set<String> takeChangedJobs() {
                        Set<String> all = new LinkedHashSet<>(super.takeChangedJobs());
                        all.addAll(awaits.keySet());
                        return all;
                    }
                }),
                scenario -> {
                    current[0] = scenario;
                    scenario.workload.cancelJobsOnCompletion();
                    for (int i = 0; i < 5; i++) {
                        scenario.world.schedule(15_000 + i * 20_000, () -> scenario.store.startOutage(5_000));
                    }
                }));
    }

    @Test
    void checkerDetectsDependentsThatAreNotCancelled() {
        assertTrue(anyScenarioViolates(
                "orphaned",
                (r, s) -> new Controller(r, s, OperatorSettings.defaults(), new JobDependencies() {
                    @Override
                    public boolean isCancelled(String id) {
                        return false;
                    }
                }),
                scenario -> {}));
    }

    /** If only the leader knew, others would call a job pending that it has called cancelled. */
    @Test
    void checkerDetectsDependentsThatOnlyTheLeaderReportsAsCancelled() {
        ClusterScenario[] current = {null};
        assertTrue(anyScenarioViolates(
                "went_back",
                (r, s) -> new Controller(r, s, OperatorSettings.defaults(), new JobDependencies() {
                    @Override
                    public boolean isCancelled(String id) {
                        return s.node().equals("bothy-" + current[0].leaderIndex()) && super.isCancelled(id);
                    }
                }),
                scenario -> {
                    current[0] = scenario;
                    rejectCancellationRecordsOfDependents(scenario);
                }));
    }

    /**
     * The records of the jobs that users cancel are all that is needed: those of the jobs behind may stay unwritten for
     * ever.
     */
    @Test
    void everyControllerReportsDependentsAsCancelledWithoutTheirRecords() {
        for (int seed = 1; seed <= 20; seed++) {
            ClusterScenario scenario = newScenario(seed, CURRENT_VERSION);
            scenario.pipelines.submitPipelines(14, 60_000);
            rejectCancellationRecordsOfDependents(scenario);
            scenario.advance(180_000);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    private static void rejectCancellationRecordsOfDependents(ClusterScenario scenario) {
        scenario.store.refusedTransactions = txn -> {
            for (JsonNode op : txn.path("then")) {
                String key = op.path("put").asText();
                if (key.startsWith("h/j/")
                        && op.path("data").path("status").asText().equals("aborted")
                        && !scenario.checker.isCancellationRequested(key.substring(4))) {
                    return true;
                }
            }
            return false;
        };
        for (int i = 0; i < 12; i++) {
            scenario.world.schedule(15_000 + 8_000 * i, () -> scenario.faults.crash(scenario.leaderIndex(), 5_000));
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
    void aJobWithHundredsOfDependenciesSurvivesTheLossOfAllControllers() {
        ClusterScenario scenario = newScenario(5, CURRENT_VERSION);
        scenario.tightenStoreLimits();
        scenario.advance(5_000);
        List<String> ids = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            String id = String.format("req-%018d", i);
            ids.add(id);
            scenario.world.schedule(i * 150L, () -> scenario.users.submit(id, job(id, 1, List.of())));
        }
        String last = "req-" + "9".repeat(18);
        scenario.world.schedule(20_000, () -> scenario.users.submitWhenAccepted(last, job(last, 2, ids)));
        scenario.advance(60_000);
        assertTrue(scenario.checker.isAccepted(last));
        scenario.faults.crashAll();
        scenario.advance(240_000);
        assertEquals(List.of(), scenario.checker.violations);
        assertEquals(0, scenario.store.oversizedTransactions);
        assertTrue(scenario.checker.isTerminal(last));
    }

    /**
     * Under small values one job's progress needs several parts; what they say holds across the loss of all
     * controllers.
     */
    @Test
    void completionsLargerThanOneStoreValueSurviveTheLossOfAllControllers() {
        ClusterScenario scenario = new ClusterScenario(8, 20, null, new StoreLimits(640, 4, 40), CURRENT_VERSION);
        scenario.tightenStoreLimits();
        scenario.advance(5_000);
        int tasks = 4_000;
        scenario.users.submit("req-1", job("req-1", tasks, List.of()).put("expect_s", 6.0));
        while (scenario.checker.tasks.completedCount < tasks / 2) {
            scenario.advance(1_000);
        }
        assertTrue(scenario.store.valuesUnder("h/p/").values().stream().anyMatch(r -> r.has("req-1@0/0")));
        scenario.faults.crashAll();
        scenario.advance(200_000);
        assertTrue(scenario.checker.isTerminal("req-1"));
        assertEquals(List.of(), scenario.checker.violations);
        assertEquals(0, scenario.store.oversizedTransactions);
        assertTrue(scenario.checker.tasks.starts < tasks * 1.4, "started again: " + scenario.checker.tasks.starts);
    }

    /** What can't be read, or be stored whatever the limits, is refused for good; what was accepted before stays so. */
    @Test
    void invalidDependenciesAreRejected() {
        ClusterScenario scenario = newScenario(6, CURRENT_VERSION);
        scenario.advance(5_000);
        assertEquals(201, submitAndReadHttpStatus(scenario, job("req-1", 1, List.of())));
        for (JsonNode garbage : List.of(
                Codec.object(),
                Codec.array().add(1),
                Codec.array().add("req-x"),
                Codec.array().addNull(),
                Codec.array().add("req-1").add(""))) {
            ObjectNode b = job("req-2", 1, List.of());
            b.set("awaits", garbage);
            assertEquals(400, scenario.users.request("POST", "/submissions", b).status());
        }
        assertEquals(422, submitAndReadHttpStatus(scenario, job("req-2", 1, List.of("req-2"))));
        assertEquals(422, submitAndReadHttpStatus(scenario, job("req-2", 1, List.of("req-1", "req-3"))));
        ObjectNode endless = job("req-2", 1, List.of("req-1"));
        ArrayNode types = endless.putArray("flavours").add("t4");
        for (int i = 0; i < 2_000; i++) {
            types.add("type-" + i);
        }
        assertEquals(
                400, scenario.users.request("POST", "/submissions", endless).status());
        assertEquals(
                404, scenario.users.request("GET", "/submissions/req-2", null).status());
        assertEquals(201, submitAndReadHttpStatus(scenario, job("req-2", 1, List.of("req-1", "req-1"))));
        assertEquals(200, submitAndReadHttpStatus(scenario, job("req-2", 1, List.of("req-3"))));
        ObjectNode service = job("req-4", 1, List.of()).put("shape", "standing");
        assertEquals(
                201, scenario.users.request("POST", "/submissions", service).status());
        assertEquals(422, submitAndReadHttpStatus(scenario, job("req-5", 1, List.of("req-4"))));
    }

    /**
     * A job that names a cancelled one is accepted and over at once; a cancellation answered with done takes nothing
     * along.
     */
    @Test
    void jobsSubmittedAfterADependencyWasCancelledAreCancelled() {
        ClusterScenario scenario = newScenario(7, CURRENT_VERSION);
        scenario.advance(5_000);
        for (String id : List.of("req-1", "req-2")) {
            assertEquals(201, submitAndReadHttpStatus(scenario, job(id, 1, List.of())));
        }
        assertEquals(201, submitAndReadHttpStatus(scenario, job("req-3", 1, List.of("req-1"))));
        assertEquals("aborted", cancelAndReadStatus(scenario, "req-1"));
        for (String id : List.of("req-3", "req-1")) {
            assertEquals("aborted", statusOf(scenario, id));
        }
        assertEquals(201, submitAndReadHttpStatus(scenario, job("req-4", 1, List.of("req-3", "req-2"))));
        assertEquals("aborted", statusOf(scenario, "req-4"));
        assertEquals("aborted", cancelAndReadStatus(scenario, "req-4"));
        scenario.advance(120_000);
        assertEquals(
                "aborted", scenario.store.valueOf("h/j/req-4").path("status").asText(), "its own record follows");
        assertEquals("done", cancelAndReadStatus(scenario, "req-2"));
        assertEquals(201, submitAndReadHttpStatus(scenario, job("req-5", 1, List.of("req-2"))));
        scenario.advance(30_000);
        assertEquals("done", statusOf(scenario, "req-5"));
    }

    /**
     * The same of progress: while a record can't be written, nothing that is done may be cleared from the machines'
     * reports.
     */
    @Test
    void jobsTerminateAlthoughACompletionRecordExceedsTheTightenedLimits() {
        ClusterScenario scenario = new ClusterScenario(12, 20, null, TIGHTENED_LIMITS, CURRENT_VERSION);
        scenario.advance(5_000);
        ObjectNode packed = Codec.object();
        for (int i = 0; i < 220; i++) {
            String id = String.format("req-%06d", 100 + i);
            packed.put(id + "/0", "AA==");
            scenario.world.schedule(
                    i * 60L,
                    () -> scenario.users.submit(id, job(id, 7, List.of()).put("expect_s", 30.0)));
        }
        scenario.advance(20_000);
        scenario.store.write("h/p/0", packed);
        assertTrue(Codec.write(packed, true).length > 2_048);
        scenario.faults.crashAll();
        scenario.tightenStoreLimits();
        scenario.advance(250_000);
        assertEquals(List.of(), scenario.checker.violations);
        assertEquals(0, scenario.store.oversizedTransactions);
        scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isTerminal(id), id));
        assertEquals(
                0,
                scenario.cloud.agents().stream()
                        .mapToInt(FakeAgent::reportedTasks)
                        .sum());
    }

    /**
     * Records of machines that the version in production wrote under larger limits can't be written again as they are.
     * A refused write was repeated for ever, with every new machine's record in the same transaction.
     */
    @Test
    void machinesInOversizedRecordsOfProductionAreCopiedToOtherRecords() throws Exception {
        ClusterScenario scenario =
                new ClusterScenario(11, 20, ProductionVersion.load(), TIGHTENED_LIMITS, CURRENT_VERSION);
        scenario.workload.submitJobs(40, 30_000);
        scenario.advance(40_000);
        // Machines that came up together, as production packs them: 50 to a record.
        ObjectNode packed = Codec.object();
        scenario.store
                .valuesUnder("h/m/")
                .values()
                .forEach(r -> r.fields().forEachRemaining(f -> {
                    if (packed.size() < 50) {
                        packed.set(f.getKey(), f.getValue());
                    }
                }));
        assertTrue(Codec.write(packed, true).length > 2_048);
        scenario.store.write("h/m/bothy-0/1/0", packed);
        scenario.rollOut(0, 10_000);
        scenario.advance(45_000);
        scenario.tightenStoreLimits();
        scenario.workload.submitJobs(30, 60_000);
        scenario.advance(200_000);
        Set<String> named = new LinkedHashSet<>();
        scenario.store.valuesUnder("h/m/").values().forEach(r -> r.fieldNames().forEachRemaining(named::add));
        named.removeAll(scenario.cloud.machineNames());
        assertEquals(Set.of(), named, "machines that are gone are still recorded");
        assertEquals(List.of(), scenario.checker.violations);
        assertEquals(0, scenario.store.oversizedTransactions);
        scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isTerminal(id), id));
    }

    /** The status with which the submission is answered. */
    private static int submitAndReadHttpStatus(ClusterScenario scenario, ObjectNode job) {
        return scenario.users.request("POST", "/submissions", job).status();
    }

    /** The state of the job that the answer to its cancellation names. */
    private static String cancelAndReadStatus(ClusterScenario scenario, String id) {
        return status(scenario.users.request("POST", "/submissions/" + id + "/withdraw", Codec.object()));
    }

    private static String statusOf(ClusterScenario scenario, String id) {
        return status(scenario.users.request("GET", "/submissions/" + id, null));
    }

    private static String status(Response response) {
        return response.body().path("status").asText();
    }
}
