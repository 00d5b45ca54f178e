package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.hollypick.Controller;
import org.hollypick.config.OperatorSettings;
import org.hollypick.config.Settings;
import org.hollypick.core.JobDependencies;
import org.hollypick.core.graph.Graph;
import org.hollypick.core.graph.GraphRejection;
import org.hollypick.core.graph.NodeSpec;
import org.hollypick.core.graph.NodeState;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/** Graphs that grow, hand on and are cancelled, on days with faults; each rule of the jobs holds, and their own. */
class GraphFaultsTest {
    private static final OperatorSettings GRAPHS_ENABLED = OperatorSettings.parse("{:graphs true}");
    private static final BiFunction<EventLoop, Settings, Controller> CONTROLLER =
            (r, s) -> new Controller(r, s, GRAPHS_ENABLED);

    private static ClusterScenario runScenario(
            int seed,
            BiFunction<EventLoop, Settings, Controller> version,
            List<GraphUser> users,
            boolean cancels,
            Consumer<ClusterScenario> troubles) {
        ClusterScenario scenario = new ClusterScenario(seed, 1, null, new StoreLimits(2_048, 4, 25), version);
        for (int i = 0; i < 5; i++) {
            GraphUser u = new GraphUser(scenario, String.format("req-7%05d", i), 3, 3);
            users.add(u);
            scenario.world.at(3_000 + scenario.world.random.nextInt(50_000), u::start);
            if (cancels && i == 1) {
                scenario.world.at(30_000 + scenario.world.random.nextInt(60_000), u::withdraw);
            } else if (cancels && i == 2) {
                scenario.world.at(30_000 + scenario.world.random.nextInt(40_000), u::withdrawNode);
            }
        }
        scenario.workload.submitJobs(8, 60_000);
        troubles.accept(scenario);
        scenario.advance(330_000);
        return scenario;
    }

    @Test
    void graphsCompleteWithoutFaults() {
        for (int seed = 1; seed <= 20; seed++) {
            List<GraphUser> users = new ArrayList<>();
            ClusterScenario scenario = runScenario(seed, CONTROLLER, users, false, d -> {});
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            for (GraphUser u : users) {
                assertEquals("done", u.told, "seed " + seed + " " + u.id);
            }
        }
    }

    @Test
    void growingGraphsWithCancellationsAndFaultsViolateNoInvariant() {
        int over = 0;
        int refused = 0;
        for (int seed = 1; seed <= 150; seed++) {
            List<GraphUser> users = new ArrayList<>();
            ClusterScenario scenario = runScenario(
                    seed, CONTROLLER, users, true, cluster -> cluster.randomFaults.scheduleFaults(6, 10_000, 120_000));
            assertEquals(List.of(), scenario.checker.violations, "seed " + seed);
            assertEquals(0, scenario.store.oversizedTransactions, "seed " + seed);
            for (GraphUser u : users) {
                over += u.told.equals("done") || u.told.equals("aborted") ? 1 : 0;
                refused += u.refusedChildren;
            }
        }
        assertTrue(over > 5 * 150 * 0.9, "over: " + over);
        assertTrue(refused > 0, "late children of cancelled graphs were refused");
    }

    private static boolean violatesRule(
            String rule, BiFunction<EventLoop, Settings, Controller> version, Consumer<ClusterScenario> troubles) {
        for (int seed = 1; seed <= 40; seed++) {
            try {
                if (runScenario(seed, version, new ArrayList<>(), true, troubles).checker.violations.stream()
                        .anyMatch(b -> b.startsWith(rule))) {
                    return true;
                }
            } catch (NullPointerException e) {
                // Records that contradict one another end a faulty version before its users see anything: another seed.
            }
        }
        return false;
    }

    /** Children that are told before they are durable are lost with the leader. */
    @Test
    void checkerDetectsChildrenAcknowledgedBeforeTheyAreDurable() {
        assertTrue(violatesRule(
                "too_early",
                (r, s) -> new Controller(
                        new DelegatingEventLoop(r) {
                            @Override
                            public void send(Request c, Consumer<Response> callback) {
                                if (c.path().equals("/commit")
                                        && c.body().path("then").toString().contains("h/x/")) {
                                    r.after(
                                            10,
                                            () -> callback.accept(new Response(
                                                    200, Codec.object().put("epoch", 1))));
                                    r.after(2_500, () -> r.send(c, x -> {}));
                                } else {
                                    r.send(c, callback);
                                }
                            }
                        },
                        s,
                        GRAPHS_ENABLED),
                d -> {
                    for (int i = 0; i < 8; i++) {
                        d.world.at(15_000 + i * 11_000, () -> d.faults.crash(d.leaderIndex(), 4_000));
                    }
                }));
    }

    private static BiFunction<EventLoop, Settings, Controller> controllerWithGraphs(
            BiFunction<Integer, IntConsumer, Graph> maker) {
        return (r, s) -> new Controller(
                r, s, GRAPHS_ENABLED, new JobDependencies(), (retries, release) -> maker.apply(retries, release));
    }

    /** If a cancelled node counts as done, what needs it runs for nothing, and the graph is called done without it. */
    @Test
    void checkerDetectsCancelledNodeThatCountsAsDone() {
        assertTrue(violatesRule(
                "lost",
                controllerWithGraphs((retries, release) -> new Graph(retries, release) {
                    @Override
                    public int[] terminateRoots(int[] roots, NodeState state, String reason) {
                        BitSet pretended = new BitSet();
                        for (int i : roots) {
                            pretended.set(i); // what awaits it runs as if it were done
                        }
                        completionsCommitted(pretended);
                        return new int[0];
                    }
                }),
                d -> {}));
    }

    /** A parent that runs again submits its children again: if they aren't known again, each is run twice. */
    @Test
    void checkerDetectsChildrenThatRunTwice() {
        assertTrue(violatesRule(
                "doubled",
                controllerWithGraphs((retries, release) -> new Graph(retries, release) {
                    private int again;

                    @Override
                    public Optional<GraphRejection> validate(
                            List<NodeSpec> batch, String parentId, String continuationId) {
                        return super.validate(batch, parentId, continuationId)
                                .filter(rejection -> rejection.reason() != GraphRejection.Reason.CONFLICT);
                    }

                    @Override
                    public List<NodeSpec> append(List<NodeSpec> batch, String parentId, String continuationId) {
                        if (parentId != null
                                && !batch.isEmpty()
                                && indexOf(batch.get(0).id()) >= 0) {
                            again++;
                            List<NodeSpec> renamed = batch.stream()
                                    .map(n -> new NodeSpec(n.id() + "-again" + again, n.task(), List.of()))
                                    .toList();
                            return super.append(renamed, parentId, null);
                        }
                        return super.append(batch, parentId, continuationId);
                    }

                    @Override
                    public int indexOf(String id) {
                        return super.indexOf(super.indexOf(id + "-again" + again) >= 0 ? id + "-again" + again : id);
                    }
                }),
                d -> {
                    for (int i = 0; i < 10; i++) {
                        d.world.at(
                                12_000 + i * 9_000,
                                () -> d.cloud.agents().stream().findFirst().ifPresent(d.cloud::reclaim));
                    }
                }));
    }
}
