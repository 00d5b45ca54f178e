package org.hollypick.core.graph;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hollypick.core.JobSpec;
import org.hollypick.records.GraphLogCodec;
import org.hollypick.records.GraphLogEntry;
import org.hollypick.records.JobCodec;
import org.junit.jupiter.api.Test;

/**
 * Compares the graph with a slow reference model that derives every node's state from scratch, and checks that a new
 * leader restores the same state from the graph's log.
 */
class GraphTest {
    private static JobSpec task(double cpus) {
        return new JobSpec(
                "req-1",
                "c",
                "",
                false,
                JobSpec.Priority.NORMAL,
                1,
                cpus,
                0,
                1,
                null,
                null,
                false,
                false,
                true,
                "img",
                1,
                10,
                0,
                0,
                Double.NaN);
    }

    private static NodeSpec node(String id, String... dependencies) {
        return new NodeSpec(id, task(1), List.of(dependencies));
    }

    /** The rules for the states of nodes, evaluated recursively. */
    private static final class ReferenceModel {
        private final Map<String, List<String>> dependencies = new HashMap<>();
        private final Map<String, String> continuations = new HashMap<>();
        private final Set<String> completedTasks = new HashSet<>();
        private final Set<String> terminated = new HashSet<>();
        private boolean sealed;

        boolean done(String n) {
            if (unsuccessful(n) || !completedTasks.contains(n)) {
                return false;
            }
            return !continuations.containsKey(n) || done(continuations.get(n));
        }

        boolean unsuccessful(String n) {
            return terminated.contains(n)
                    || dependencies.get(n).stream().anyMatch(this::unsuccessful)
                    || (continuations.containsKey(n) && unsuccessful(continuations.get(n)));
        }

        boolean ready(String n) {
            return sealed
                    && !unsuccessful(n)
                    && !completedTasks.contains(n)
                    && dependencies.get(n).stream().allMatch(this::done);
        }

        boolean dependsOn(String from, String target, Set<String> seen) {
            if (from.equals(target)) {
                return true;
            }
            if (!seen.add(from)) {
                return false;
            }
            return dependencies.get(from).stream().anyMatch(o -> dependsOn(o, target, seen))
                    || (continuations.containsKey(from) && dependsOn(continuations.get(from), target, seen));
        }
    }

    /** Applies random changes; then replays the log and the completed tasks into a new graph, as a new leader does. */
    @Property(tries = 400, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void graphAndItsReplayedLogMatchTheReferenceModel(@ForAll long seed) throws JobCodec.InvalidException {
        Random random = new Random(seed);
        ReferenceModel model = new ReferenceModel();
        Set<Integer> released = new TreeSet<>();
        Graph g = new Graph(2, released::add);
        List<GraphLogEntry> log = new ArrayList<>();
        BitSet done = new BitSet();
        int loggedSpecs = 0;
        for (int step = 0; step < 60; step++) {
            switch (random.nextInt(6)) {
                case 0, 1 -> {
                    List<String> ready = released.stream()
                            .map(g::id)
                            .filter(n -> model.ready(n))
                            .toList();
                    String parent = model.sealed && !ready.isEmpty() ? ready.get(random.nextInt(ready.size())) : null;
                    if (model.sealed && parent == null) {
                        break;
                    }
                    List<NodeSpec> batch = randomBatch(random, g, step);
                    String continuation = parent != null && random.nextInt(3) == 0
                            ? batch.get(random.nextInt(batch.size())).id()
                            : null;
                    Optional<GraphRejection> rejection = g.validate(batch, parent, continuation);
                    boolean cyclic = continuation != null && createsCycle(model, batch, parent, continuation);
                    if (continuation != null && model.continuations.containsKey(parent)) {
                        assertTrue(rejection.isPresent());
                        break;
                    }
                    assertEquals(cyclic, rejection.isPresent(), () -> "seed " + seed + ": " + rejection);
                    if (rejection.isPresent()) {
                        break;
                    }
                    int before = g.count();
                    g.append(batch, parent, continuation);
                    batch.forEach(n -> model.dependencies.put(n.id(), n.dependencies()));
                    if (continuation != null) {
                        model.continuations.put(parent, continuation);
                    }
                    log.add(GraphLogCodec.nodesAdded(g, before, g.count(), loggedSpecs, parent, continuation));
                    loggedSpecs = g.specs().size();
                    g.markDurable(g.count());
                }
                case 2 -> {
                    if (!model.sealed && g.count() > 0) {
                        model.sealed = true;
                        log.add(GraphLogCodec.graphSealed());
                        g.seal();
                    }
                }
                case 3, 4 -> {
                    List<Integer> ready =
                            released.stream().filter(i -> model.ready(g.id(i))).toList();
                    if (!ready.isEmpty()) {
                        int i = ready.get(random.nextInt(ready.size()));
                        done.set(i);
                        model.completedTasks.add(g.id(i));
                        g.completionsCommitted(done);
                    }
                }
                default -> {
                    if (g.count() > 0 && random.nextInt(3) == 0) {
                        int i = random.nextInt(g.count());
                        if (!model.done(g.id(i)) && !model.unsuccessful(g.id(i))) {
                            Graph.Termination termination = g.terminate(i, NodeState.CANCELLED, "asked");
                            for (int root : termination.roots()) {
                                model.terminated.add(g.id(root));
                            }
                            log.add(GraphLogCodec.nodesTerminated(termination.roots(), NodeState.CANCELLED, "asked"));
                        }
                    }
                }
            }
            assertMatches(model, g, released, "seed " + seed + " step " + step);
        }
        Set<Integer> releasedAgain = new TreeSet<>();
        Graph replayed = new Graph(2, releasedAgain::add);
        for (GraphLogEntry entry : GraphLogCodec.decodeRecord(GraphLogCodec.encodeRecord("req-1", log))) {
            GraphLogCodec.replay(entry, replayed, (n, v) -> {});
        }
        replayed.completionsCommitted(done);
        assertMatches(model, replayed, releasedAgain, "seed " + seed + " replayed");
    }

    private static List<NodeSpec> randomBatch(Random random, Graph graph, int step) {
        List<NodeSpec> batch = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(4); i++) {
            List<String> dependencies = new ArrayList<>();
            for (NodeSpec n : batch) {
                if (random.nextInt(3) == 0) {
                    dependencies.add(n.id());
                }
            }
            for (int k = 0; k < 2 && graph.count() > 0; k++) {
                if (random.nextInt(3) == 0) {
                    dependencies.add(graph.id(random.nextInt(graph.count())));
                }
            }
            batch.add(new NodeSpec(
                    "n" + step + "." + i,
                    task(1 + random.nextInt(2)),
                    dependencies.stream().distinct().toList()));
        }
        return batch;
    }

    private static boolean createsCycle(
            ReferenceModel model, List<NodeSpec> batch, String parent, String continuation) {
        ReferenceModel extended = new ReferenceModel();
        extended.dependencies.putAll(model.dependencies);
        extended.continuations.putAll(model.continuations);
        batch.forEach(n -> extended.dependencies.put(n.id(), n.dependencies()));
        return extended.dependsOn(continuation, parent, new HashSet<>());
    }

    private static void assertMatches(ReferenceModel model, Graph graph, Set<Integer> released, String context) {
        for (int i = 0; i < graph.count(); i++) {
            String n = graph.id(i);
            NodeState s = graph.state(i);
            assertEquals(
                    model.unsuccessful(n),
                    s == NodeState.CANCELLED || s == NodeState.FAILED,
                    context + " unsuccessful " + n + " " + s);
            assertEquals(model.done(n), s == NodeState.DONE, context + " done " + n + " " + s);
            assertEquals(model.ready(n), graph.mayStart(i), context + " ready " + n + " " + s);
            assertTrue(!model.ready(n) || released.contains(i), context + " released " + n);
        }
    }

    @Test
    void chainsAndFansOfAHundredThousandNodesAreProcessed() {
        List<NodeSpec> chain = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            chain.add(i == 0 ? node("0") : node(Integer.toString(i), Integer.toString(i - 1)));
        }
        int[] released = {0};
        Graph graph = new Graph(0, i -> released[0]++);
        assertEquals(Optional.empty(), graph.validate(chain, null, null));
        graph.append(chain, null, null);
        graph.markDurable(graph.count());
        graph.seal();
        assertEquals(1, released[0]);
        assertEquals(100_000, graph.terminate(0, NodeState.FAILED, "x").nodes().length);
        List<NodeSpec> fan = new ArrayList<>();
        fan.add(node("root"));
        for (int i = 0; i < 10_000; i++) {
            fan.add(node("c" + i, "root"));
        }
        int[] children = {0};
        Graph fanGraph = new Graph(0, i -> children[0]++);
        fanGraph.append(fan, null, null);
        fanGraph.markDurable(fanGraph.count());
        fanGraph.seal();
        BitSet done = new BitSet();
        done.set(0);
        fanGraph.completionsCommitted(done);
        assertEquals(10_001, children[0]);
    }

    @Test
    void invalidBatchesAreRejectedWithAReason() {
        Graph graph = new Graph(0, i -> {});
        assertTrue(graph.validate(List.of(node("a", "b"), node("b", "a")), null, null)
                .orElseThrow()
                .message()
                .contains("cycle"));
        assertTrue(graph.validate(List.of(node("a", "a")), null, null)
                .orElseThrow()
                .message()
                .contains("cycle"));
        assertTrue(graph.validate(List.of(node("a", "x")), null, null)
                .orElseThrow()
                .message()
                .contains("x, which is unknown"));
        assertTrue(graph.validate(List.of(node("a"), node("a")), null, null)
                .orElseThrow()
                .message()
                .contains("twice"));
        graph.append(List.of(node("a"), node("b", "a")), null, null);
        assertEquals(Optional.empty(), graph.validate(List.of(node("a")), null, null), "existing node, unchanged");
        assertEquals(
                GraphRejection.Reason.CONFLICT,
                graph.validate(List.of(new NodeSpec("a", task(2), List.of())), null, null)
                        .orElseThrow()
                        .reason());
        assertEquals(
                GraphRejection.Reason.CONFLICT,
                graph.validate(List.of(node("b")), null, null).orElseThrow().reason(),
                "different dependencies");
        assertEquals(
                GraphRejection.Reason.CONFLICT,
                graph.validate(List.of(node("b", "a")), "a", null).orElseThrow().reason(),
                "different parent");
        // c provides the result of a and depends on b, which depends on a: none of them would ever be done.
        assertEquals(
                GraphRejection.Reason.INVALID,
                graph.validate(List.of(node("c", "b")), "a", "c").orElseThrow().reason());
        assertEquals(Optional.empty(), graph.validate(List.of(node("c")), "a", "c"));
        assertArrayEquals(new int[0], graph.takeExhaustedNodes());
    }
}
