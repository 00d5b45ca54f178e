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
 * Machines at a change of the leader (docs/combined-faults.md): rented a moment ago, reporting late, out of reach in
 * one direction, or carrying out direct commands seconds after they were sent. The orders of events are enumerated, not
 * drawn; CI plays every n-th of them, and {@code mvn test -Dtest=MachineFaultsTest -Dmachines.every=1} plays all.
 */
class MachineFaultsTest {
    /** Prime to the numbers of values of each kind, so that all of them occur. */
    private static final int EVERY = Integer.getInteger("machines.every", 17);

    private static final int EVERY_SLOW = Math.min(EVERY, 7);
    /** Seeds of each order with which a faulty version is given the chance to show. */
    private static final int FAULTY_SEEDS = 8;

    private static final BiFunction<EventLoop, Settings, Controller> NEW =
            (r, s) -> new Controller(r, s, OperatorSettings.defaults());

    private static ClusterScenario day(int seed, BiFunction<EventLoop, Settings, Controller> version) {
        return new ClusterScenario(seed, 1, null, null, version);
    }

    private static boolean launches(Request call) {
        return call.path().equals("/commands")
                && call.body().path("orders").toString().contains("launch");
    }

    private static boolean registers(Request call) {
        return call.path().equals("/commit")
                && call.body().path("then").toString().contains("\"h/m/");
    }

    private static boolean rents(Request call) {
        return call.path().equals("/hosts") && call.method().equals("POST");
    }

    private static boolean returns(Request call) {
        return call.path().equals("/hosts/return");
    }

    // ---- new machines ----

    /**
     * What happens to a call: nothing, its answer comes late or never, or it gets no answer and is carried out late.
     */
    private enum Fate {
        ON_TIME,
        ANSWER_LATE,
        ANSWER_LOST,
        CARRIED_OUT_LATE
    }

    /** The event at which the leader ends. */
    private enum End {
        RENTAL_SENT,
        MACHINE_UP,
        FIRST_REPORT,
        REGISTRATION_SENT,
        LAUNCH_SENT
    }

    private record NewMachines(Fate rental, Fate registration, End end, int afterMs, int bootMs, int seed) {}

    private static List<NewMachines> newMachines() {
        List<NewMachines> all = new ArrayList<>();
        for (Fate rental : Fate.values()) {
            for (Fate registration : Fate.values()) {
                for (End end : End.values()) {
                    for (int afterMs : new int[] {0, 8, 60, 700}) {
                        for (int bootMs : new int[] {1, 2_000}) {
                            all.add(new NewMachines(rental, registration, end, afterMs, bootMs, all.size() + 1));
                        }
                    }
                }
            }
        }
        return all;
    }

    private static ClusterScenario play(NewMachines order, BiFunction<EventLoop, Settings, Controller> version) {
        ClusterScenario day = day(order.seed, version);
        day.cloud.maxBootMs = order.bootMs;
        day.cloud.alternatesListAge = true;
        day.users.cancelOneIn = 4;
        boolean slow = order.rental == Fate.ANSWER_LATE;
        Random random = day.world.random;
        day.network.requestDelayMs = (from, call) -> {
            boolean late = ((rents(call) || returns(call)) && order.rental == Fate.CARRIED_OUT_LATE)
                    || (registers(call) && order.registration == Fate.CARRIED_OUT_LATE);
            return late && random.nextBoolean() ? 1_500 + random.nextInt(10_000) : 0;
        };
        day.world.losesResponse = call -> ((rents(call) && order.rental == Fate.ANSWER_LOST)
                        || (registers(call) && order.registration == Fate.ANSWER_LOST))
                && random.nextBoolean();
        day.advance(5_000);
        day.world.addLatency("cloud:1", slow ? 3_000 : 0, 60_000);
        day.world.addLatency("state:1", order.registration == Fate.ANSWER_LATE ? 1_500 : 0, 20_000);
        endLeaderAt(day, order, 2);
        day.workload.submitUncancelledServices(3);
        day.workload.submitBatchJobs(8, 15_000);
        day.advance(100_000);
        return day;
    }

    /** Ends the leader at the first such event, and then the next one at the first of its own. */
    private static void endLeaderAt(ClusterScenario day, NewMachines order, int times) {
        boolean[] due = {true};
        Runnable end = () -> {
            if (due[0]) {
                due[0] = false;
                day.world.schedule(order.afterMs, () -> {
                    day.faults.crash(day.leaderIndex(), order.seed % 2 == 0 ? 150 : 6_000);
                    if (times > 1) {
                        day.onNextFencingToken(() -> endLeaderAt(day, order, times - 1));
                    }
                });
            }
        };
        Consumer<FakeAgent> up = w -> end.run();
        Consumer<Request> report = call -> end.run();
        day.cloud.bootListener = order.end == End.MACHINE_UP ? up : w -> {};
        day.world.heartbeatObserver = order.end == End.FIRST_REPORT ? report : call -> {};
        day.world.requestObserver = (from, call) -> {
            if ((order.end == End.RENTAL_SENT && rents(call))
                    || (order.end == End.REGISTRATION_SENT && registers(call))
                    || (order.end == End.LAUNCH_SENT && launches(call))) {
                end.run();
            }
        };
    }

    /**
     * A machine is registered durably before its first launch, in whichever order its rental's answer, its first
     * report, its registration and the leader's end come.
     */
    @Test
    void newMachinesViolateNoInvariantInAnyOrderOfEvents() {
        List<String> broken = new ArrayList<>();
        int starts = 0;
        int days = 0;
        for (NewMachines order : newMachines()) {
            if (order.seed % EVERY == 0) {
                ClusterScenario day = play(order, NEW);
                days++;
                starts += day.checker.tasks.starts;
                if (!day.checker.violations.isEmpty()) {
                    broken.add(order + " " + day.checker.violations);
                }
            }
        }
        assertEquals(List.of(), broken);
        assertTrue(starts > 10 * days, "only " + starts + " starts in " + days + " days");
    }

    /** A leader that takes a registration for durable when it sends it, while that takes seconds. */
    @Test
    void checkerDetectsALaunchBeforeTheRegistrationIsDurable() {
        BiFunction<EventLoop, Settings, Controller> hasty = (r, s) -> NEW.apply(
                new DelegatingEventLoop(r) {
                    @Override
                    public void send(Request call, Consumer<Response> callback) {
                        if (registers(call)) {
                            super.after(
                                    1,
                                    () -> callback.accept(
                                            new Response(200, Codec.object().put("epoch", 0))));
                            super.after(4_000, () -> super.send(call, late -> {}));
                        } else {
                            super.send(call, callback);
                        }
                    }
                },
                s);
        assertTrue(newMachines().stream()
                .filter(o -> o.end == End.LAUNCH_SENT && o.afterMs == 700)
                .anyMatch(o -> play(o, hasty).checker.violations.stream().anyMatch(b -> b.startsWith("ran_twice"))));
    }

    // ---- old reports ----

    /** Who gets the copies: only the new leader, only the others, which hand them on to it, or all. */
    private enum To {
        LEADER,
        OTHERS,
        ALL
    }

    /** When they arrive, counted from the new leader's leader record or from its first direct command. */
    private enum When {
        AT_ONCE,
        SOON,
        ONCE_IT_HAS_ACTED,
        A_LEASE_LATER
    }

    /** All copies in one order or the other, or of each machine only the one that shows the fewest tasks. */
    private enum Which {
        OLDEST_FIRST,
        NEWEST_FIRST,
        EMPTIEST
    }

    private record OldReports(To to, When when, Which which, boolean onlyHeldBack, int seed) {}

    private static List<OldReports> oldReports() {
        List<OldReports> all = new ArrayList<>();
        for (To to : To.values()) {
            for (When when : When.values()) {
                for (Which which : Which.values()) {
                    for (boolean held : new boolean[] {false, true}) {
                        all.add(new OldReports(to, when, which, held, all.size() + 1));
                    }
                }
            }
        }
        return all;
    }

    /**
     * All reports of the last half minute arrive again, or those of the leader's last seconds arrive for the first
     * time. By then many machines are in a later session, and their tasks were started again elsewhere.
     * {@code altered}: what the network makes of an old report; nothing unless it is broken.
     */
    private static ClusterScenario play(OldReports order, BiConsumer<ClusterScenario, ObjectNode> altered) {
        ClusterScenario day = day(order.seed, NEW);
        day.workload.durationFactor = 4;
        day.users.cancelOneIn = 4;
        List<Request> reports = new ArrayList<>();
        day.advance(5_000);
        day.workload.submitUncancelledServices(3);
        day.workload.submitBatchJobs(8, 30_000);
        day.advance(30_000);
        day.cloud.agents().stream().filter(w -> w.zone.equals("a")).forEach(w -> day.network.dropInbound(w, 19_000));
        day.world.heartbeatObserver = order.onlyHeldBack ? call -> {} : reports::add;
        day.advance(26_000);
        day.world.heartbeatObserver = call -> {};
        for (int change = 0; change < 2; change++) {
            day.network.requestDelayMs = (from, call) -> {
                if (order.onlyHeldBack && call.path().equals("/hello") && day.world.random.nextBoolean()) {
                    reports.add(call);
                    return SimulatedWorld.NEVER_DELIVERED;
                }
                return 0;
            };
            day.workload.submitBatchJobs(3, 1_000); // no copy shows their tasks
            day.advance(7_000);
            day.faults.crash(day.leaderIndex(), change == 0 ? 200 : 8_000);
            // Their own word comes later than the copy.
            day.cloud.agents().stream()
                    .filter(w -> w.activeTasks() > 0)
                    .limit(2)
                    .forEach(w -> day.network.isolate(w, 12_000));
            day.onNextFencingToken(() -> {
                day.network.requestDelayMs = (from, call) -> 0;
                arrive(day, order, new ArrayList<>(reports), altered);
            });
            day.advance(25_000);
        }
        day.advance(60_000);
        return day;
    }

    private static void arrive(
            ClusterScenario day,
            OldReports order,
            List<Request> reports,
            BiConsumer<ClusterScenario, ObjectNode> altered) {
        int leader = day.leaderIndex();
        if (order.which == Which.NEWEST_FIRST) {
            Collections.reverse(reports);
        } else if (order.which == Which.EMPTIEST) {
            reports.sort(Comparator.comparingInt(r -> r.body().path("shards").size()));
            Set<String> seen = new HashSet<>();
            reports.removeIf(r -> !seen.add(r.body().path("bothy").asText()));
        }
        Runnable all = () -> reports.forEach(r -> {
            for (int node = 0; node < 3; node++) {
                if (order.to == To.ALL || (node == leader) == (order.to == To.LEADER)) {
                    ObjectNode body = r.body().deepCopy();
                    altered.accept(day, body);
                    Request copy = new Request(r.address(), r.method(), r.path(), body, r.timeoutMs(), false);
                    day.world.deliverIgnoringResponse(copy, "p" + node + ":1");
                }
            }
        });
        switch (order.when) {
            case AT_ONCE -> all.run();
            case SOON -> day.world.schedule(150, all);
            case A_LEASE_LATER -> day.world.schedule(16_000, all);
            default ->
                day.world.requestObserver = (from, call) -> {
                    if (call.path().equals("/commands")) {
                        day.world.requestObserver = (f, c) -> {};
                        day.world.schedule(20, all);
                    }
                };
        }
    }

    /**
     * Reports of earlier sessions and attempts, and some that never arrived before, when a new leader begins or has
     * acted.
     */
    @Test
    void oldReportsProveNothingToANewLeader() {
        List<String> broken = new ArrayList<>();
        for (OldReports order : oldReports()) {
            if (order.seed % EVERY_SLOW == 0) {
                ClusterScenario day = play(order, (d, body) -> {});
                if (!day.checker.violations.isEmpty()) {
                    broken.add(order + " " + day.checker.violations);
                }
                assertTrue(day.checker.tasks.starts > 20, order + " starts=" + day.checker.tasks.starts);
            }
        }
        assertEquals(List.of(), broken);
    }

    /**
     * A leader for which an old report counts as the machine's word under its own token. Few orders show it, so those
     * in which a held-back report comes before the machine's own are played with further seeds until one does.
     */
    @Test
    void checkerDetectsAStaleHeartbeatTakenForTheFirst() {
        BiConsumer<ClusterScenario, ObjectNode> asIfNew =
                (day, body) -> body.put("baton", day.store.revisionOf("h/roster"));
        List<OldReports> early = oldReports().stream()
                .filter(o -> o.onlyHeldBack && o.to != To.OTHERS && o.when != When.A_LEASE_LATER)
                .toList();
        boolean noticed = false;
        for (int again = 0; again < FAULTY_SEEDS && !noticed; again++) {
            int further = again * oldReports().size();
            noticed = early.stream()
                    .map(o -> new OldReports(o.to, o.when, o.which, true, o.seed + further))
                    .anyMatch(
                            o -> play(o, asIfNew).checker.violations.stream().anyMatch(b -> b.startsWith("ran_twice")));
        }
        assertTrue(noticed);
    }

    // ---- late commands, and machines that reach nobody ----

    /** How the leader changes while commands are on their way. */
    private enum Change {
        NONE,
        RESTART,
        FREEZE,
        CUT,
        WORKERS_CUT
    }

    private record LateCommands(Change change, boolean mute, boolean deaf, int seed) {}

    private static List<LateCommands> lateCommands() {
        List<LateCommands> all = new ArrayList<>();
        for (Change change : Change.values()) {
            for (boolean mute : new boolean[] {false, true}) {
                for (boolean deaf : new boolean[] {false, true}) {
                    for (int again = 0; again < 6; again++) {
                        all.add(new LateCommands(change, mute, deaf, all.size() + 1));
                    }
                }
            }
        }
        return all;
    }

    /**
     * Of the direct commands every second one is held up and carried out once, 2 to 16 s late. Some machines reach no
     * controller meanwhile, or hear none, for less or more than a lease; users cancel every second job at once or
     * later.
     */
    private static ClusterScenario play(LateCommands order, Consumer<FakeAgent> up) {
        ClusterScenario day = day(order.seed, NEW);
        day.cloud.bootListener = up;
        day.workload.durationFactor = 3;
        day.users.cancelOneIn = 2;
        day.advance(5_000);
        day.workload.submitUncancelledServices(3);
        Random random = day.world.random;
        day.network.requestDelayMs = (from, call) -> {
            boolean late = call.path().equals("/commands") && random.nextBoolean();
            return late ? 2_000 + random.nextInt(14_000) : 0;
        };
        day.workload.submitBatchJobs(20, 90_000);
        for (int i = 0; i < 3; i++) {
            day.advance(20_000);
            int leader = day.leaderIndex();
            long ms = List.of(7_000L, 20_000L, 40_000L).get((order.seed + i) % 3);
            day.cloud.agents().stream()
                    .filter(w -> day.world.random.nextInt(3) == 0)
                    .forEach(w -> {
                        if (order.mute) {
                            day.network.dropOutbound(w, ms);
                        }
                        if (order.deaf && day.world.random.nextBoolean()) {
                            day.network.dropInbound(w, ms);
                        }
                    });
            switch (order.change) {
                case RESTART -> day.world.schedule(2_000, () -> day.faults.crash(leader, 200));
                case FREEZE -> day.world.schedule(2_000, () -> day.faults.freeze(leader, 9_000));
                case CUT -> day.world.schedule(2_000, () -> day.network.partitionFromStoreAndPeers(leader, 20_000));
                case WORKERS_CUT -> day.network.partitionFromAgents(leader, 12_000);
                default -> {}
            }
        }
        day.advance(40_000);
        day.network.requestDelayMs = (from, call) -> 0;
        day.advance(60_000);
        return day;
    }

    /**
     * A late command of an ended session or older leader is refused; one of this leader counts as under way for its
     * session.
     */
    @Test
    void lateCommandsAndLostHeartbeatsViolateNoInvariant() {
        List<String> broken = new ArrayList<>();
        for (LateCommands order : lateCommands()) {
            if (order.seed % EVERY == 0) {
                ClusterScenario day = play(order, w -> {});
                if (!day.checker.violations.isEmpty() || !day.checker.tasks.startsAfterCancellation.isEmpty()) {
                    broken.add(order + " " + day.checker.violations + " after being told "
                            + day.checker.tasks.startsAfterCancellation);
                }
            }
        }
        assertEquals(List.of(), broken);
    }

    /**
     * A machine has taken a launch and waits for the image; its user cancels the job, and every command that tells it
     * to stop is held up for longer than the fetch takes. It started after its user had been told.
     */
    @Test
    void aTaskFetchingItsImageIsStoppedBeforeItsCancellationIsConfirmed() {
        for (int seed = 1; seed <= 8; seed++) {
            ClusterScenario day = new ClusterScenario(seed);
            day.advance(20_000);
            boolean[] fetching = {false};
            day.world.heartbeatObserver =
                    call -> fetching[0] |= call.body().toString().contains("fetching");
            day.workload.submitUncancelledServices(1);
            while (!fetching[0]) {
                day.advance(10);
            }
            day.advance(20);
            day.network.requestDelayMs = (from, call) -> call.path().equals("/commands") ? 9_000 : 0;
            day.cloud.agents().forEach(w -> day.network.dropOutbound(w, 10_000));
            day.users.cancel("req-000000");
            day.advance(60_000);
            assertTrue(day.checker.isTerminal("req-000000"), "seed " + seed);
            assertEquals(List.of(), day.checker.tasks.startsAfterCancellation, "seed " + seed);
            assertEquals(List.of(), day.checker.violations, "seed " + seed);
        }
    }

    /**
     * They looked empty in each new session that a direct answer showed, got the next tasks, and lost them with their
     * lease.
     */
    @Test
    void machinesWithoutHeartbeatsGetNoTasksAfterLeaseExpiry() {
        int lost = 0;
        for (int seed = 1; seed <= 5; seed++) {
            ClusterScenario day = new ClusterScenario(seed);
            day.workload.durationFactor = 3;
            day.advance(5_000);
            day.workload.submitUncancelledServices(3);
            day.workload.submitBatchJobs(20, 100_000);
            day.advance(25_000);
            day.cloud.agents().stream()
                    .filter(w -> w.zone.equals("a"))
                    .forEach(w -> day.network.dropOutbound(w, 90_000));
            day.advance(20_000);
            int before = day.checker.tasks.lostOnLeaseExpiry;
            day.advance(100_000);
            lost += day.checker.tasks.lostOnLeaseExpiry - before;
            assertEquals(List.of(), day.checker.violations, "seed " + seed);
        }
        assertTrue(lost < 100, "tasks lost on machines that reach no controller: " + lost);
    }

    /** Workers that carry out whatever arrives, of an ended session or of an older leader too. */
    @Test
    void checkerDetectsWorkersThatCarryOutLateCommands() {
        assertTrue(lateCommands().stream()
                .anyMatch(o -> play(o, w -> w.ignoresFencing = true).checker.violations.stream()
                        .anyMatch(b -> b.startsWith("ran_twice"))));
    }
}
