package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/**
 * Tests machines during a failover (docs/combined-faults.md): machines that were just started, whose heartbeats are
 * late, that are unreachable in one direction, or that execute direct commands seconds after these were sent. The cases
 * are enumerated, not random: CI runs every n-th, and {@code mvn test -Dtest=MachineFaultsTest -Dmachines.every=1} runs
 * all.
 */
class MachineFaultsTest {
    /**
     * Every n-th case is run. The default is coprime to the number of values of each field of a case, so that every
     * value occurs.
     */
    private static final int CASE_INTERVAL = Integer.getInteger("machines.every", 17);

    private static final int HEARTBEAT_CASE_INTERVAL = Math.min(CASE_INTERVAL, 7);
    /** Maximum number of seeds with which each case is tried until the checker detects a faulty version. */
    private static final int MAX_FAULTY_SEEDS = 8;

    private static final BiFunction<EventLoop, Settings, Controller> CURRENT_VERSION =
            (eventLoop, settings) -> new Controller(eventLoop, settings, OperatorSettings.defaults());

    private static ClusterScenario newScenario(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        return new ClusterScenario(seed, 1, null, null, version);
    }

    private static boolean isRegistration(Request call) {
        return call.path().equals("/commit")
                && call.body().path("then").toString().contains("\"h/m/");
    }

    private static boolean isScaleOut(Request call) {
        return call.path().equals("/hosts") && call.method().equals("POST");
    }

    private static boolean isScaleIn(Request call) {
        return call.path().equals("/hosts/return");
    }

    // New machines

    /** The fault of a request: none, a late or lost response, or no response and a late execution. */
    private enum CallFault {
        NONE,
        RESPONSE_LATE,
        RESPONSE_LOST,
        EXECUTED_LATE
    }

    /** The event that is followed by a crash of the leader. */
    private enum CrashTrigger {
        SCALE_OUT_SENT,
        MACHINE_UP,
        FIRST_HEARTBEAT,
        REGISTRATION_SENT,
        LAUNCH_SENT
    }

    private record NewMachineCase(
            CallFault scaleOut,
            CallFault registration,
            CrashTrigger crashTrigger,
            int crashDelayMs,
            int maxBootMs,
            int seed) {}

    private static List<NewMachineCase> newMachineCases() {
        List<NewMachineCase> cases = new ArrayList<>();
        for (CallFault scaleOut : CallFault.values()) {
            for (CallFault registration : CallFault.values()) {
                for (CrashTrigger crashTrigger : CrashTrigger.values()) {
                    for (int crashDelayMs : new int[] {0, 8, 60, 700}) {
                        for (int maxBootMs : new int[] {1, 2_000}) {
                            cases.add(new NewMachineCase(
                                    scaleOut, registration, crashTrigger, crashDelayMs, maxBootMs, cases.size() + 1));
                        }
                    }
                }
            }
        }
        return cases;
    }

    private static ClusterScenario runCase(
            NewMachineCase testCase, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario scenario = newScenario(testCase.seed, version);
        scenario.cloud.maxBootMs = testCase.maxBootMs;
        scenario.cloud.alternatesListAge = true;
        scenario.users.cancelOneIn = 4;
        boolean isCloudSlow = testCase.scaleOut == CallFault.RESPONSE_LATE;
        Random random = scenario.world.random;
        scenario.network.requestDelayMs = (from, call) -> {
            boolean isLate = ((isScaleOut(call) || isScaleIn(call)) && testCase.scaleOut == CallFault.EXECUTED_LATE)
                    || (isRegistration(call) && testCase.registration == CallFault.EXECUTED_LATE);
            return isLate && random.nextBoolean() ? 1_500 + random.nextInt(10_000) : 0;
        };
        scenario.world.losesResponse = call -> ((isScaleOut(call) && testCase.scaleOut == CallFault.RESPONSE_LOST)
                        || (isRegistration(call) && testCase.registration == CallFault.RESPONSE_LOST))
                && random.nextBoolean();
        scenario.advance(5_000);
        scenario.world.addLatency("cloud:1", isCloudSlow ? 3_000 : 0, 60_000);
        scenario.world.addLatency("state:1", testCase.registration == CallFault.RESPONSE_LATE ? 1_500 : 0, 20_000);
        crashLeaderAtTrigger(scenario, testCase, 2);
        scenario.workload.submitUncancelledServices(3);
        scenario.workload.submitBatchJobs(8, 15_000);
        scenario.advance(100_000);
        return scenario;
    }

    /**
     * Crashes the leader {@code crashDelayMs} after the first event that is the trigger, and then, {@code times - 1}
     * times, the next leader after the first such event of its own term.
     */
    private static void crashLeaderAtTrigger(ClusterScenario scenario, NewMachineCase testCase, int times) {
        boolean[] armed = {true};
        Runnable crash = () -> {
            if (armed[0]) {
                armed[0] = false;
                scenario.world.schedule(testCase.crashDelayMs, () -> {
                    scenario.faults.crash(scenario.leaderIndex(), testCase.seed % 2 == 0 ? 150 : 6_000);
                    if (times > 1) {
                        scenario.onNextFencingToken(() -> crashLeaderAtTrigger(scenario, testCase, times - 1));
                    }
                });
            }
        };
        Consumer<FakeAgent> onBoot = agent -> crash.run();
        Consumer<Request> onHeartbeat = call -> crash.run();
        scenario.cloud.bootListener = testCase.crashTrigger == CrashTrigger.MACHINE_UP ? onBoot : agent -> {};
        scenario.world.heartbeatObserver =
                testCase.crashTrigger == CrashTrigger.FIRST_HEARTBEAT ? onHeartbeat : call -> {};
        scenario.world.requestObserver = (from, call) -> {
            if ((testCase.crashTrigger == CrashTrigger.SCALE_OUT_SENT && isScaleOut(call))
                    || (testCase.crashTrigger == CrashTrigger.REGISTRATION_SENT && isRegistration(call))
                    || (testCase.crashTrigger == CrashTrigger.LAUNCH_SENT && AgentProtocol.isLaunch(call))) {
                crash.run();
            }
        };
    }

    /**
     * A machine is registered durably before its first launch, in whichever order the response to its scale-out
     * request, its first heartbeat, its registration and the leader's crash occur.
     */
    @Test
    void newMachinesViolateNoInvariantInAnyOrderOfEvents() {
        List<String> failures = new ArrayList<>();
        int starts = 0;
        int runs = 0;
        for (NewMachineCase testCase : newMachineCases()) {
            if (testCase.seed % CASE_INTERVAL == 0) {
                ClusterScenario scenario = runCase(testCase, CURRENT_VERSION);
                runs++;
                starts += scenario.checker.tasks.starts;
                if (!scenario.checker.violations.isEmpty()) {
                    failures.add(testCase + " " + scenario.checker.violations);
                }
            }
        }
        assertEquals(List.of(), failures);
        assertTrue(starts > 10 * runs, "only " + starts + " tasks started in " + runs + " scenarios");
    }

    /** A faulty leader takes a registration for durable when it sends the write, which is executed 4 s later. */
    @Test
    void checkerDetectsALaunchBeforeTheRegistrationIsDurable() {
        BiFunction<EventLoop, Settings, Controller> withoutAwaitingRegistration =
                (eventLoop, settings) -> CURRENT_VERSION.apply(
                        new DelegatingEventLoop(eventLoop) {
                            @Override
                            public void send(Request call, Consumer<Response> callback) {
                                if (isRegistration(call)) {
                                    super.after(
                                            1,
                                            () -> callback.accept(new Response(
                                                    200, Codec.object().put("epoch", 0))));
                                    super.after(4_000, () -> super.send(call, response -> {}));
                                } else {
                                    super.send(call, callback);
                                }
                            }
                        },
                        settings);
        assertTrue(newMachineCases().stream()
                .filter(testCase -> testCase.crashTrigger == CrashTrigger.LAUNCH_SENT && testCase.crashDelayMs == 700)
                .anyMatch(testCase -> runCase(testCase, withoutAwaitingRegistration).checker.violations.stream()
                        .anyMatch(violation -> violation.startsWith("ran_twice"))));
    }

    // Stale heartbeats

    /**
     * The controllers that receive the copies: only the new leader, only the others, which relay them to the leader, or
     * all.
     */
    private enum Recipients {
        LEADER,
        FOLLOWERS,
        ALL
    }

    /** When the copies arrive, counted from the new leader's leader record or from its first direct command. */
    private enum ArrivalTime {
        IMMEDIATELY,
        SHORTLY_AFTER,
        AFTER_FIRST_COMMAND,
        AFTER_A_LEASE
    }

    /**
     * All copies, in the order in which they were sent or in reverse, or only the one of each machine with the fewest
     * tasks.
     */
    private enum HeartbeatSelection {
        OLDEST_FIRST,
        NEWEST_FIRST,
        FEWEST_TASKS
    }

    private record StaleHeartbeatCase(
            Recipients recipients,
            ArrivalTime arrivalTime,
            HeartbeatSelection selection,
            boolean onlyWithheld,
            int seed) {}

    private static List<StaleHeartbeatCase> staleHeartbeatCases() {
        List<StaleHeartbeatCase> cases = new ArrayList<>();
        for (Recipients recipients : Recipients.values()) {
            for (ArrivalTime arrivalTime : ArrivalTime.values()) {
                for (HeartbeatSelection selection : HeartbeatSelection.values()) {
                    for (boolean onlyWithheld : new boolean[] {false, true}) {
                        cases.add(new StaleHeartbeatCase(
                                recipients, arrivalTime, selection, onlyWithheld, cases.size() + 1));
                    }
                }
            }
        }
        return cases;
    }

    /**
     * Delivers all heartbeats of the last half minute again, or delivers those of the leader's last seconds for the
     * first time. By then many machines have a later incarnation, and their tasks were started again elsewhere.
     *
     * @param alteration changes a stale heartbeat before it is delivered; only a test of the checker changes anything
     */
    private static ClusterScenario runCase(
            StaleHeartbeatCase testCase, BiConsumer<ClusterScenario, ObjectNode> alteration) {
        ClusterScenario scenario = newScenario(testCase.seed, CURRENT_VERSION);
        scenario.workload.durationFactor = 4;
        scenario.users.cancelOneIn = 4;
        List<Request> heartbeats = new ArrayList<>();
        scenario.advance(5_000);
        scenario.workload.submitUncancelledServices(3);
        scenario.workload.submitBatchJobs(8, 30_000);
        scenario.advance(30_000);
        scenario.cloud.agents().stream()
                .filter(agent -> agent.zone.equals("a"))
                .forEach(agent -> scenario.network.dropInbound(agent, 19_000));
        scenario.world.heartbeatObserver = testCase.onlyWithheld ? call -> {} : heartbeats::add;
        scenario.advance(26_000);
        scenario.world.heartbeatObserver = call -> {};
        for (int failover = 0; failover < 2; failover++) {
            scenario.network.requestDelayMs = (from, call) -> {
                if (testCase.onlyWithheld && call.path().equals("/hello") && scenario.world.random.nextBoolean()) {
                    heartbeats.add(call);
                    return SimulatedWorld.NEVER_DELIVERED;
                }
                return 0;
            };
            scenario.workload.submitBatchJobs(3, 1_000); // no copy contains their tasks
            scenario.advance(7_000);
            scenario.faults.crash(scenario.leaderIndex(), failover == 0 ? 200 : 8_000);
            // The machines' own heartbeats arrive later than the copies.
            scenario.cloud.agents().stream()
                    .filter(agent -> agent.activeTasks() > 0)
                    .limit(2)
                    .forEach(agent -> scenario.network.isolate(agent, 12_000));
            scenario.onNextFencingToken(() -> {
                scenario.network.requestDelayMs = (from, call) -> 0;
                deliverStaleHeartbeats(scenario, testCase, new ArrayList<>(heartbeats), alteration);
            });
            scenario.advance(25_000);
        }
        scenario.advance(60_000);
        return scenario;
    }

    private static void deliverStaleHeartbeats(
            ClusterScenario scenario,
            StaleHeartbeatCase testCase,
            List<Request> heartbeats,
            BiConsumer<ClusterScenario, ObjectNode> alteration) {
        int leader = scenario.leaderIndex();
        if (testCase.selection == HeartbeatSelection.NEWEST_FIRST) {
            Collections.reverse(heartbeats);
        } else if (testCase.selection == HeartbeatSelection.FEWEST_TASKS) {
            heartbeats.sort(Comparator.comparingInt(
                    heartbeat -> heartbeat.body().path("shards").size()));
            Set<String> machines = new HashSet<>();
            heartbeats.removeIf(
                    heartbeat -> !machines.add(heartbeat.body().path("bothy").asText()));
        }
        Runnable deliver = () -> heartbeats.forEach(heartbeat -> {
            for (int controller = 0; controller < 3; controller++) {
                if (testCase.recipients == Recipients.ALL
                        || (controller == leader) == (testCase.recipients == Recipients.LEADER)) {
                    ObjectNode body = heartbeat.body().deepCopy();
                    alteration.accept(scenario, body);
                    Request copy = new Request(
                            heartbeat.address(),
                            heartbeat.method(),
                            heartbeat.path(),
                            body,
                            heartbeat.timeoutMs(),
                            false);
                    scenario.world.deliverIgnoringResponse(copy, "p" + controller + ":1");
                }
            }
        });
        switch (testCase.arrivalTime) {
            case IMMEDIATELY -> deliver.run();
            case SHORTLY_AFTER -> scenario.world.schedule(150, deliver);
            case AFTER_A_LEASE -> scenario.world.schedule(16_000, deliver);
            default ->
                scenario.world.requestObserver = (from, call) -> {
                    if (call.path().equals("/commands")) {
                        scenario.world.requestObserver = (f, c) -> {};
                        scenario.world.schedule(20, deliver);
                    }
                };
        }
    }

    /**
     * Heartbeats of earlier incarnations and attempts, and some that were never delivered before, arrive when a new
     * leader's term begins or after its first command.
     */
    @Test
    void staleHeartbeatsToANewLeaderViolateNoInvariant() {
        List<String> failures = new ArrayList<>();
        for (StaleHeartbeatCase testCase : staleHeartbeatCases()) {
            if (testCase.seed % HEARTBEAT_CASE_INTERVAL == 0) {
                ClusterScenario scenario = runCase(testCase, (d, body) -> {});
                if (!scenario.checker.violations.isEmpty()) {
                    failures.add(testCase + " " + scenario.checker.violations);
                }
                assertTrue(
                        scenario.checker.tasks.starts > 20,
                        testCase + ": tasks started: " + scenario.checker.tasks.starts);
            }
        }
        assertEquals(List.of(), failures);
    }

    /**
     * Stale heartbeats carry the new leader's fencing token, as if the machines had sent them in that leader's term.
     * Few cases violate an invariant then, and therefore those in which a withheld heartbeat precedes the machine's own
     * are run with further seeds until one does.
     */
    @Test
    void checkerDetectsStaleHeartbeatsWithTheCurrentFencingToken() {
        BiConsumer<ClusterScenario, ObjectNode> withCurrentToken =
                (scenario, body) -> body.put("baton", scenario.store.revisionOf("h/roster"));
        List<StaleHeartbeatCase> candidates = staleHeartbeatCases().stream()
                .filter(testCase -> testCase.onlyWithheld
                        && testCase.recipients != Recipients.FOLLOWERS
                        && testCase.arrivalTime != ArrivalTime.AFTER_A_LEASE)
                .toList();
        boolean detected = false;
        for (int round = 0; round < MAX_FAULTY_SEEDS && !detected; round++) {
            int seedOffset = round * staleHeartbeatCases().size();
            detected = candidates.stream()
                    .map(testCase -> new StaleHeartbeatCase(
                            testCase.recipients,
                            testCase.arrivalTime,
                            testCase.selection,
                            true,
                            testCase.seed + seedOffset))
                    .anyMatch(testCase -> runCase(testCase, withCurrentToken).checker.violations.stream()
                            .anyMatch(violation -> violation.startsWith("ran_twice")));
        }
        assertTrue(detected);
    }

    // Late commands, and machines that are unreachable in one direction

    /** The fault of the leader while commands are in flight. */
    private enum LeaderFault {
        NONE,
        RESTART,
        FREEZE,
        STORE_AND_PEERS_UNREACHABLE,
        AGENTS_UNREACHABLE
    }

    private record LateCommandCase(LeaderFault leaderFault, boolean dropsOutbound, boolean dropsInbound, int seed) {}

    private static List<LateCommandCase> lateCommandCases() {
        List<LateCommandCase> cases = new ArrayList<>();
        for (LeaderFault leaderFault : LeaderFault.values()) {
            for (boolean dropsOutbound : new boolean[] {false, true}) {
                for (boolean dropsInbound : new boolean[] {false, true}) {
                    for (int again = 0; again < 6; again++) {
                        cases.add(new LateCommandCase(leaderFault, dropsOutbound, dropsInbound, cases.size() + 1));
                    }
                }
            }
        }
        return cases;
    }

    /**
     * Delays half of the direct commands, which are executed once, 2 to 16 s late. Meanwhile the requests of some
     * machines are lost, or no controller reaches them, for less or more than a lease; users cancel every second job,
     * at once or later.
     */
    private static ClusterScenario runCase(LateCommandCase testCase, Consumer<FakeAgent> onBoot) {
        ClusterScenario scenario = newScenario(testCase.seed, CURRENT_VERSION);
        scenario.cloud.bootListener = onBoot;
        scenario.workload.durationFactor = 3;
        scenario.users.cancelOneIn = 2;
        scenario.advance(5_000);
        scenario.workload.submitUncancelledServices(3);
        Random random = scenario.world.random;
        scenario.network.requestDelayMs = (from, call) -> {
            boolean isDelayed = call.path().equals("/commands") && random.nextBoolean();
            return isDelayed ? 2_000 + random.nextInt(14_000) : 0;
        };
        scenario.workload.submitBatchJobs(20, 90_000);
        for (int i = 0; i < 3; i++) {
            scenario.advance(20_000);
            int leader = scenario.leaderIndex();
            long durationMs = List.of(7_000L, 20_000L, 40_000L).get((testCase.seed + i) % 3);
            scenario.cloud.agents().stream()
                    .filter(agent -> scenario.world.random.nextInt(3) == 0)
                    .forEach(agent -> {
                        if (testCase.dropsOutbound) {
                            scenario.network.dropOutbound(agent, durationMs);
                        }
                        if (testCase.dropsInbound && scenario.world.random.nextBoolean()) {
                            scenario.network.dropInbound(agent, durationMs);
                        }
                    });
            switch (testCase.leaderFault) {
                case RESTART -> scenario.world.schedule(2_000, () -> scenario.faults.crash(leader, 200));
                case FREEZE -> scenario.world.schedule(2_000, () -> scenario.faults.freeze(leader, 9_000));
                case STORE_AND_PEERS_UNREACHABLE ->
                    scenario.world.schedule(2_000, () -> scenario.network.partitionFromStoreAndPeers(leader, 20_000));
                case AGENTS_UNREACHABLE -> scenario.network.partitionFromAgents(leader, 12_000);
                default -> {}
            }
        }
        scenario.advance(40_000);
        scenario.network.requestDelayMs = (from, call) -> 0;
        scenario.advance(60_000);
        return scenario;
    }

    /**
     * Agents reject a late command of an earlier incarnation or an older leader; the leader counts its own as in flight
     * as long as the agent's incarnation lasts.
     */
    @Test
    void lateCommandsAndLostHeartbeatsViolateNoInvariant() {
        List<String> failures = new ArrayList<>();
        for (LateCommandCase testCase : lateCommandCases()) {
            if (testCase.seed % CASE_INTERVAL == 0) {
                ClusterScenario scenario = runCase(testCase, agent -> {});
                if (!scenario.checker.violations.isEmpty()
                        || !scenario.checker.tasks.startsAfterCancellation.isEmpty()) {
                    failures.add(
                            testCase + " " + scenario.checker.violations + " started after a confirmed cancellation: "
                                    + scenario.checker.tasks.startsAfterCancellation);
                }
            }
        }
        assertEquals(List.of(), failures);
    }

    /**
     * A machine fetches the image of a launched task while the user cancels the job; the machine's heartbeats are lost,
     * and direct commands are delayed for longer than the fetch takes. The task must not start after the cancellation
     * was confirmed.
     */
    @Test
    void aTaskFetchingItsImageIsStoppedBeforeItsCancellationIsConfirmed() {
        for (int seed = 1; seed <= 8; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.advance(20_000);
            boolean[] fetching = {false};
            scenario.world.heartbeatObserver =
                    call -> fetching[0] |= call.body().toString().contains("fetching");
            scenario.workload.submitUncancelledServices(1);
            while (!fetching[0]) {
                scenario.advance(10);
            }
            scenario.advance(20);
            scenario.network.requestDelayMs = (from, call) -> call.path().equals("/commands") ? 9_000 : 0;
            scenario.cloud.agents().forEach(agent -> scenario.network.dropOutbound(agent, 10_000));
            scenario.users.cancel("req-000000");
            scenario.advance(60_000);
            assertTrue(scenario.checker.isTerminal("req-000000"), "seed " + seed);
            assertEquals(List.of(), scenario.checker.tasks.startsAfterCancellation, "seed " + seed);
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
    }

    /**
     * Guards against a leader that launches tasks on machines whose heartbeats are lost: in the responses to direct
     * commands each new incarnation of such a machine has no tasks, and the tasks launched then are lost with the next
     * lease.
     */
    @Test
    void machinesWithoutHeartbeatsGetNoTasksAfterLeaseExpiry() {
        int lostTasks = 0;
        for (int seed = 1; seed <= 5; seed++) {
            ClusterScenario scenario = new ClusterScenario(seed);
            scenario.workload.durationFactor = 3;
            scenario.advance(5_000);
            scenario.workload.submitUncancelledServices(3);
            scenario.workload.submitBatchJobs(20, 100_000);
            scenario.advance(25_000);
            scenario.cloud.agents().stream()
                    .filter(agent -> agent.zone.equals("a"))
                    .forEach(agent -> scenario.network.dropOutbound(agent, 90_000));
            scenario.advance(20_000);
            int lostBefore = scenario.checker.tasks.lostOnLeaseExpiry;
            scenario.advance(100_000);
            lostTasks += scenario.checker.tasks.lostOnLeaseExpiry - lostBefore;
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
        }
        assertTrue(lostTasks < 100, "tasks lost with the leases of machines without heartbeats: " + lostTasks);
    }

    /** Faulty agents execute every command, also those of an earlier incarnation or an older leader. */
    @Test
    void checkerDetectsAgentsThatExecuteLateCommands() {
        assertTrue(lateCommandCases().stream()
                .anyMatch(
                        testCase -> runCase(testCase, agent -> agent.ignoresFencing = true).checker.violations.stream()
                                .anyMatch(violation -> violation.startsWith("ran_twice"))));
    }
}
