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
 * The graph against a slow, plain model that works everything out anew each time; and its log, from which a new leader
 * has to find the same.
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

    private static NodeSpec node(String id, String... awaits) {
        return new NodeSpec(id, task(1), List.of(awaits));
    }

    /** The rules in their plainest form. */
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

    @Property(tries = 400, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void graphAndItsReplayedLogMatchTheReferenceModel(@ForAll long seed) throws JobCodec.InvalidException {
        Random r = new Random(seed);
        ReferenceModel model = new ReferenceModel();
        Set<Integer> released = new TreeSet<>();
        Graph g = new Graph(2, released::add);
        List<GraphLogEntry> log = new ArrayList<>();
        BitSet done = new BitSet();
        int specs = 0;
        for (int step = 0; step < 60; step++) {
            switch (r.nextInt(6)) {
                case 0, 1 -> {
                    List<String> running = released.stream()
                            .map(g::id)
                            .filter(n -> model.ready(n))
                            .toList();
                    String parent = model.sealed && !running.isEmpty() ? running.get(r.nextInt(running.size())) : null;
                    if (model.sealed && parent == null) {
                        break;
                    }
                    List<NodeSpec> batch = randomBatch(r, g, step);
                    String next = parent != null && r.nextInt(3) == 0
                            ? batch.get(r.nextInt(batch.size())).id()
                            : null;
                    Optional<GraphRejection> rejection = g.validate(batch, parent, next);
                    boolean cyclic = next != null && createsCycle(model, batch, parent, next);
                    if (next != null && model.continuations.containsKey(parent)) {
                        assertTrue(rejection.isPresent());
                        break;
                    }
                    assertEquals(cyclic, rejection.isPresent(), () -> "seed " + seed + ": " + rejection);
                    if (rejection.isPresent()) {
                        break;
                    }
                    int before = g.count();
                    g.append(batch, parent, next);
                    batch.forEach(n -> model.dependencies.put(n.id(), n.dependencies()));
                    if (next != null) {
                        model.continuations.put(parent, next);
                    }
                    log.add(GraphLogCodec.nodesAdded(g, before, g.count(), specs, parent, next));
                    specs = g.specs().size();
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
                    List<Integer> running =
                            released.stream().filter(i -> model.ready(g.id(i))).toList();
                    if (!running.isEmpty()) {
                        int i = running.get(r.nextInt(running.size()));
                        done.set(i);
                        model.completedTasks.add(g.id(i));
                        g.completionsCommitted(done);
                    }
                }
                default -> {
                    if (g.count() > 0 && r.nextInt(3) == 0) {
                        int i = r.nextInt(g.count());
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
        // A new leader reads the log, then what is done.
        Set<Integer> again = new TreeSet<>();
        Graph read = new Graph(2, again::add);
        for (GraphLogEntry entry : GraphLogCodec.decodeRecord(GraphLogCodec.encodeRecord("req-1", log))) {
            GraphLogCodec.replay(entry, read, (n, v) -> {});
        }
        read.completionsCommitted(done);
        assertMatches(model, read, again, "seed " + seed + " read again");
    }

    private static List<NodeSpec> randomBatch(Random r, Graph g, int step) {
        List<NodeSpec> batch = new ArrayList<>();
        for (int i = 0; i < 1 + r.nextInt(4); i++) {
            List<String> awaits = new ArrayList<>();
            for (NodeSpec n : batch) {
                if (r.nextInt(3) == 0) {
                    awaits.add(n.id());
                }
            }
            for (int k = 0; k < 2 && g.count() > 0; k++) {
                if (r.nextInt(3) == 0) {
                    awaits.add(g.id(r.nextInt(g.count())));
                }
            }
            batch.add(new NodeSpec(
                    "n" + step + "." + i,
                    task(1 + r.nextInt(2)),
                    awaits.stream().distinct().toList()));
        }
        return batch;
    }

    private static boolean createsCycle(ReferenceModel model, List<NodeSpec> batch, String parent, String next) {
        ReferenceModel with = new ReferenceModel();
        with.dependencies.putAll(model.dependencies);
        with.continuations.putAll(model.continuations);
        batch.forEach(n -> with.dependencies.put(n.id(), n.dependencies()));
        return with.dependsOn(next, parent, new HashSet<>());
    }

    private static void assertMatches(ReferenceModel model, Graph g, Set<Integer> released, String where) {
        for (int i = 0; i < g.count(); i++) {
            String n = g.id(i);
            NodeState s = g.state(i);
            assertEquals(
                    model.unsuccessful(n),
                    s == NodeState.CANCELLED || s == NodeState.FAILED,
                    where + " dead " + n + " " + s);
            assertEquals(model.done(n), s == NodeState.DONE, where + " done " + n + " " + s);
            assertEquals(model.ready(n), g.mayStart(i), where + " ready " + n + " " + s);
            assertTrue(!model.ready(n) || released.contains(i), where + " released " + n);
        }
    }

    @Test
    void chainsAndFansOfAHundredThousandNodesAreProcessed() {
        List<NodeSpec> chain = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            chain.add(i == 0 ? node("0") : node(Integer.toString(i), Integer.toString(i - 1)));
        }
        int[] released = {0};
        Graph g = new Graph(0, i -> released[0]++);
        assertEquals(Optional.empty(), g.validate(chain, null, null));
        g.append(chain, null, null);
        g.markDurable(g.count());
        g.seal();
        assertEquals(1, released[0]);
        assertEquals(100_000, g.terminate(0, NodeState.FAILED, "x").nodes().length);
        List<NodeSpec> fan = new ArrayList<>();
        fan.add(node("root"));
        for (int i = 0; i < 10_000; i++) {
            fan.add(node("c" + i, "root"));
        }
        int[] children = {0};
        Graph wide = new Graph(0, i -> children[0]++);
        wide.append(fan, null, null);
        wide.markDurable(wide.count());
        wide.seal();
        BitSet done = new BitSet();
        done.set(0);
        wide.completionsCommitted(done);
        assertEquals(10_001, children[0]);
    }

    @Test
    void invalidBatchesAreRejectedWithAReason() {
        Graph g = new Graph(0, i -> {});
        assertTrue(g.validate(List.of(node("a", "b"), node("b", "a")), null, null)
                .orElseThrow()
                .message()
                .contains("cycle"));
        assertTrue(g.validate(List.of(node("a", "a")), null, null)
                .orElseThrow()
                .message()
                .contains("cycle"));
        assertTrue(g.validate(List.of(node("a", "x")), null, null)
                .orElseThrow()
                .message()
                .contains("x, which is unknown"));
        assertTrue(g.validate(List.of(node("a"), node("a")), null, null)
                .orElseThrow()
                .message()
                .contains("twice"));
        g.append(List.of(node("a"), node("b", "a")), null, null);
        assertEquals(Optional.empty(), g.validate(List.of(node("a")), null, null), "known, and the same");
        assertEquals(
                GraphRejection.Reason.CONFLICT,
                g.validate(List.of(new NodeSpec("a", task(2), List.of())), null, null)
                        .orElseThrow()
                        .reason());
        assertEquals(
                GraphRejection.Reason.CONFLICT,
                g.validate(List.of(node("b")), null, null).orElseThrow().reason(),
                "awaits something else");
        assertEquals(
                GraphRejection.Reason.CONFLICT,
                g.validate(List.of(node("b", "a")), "a", null).orElseThrow().reason(),
                "has another parent");
        // c stands for a, and awaits b, which awaits a: nobody would ever be done.
        assertEquals(
                GraphRejection.Reason.INVALID,
                g.validate(List.of(node("c", "b")), "a", "c").orElseThrow().reason());
        assertEquals(Optional.empty(), g.validate(List.of(node("c")), "a", "c"));
        assertArrayEquals(new int[0], g.takeExhaustedNodes());
    }
}
