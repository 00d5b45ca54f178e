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

/** Jobs with dependencies, tightened limits of the store, and rolling upgrades from the production version. */
class PipelinesTest {
    private static final int RANDOM_SCENARIOS = 200;
    /** Lower limits that come into force in the key-value store without notice. */
    private static final StoreLimits TIGHTENED_LIMITS = new StoreLimits(2_048, 4, 25);

    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults());

    private static ClusterScenario newScenario(long seed, BiFunction<EventLoop, Settings, Controller> version) {
        return new ClusterScenario(seed, 1, null, TIGHTENED_LIMITS, version);
    }

    /**
     * Submits pipelines whose last stage may be late, cancellations, and jobs that must be rejected, while the store's
     * limits are tightened without notice and random faults occur.
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
        assertTrue(starts > RANDOM_SCENARIOS * 60, "too few tasks started in all scenarios: " + starts);
    }

    /**
     * Both versions run side by side and read one another's records; a controller that crashes before its upgrade
     * restarts with the old version. Pipelines are submitted once all controllers run the current version.
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
            // Partitions a zone while both versions run: the old version doesn't take into account leases that the
            // current version could renew in a partition.
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

    /** Returns whether any of 60 random scenarios violates an invariant whose name begins with the given text. */
    private static boolean anyScenarioViolates(
            String invariant, BiFunction<EventLoop, Settings, Controller> version, Consumer<ClusterScenario> faults) {
        for (int seed = 1; seed <= 60; seed++) {
            ClusterScenario scenario = newScenario(seed, version);
            scenario.pipelines.submitPipelines(14, 60_000);
            scenario.world.schedule(40_000, scenario::tightenStoreLimits);
            faults.accept(scenario);
            scenario.advance(180_000);
            if (scenario.checker.violations.stream().anyMatch(violation -> violation.startsWith(invariant))) {
                return true;
            }
        }
        return false;
    }

    /**
     * Dependents may start only once a completion is durable: until then, a cancellation may still be the first to
     * write the job's record.
     */
    @Test
    void checkerDetectsAStartBeforeTheDependencyIsDurablyCompleted() {
        ClusterScenario[] current = {null};
        assertTrue(anyScenarioViolates(
                "too_early",
                (eventLoop, settings) ->
                        new Controller(eventLoop, settings, OperatorSettings.defaults(), new JobDependencies() {
                            private final Map<String, Collection<String>> dependenciesByJob = new HashMap<>();

                            @Override
                            public void addLive(String id, Priority priority, Collection<String> dependencyIds) {
                                dependenciesByJob.put(id, dependencyIds);
                                super.addLive(id, priority, dependencyIds);
                            }

                            @Override
                            public boolean ready(String id) {
                                return dependenciesByJob.getOrDefault(id, List.of()).stream()
                                        .allMatch(current[0].checker.tasks::isComplete);
                            }

                            @Override
                            public Set<String> takeChangedJobs() {
                                Set<String> changedJobs = new LinkedHashSet<>(super.takeChangedJobs());
                                changedJobs.addAll(dependenciesByJob.keySet());
                                return changedJobs;
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
                (eventLoop, settings) ->
                        new Controller(eventLoop, settings, OperatorSettings.defaults(), new JobDependencies() {
                            @Override
                            public boolean isCancelled(String id) {
                                return false;
                            }
                        }),
                scenario -> {}));
    }

    /**
     * If only the leader derived cancellations from dependencies, other controllers would report a job as pending that
     * the leader has reported as cancelled.
     */
    @Test
    void checkerDetectsDependentsThatOnlyTheLeaderReportsAsCancelled() {
        ClusterScenario[] current = {null};
        assertTrue(anyScenarioViolates(
                "went_back",
                (eventLoop, settings) ->
                        new Controller(eventLoop, settings, OperatorSettings.defaults(), new JobDependencies() {
                            @Override
                            public boolean isCancelled(String id) {
                                return settings.node().equals("bothy-" + current[0].leaderIndex())
                                        && super.isCancelled(id);
                            }
                        }),
                scenario -> {
                    current[0] = scenario;
                    rejectCancellationRecordsOfDependents(scenario);
                }));
    }

    /**
     * The records of the jobs that users cancel suffice: every controller derives from them which dependents are
     * cancelled, even if the dependents' own records are never updated.
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

    /**
     * Makes the store refuse to record jobs as cancelled that no user asked to cancel, and crashes the leader twelve
     * times.
     */
    private static void rejectCancellationRecordsOfDependents(ClusterScenario scenario) {
        scenario.store.refusedTransactions = transaction -> {
            for (JsonNode operation : transaction.path("then")) {
                String key = operation.path("put").asText();
                if (key.startsWith("h/j/")
                        && operation.path("data").path("status").asText().equals("aborted")
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

    private static ObjectNode job(String id, int tasks, Collection<String> dependencyIds) {
        ObjectNode job = Codec.object()
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
        ArrayNode dependencies = job.putArray("awaits");
        dependencyIds.forEach(dependencies::add);
        return job;
    }

    /**
     * A job's list of dependencies may be larger than a store value can be: it is split over several records, and
     * survives the loss of all controllers.
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
        String dependentId = "req-" + "9".repeat(18);
        scenario.world.schedule(20_000, () -> scenario.users.submitWhenAccepted(dependentId, job(dependentId, 2, ids)));
        scenario.advance(60_000);
        assertTrue(scenario.checker.isAccepted(dependentId));
        scenario.faults.crashAll();
        scenario.advance(240_000);
        assertEquals(List.of(), scenario.checker.violations);
        assertEquals(0, scenario.store.oversizedTransactions);
        assertTrue(scenario.checker.isTerminal(dependentId));
    }

    /**
     * If the store allows small values only, the completed tasks of one job are stored in several parts. They survive
     * the loss of all controllers, so few tasks are started again.
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
        assertTrue(scenario.store.valuesUnder("h/p/").values().stream()
                .anyMatch(storedRecord -> storedRecord.has("req-1@0/0")));
        scenario.faults.crashAll();
        scenario.advance(200_000);
        assertTrue(scenario.checker.isTerminal("req-1"));
        assertEquals(List.of(), scenario.checker.violations);
        assertEquals(0, scenario.store.oversizedTransactions);
        assertTrue(
                scenario.checker.tasks.starts < tasks * 1.4,
                "too many tasks started again, starts: " + scenario.checker.tasks.starts);
    }

    /**
     * Submissions with malformed or impossible dependencies, or too large to be stored, are rejected permanently. A
     * repeated submission of an accepted job is answered as accepted, even if it names other dependencies.
     */
    @Test
    void invalidDependenciesAreRejected() {
        ClusterScenario scenario = newScenario(6, CURRENT_VERSION);
        scenario.advance(5_000);
        assertEquals(201, submitAndReadHttpStatus(scenario, job("req-1", 1, List.of())));
        for (JsonNode invalidDependencies : List.of(
                Codec.object(),
                Codec.array().add(1),
                Codec.array().add("req-x"),
                Codec.array().addNull(),
                Codec.array().add("req-1").add(""))) {
            ObjectNode job = job("req-2", 1, List.of());
            job.set("awaits", invalidDependencies);
            assertEquals(
                    400, scenario.users.request("POST", "/submissions", job).status());
        }
        assertEquals(422, submitAndReadHttpStatus(scenario, job("req-2", 1, List.of("req-2"))));
        assertEquals(422, submitAndReadHttpStatus(scenario, job("req-2", 1, List.of("req-1", "req-3"))));
        ObjectNode oversizedJob = job("req-2", 1, List.of("req-1"));
        ArrayNode machineTypes = oversizedJob.putArray("flavours").add("t4");
        for (int i = 0; i < 2_000; i++) {
            machineTypes.add("type-" + i);
        }
        assertEquals(
                400,
                scenario.users.request("POST", "/submissions", oversizedJob).status());
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
     * A job submitted with a cancelled dependency is accepted and cancelled at once. A cancellation that is answered
     * with {@code done} came too late: it cancels no dependents.
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
                "aborted",
                scenario.store.valueOf("h/j/req-4").path("status").asText(),
                "the stored record of req-4 must become aborted too");
        assertEquals("done", cancelAndReadStatus(scenario, "req-2"));
        assertEquals(201, submitAndReadHttpStatus(scenario, job("req-5", 1, List.of("req-2"))));
        scenario.advance(30_000);
        assertEquals("done", statusOf(scenario, "req-5"));
    }

    /**
     * A completion record written under larger limits can't be rewritten under the tightened ones: its parts move to
     * other records. Until a completed task is recorded there, the agent must keep reporting it.
     */
    @Test
    void jobsTerminateAlthoughACompletionRecordExceedsTheTightenedLimits() {
        ClusterScenario scenario = new ClusterScenario(12, 20, null, TIGHTENED_LIMITS, CURRENT_VERSION);
        scenario.advance(5_000);
        ObjectNode oversizedRecord = Codec.object();
        for (int i = 0; i < 220; i++) {
            String id = String.format("req-%06d", 100 + i);
            oversizedRecord.put(id + "/0", "AA==");
            scenario.world.schedule(
                    i * 60L,
                    () -> scenario.users.submit(id, job(id, 7, List.of()).put("expect_s", 30.0)));
        }
        scenario.advance(20_000);
        scenario.store.write("h/p/0", oversizedRecord);
        assertTrue(Codec.write(oversizedRecord, true).length > 2_048);
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
     * Machine records that the production version wrote under larger limits can't be rewritten under the tightened
     * ones. The rejected write used to be repeated forever, in one transaction with the records of new machines, which
     * were not stored either.
     */
    @Test
    void machinesInOversizedRecordsOfProductionAreCopiedToOtherRecords() throws Exception {
        ClusterScenario scenario =
                new ClusterScenario(11, 20, ProductionVersion.load(), TIGHTENED_LIMITS, CURRENT_VERSION);
        scenario.workload.submitJobs(40, 30_000);
        scenario.advance(40_000);
        // The production version stores machines that started together in one record, 50 of them at most.
        ObjectNode oversizedRecord = Codec.object();
        scenario.store
                .valuesUnder("h/m/")
                .values()
                .forEach(storedRecord -> storedRecord.fields().forEachRemaining(machine -> {
                    if (oversizedRecord.size() < 50) {
                        oversizedRecord.set(machine.getKey(), machine.getValue());
                    }
                }));
        assertTrue(Codec.write(oversizedRecord, true).length > 2_048);
        scenario.store.write("h/m/bothy-0/1/0", oversizedRecord);
        scenario.rollOut(0, 10_000);
        scenario.advance(45_000);
        scenario.tightenStoreLimits();
        scenario.workload.submitJobs(30, 60_000);
        scenario.advance(200_000);
        Set<String> recordedMachines = new LinkedHashSet<>();
        scenario.store
                .valuesUnder("h/m/")
                .values()
                .forEach(storedRecord -> storedRecord.fieldNames().forEachRemaining(recordedMachines::add));
        recordedMachines.removeAll(scenario.cloud.machineNames());
        assertEquals(Set.of(), recordedMachines, "terminated machines are still recorded");
        assertEquals(List.of(), scenario.checker.violations);
        assertEquals(0, scenario.store.oversizedTransactions);
        scenario.checker.submitted.keySet().forEach(id -> assertTrue(scenario.checker.isTerminal(id), id));
    }

    /** The HTTP status with which the submission is answered. */
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
