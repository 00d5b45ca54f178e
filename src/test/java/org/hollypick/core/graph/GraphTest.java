package org.hollypick.core.graph;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hollypick.core.JobSpec;
import org.hollypick.core.graph.Graph.State;
import org.hollypick.records.GraphRecords;
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
    private static final class Plain {
        private final Map<String, List<String>> awaits = new HashMap<>();
        private final Map<String, String> then = new HashMap<>();
        private final Set<String> taskDone = new HashSet<>();
        private final Set<String> ended = new HashSet<>();
        private boolean sealed;

        boolean done(String n) {
            if (dead(n) || !taskDone.contains(n)) {
                return false;
            }
            return !then.containsKey(n) || done(then.get(n));
        }

        boolean dead(String n) {
            return ended.contains(n)
                    || awaits.get(n).stream().anyMatch(this::dead)
                    || (then.containsKey(n) && dead(then.get(n)));
        }

        boolean ready(String n) {
            return sealed
                    && !dead(n)
                    && !taskDone.contains(n)
                    && awaits.get(n).stream().allMatch(this::done);
        }

        boolean reaches(String from, String target, Set<String> seen) {
            if (from.equals(target)) {
                return true;
            }
            if (!seen.add(from)) {
                return false;
            }
            return awaits.get(from).stream().anyMatch(o -> reaches(o, target, seen))
                    || (then.containsKey(from) && reaches(then.get(from), target, seen));
        }
    }

    @Property(tries = 400, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void growthEndsAndCancellationsFollowThePlainRules(@ForAll long seed) throws JobCodec.Invalid {
        Random r = new Random(seed);
        Plain plain = new Plain();
        Set<Integer> released = new TreeSet<>();
        Graph g = new Graph(2, released::add);
        List<ObjectNode> log = new ArrayList<>();
        BitSet done = new BitSet();
        int specs = 0;
        for (int step = 0; step < 60; step++) {
            switch (r.nextInt(6)) {
                case 0, 1 -> {
                    List<String> running = released.stream()
                            .map(g::id)
                            .filter(n -> plain.ready(n))
                            .toList();
                    String parent = plain.sealed && !running.isEmpty() ? running.get(r.nextInt(running.size())) : null;
                    if (plain.sealed && parent == null) {
                        break;
                    }
                    List<NodeSpec> batch = batch(r, g, step);
                    String next = parent != null && r.nextInt(3) == 0
                            ? batch.get(r.nextInt(batch.size())).id()
                            : null;
                    Refusal refusal = g.check(batch, parent, next);
                    boolean cyclic = next != null && cyclic(plain, batch, parent, next);
                    if (next != null && plain.then.containsKey(parent)) {
                        assertNotNull(refusal);
                        break;
                    }
                    assertEquals(cyclic, refusal != null, () -> "seed " + seed + ": " + refusal);
                    if (refusal != null) {
                        break;
                    }
                    int before = g.count();
                    g.add(batch, parent, next);
                    batch.forEach(n -> plain.awaits.put(n.id(), n.awaits()));
                    if (next != null) {
                        plain.then.put(parent, next);
                    }
                    log.add(GraphRecords.nodes(g, before, g.count(), specs, parent, next));
                    specs = g.specs().size();
                    g.durable(g.count());
                }
                case 2 -> {
                    if (!plain.sealed && g.count() > 0) {
                        plain.sealed = true;
                        log.add(GraphRecords.sealed());
                        g.seal();
                    }
                }
                case 3, 4 -> {
                    List<Integer> running =
                            released.stream().filter(i -> plain.ready(g.id(i))).toList();
                    if (!running.isEmpty()) {
                        int i = running.get(r.nextInt(running.size()));
                        done.set(i);
                        plain.taskDone.add(g.id(i));
                        g.completionsCommitted(done);
                    }
                }
                default -> {
                    if (g.count() > 0 && r.nextInt(3) == 0) {
                        int i = r.nextInt(g.count());
                        if (!plain.done(g.id(i)) && !plain.dead(g.id(i))) {
                            Graph.Ended ended = g.end(i, State.CANCELLED, "asked");
                            for (int root : ended.roots()) {
                                plain.ended.add(g.id(root));
                            }
                            log.add(GraphRecords.ended(ended.roots(), State.CANCELLED, "asked"));
                        }
                    }
                }
            }
            compare(plain, g, released, "seed " + seed + " step " + step);
        }
        // A new leader reads the log, then what is done.
        Set<Integer> again = new TreeSet<>();
        Graph read = new Graph(2, again::add);
        for (JsonNode op : GraphRecords.unpack(GraphRecords.record("req-1", log))) {
            GraphRecords.replay(op, read, (n, v) -> {});
        }
        read.completionsCommitted(done);
        compare(plain, read, again, "seed " + seed + " read again");
    }

    private static List<NodeSpec> batch(Random r, Graph g, int step) {
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

    private static boolean cyclic(Plain plain, List<NodeSpec> batch, String parent, String next) {
        Plain with = new Plain();
        with.awaits.putAll(plain.awaits);
        with.then.putAll(plain.then);
        batch.forEach(n -> with.awaits.put(n.id(), n.awaits()));
        return with.reaches(next, parent, new HashSet<>());
    }

    private static void compare(Plain plain, Graph g, Set<Integer> released, String where) {
        for (int i = 0; i < g.count(); i++) {
            String n = g.id(i);
            State s = g.state(i);
            assertEquals(plain.dead(n), s == State.CANCELLED || s == State.FAILED, where + " dead " + n + " " + s);
            assertEquals(plain.done(n), s == State.DONE, where + " done " + n + " " + s);
            assertEquals(plain.ready(n), g.mayStart(i), where + " ready " + n + " " + s);
            assertTrue(!plain.ready(n) || released.contains(i), where + " released " + n);
        }
    }

    @Test
    void chainsAndFansOfAHundredThousandAreNoTrouble() {
        List<NodeSpec> chain = new ArrayList<>();
        for (int i = 0; i < 100_000; i++) {
            chain.add(i == 0 ? node("0") : node(Integer.toString(i), Integer.toString(i - 1)));
        }
        int[] released = {0};
        Graph g = new Graph(0, i -> released[0]++);
        assertNull(g.check(chain, null, null));
        g.add(chain, null, null);
        g.durable(g.count());
        g.seal();
        assertEquals(1, released[0]);
        assertEquals(100_000, g.end(0, State.FAILED, "x").all().length);
        List<NodeSpec> fan = new ArrayList<>();
        fan.add(node("root"));
        for (int i = 0; i < 10_000; i++) {
            fan.add(node("c" + i, "root"));
        }
        int[] children = {0};
        Graph wide = new Graph(0, i -> children[0]++);
        wide.add(fan, null, null);
        wide.durable(wide.count());
        wide.seal();
        BitSet done = new BitSet();
        done.set(0);
        wide.completionsCommitted(done);
        assertEquals(10_001, children[0]);
    }

    @Test
    void whatCantBeIsRefusedWithAReason() {
        Graph g = new Graph(0, i -> {});
        assertTrue(g.check(List.of(node("a", "b"), node("b", "a")), null, null)
                .why()
                .contains("cycle"));
        assertTrue(g.check(List.of(node("a", "a")), null, null).why().contains("cycle"));
        assertTrue(g.check(List.of(node("a", "x")), null, null).why().contains("x, which is unknown"));
        assertTrue(g.check(List.of(node("a"), node("a")), null, null).why().contains("twice"));
        g.add(List.of(node("a"), node("b", "a")), null, null);
        assertNull(g.check(List.of(node("a")), null, null), "known, and the same");
        assertEquals(
                409,
                g.check(List.of(new NodeSpec("a", task(2), List.of())), null, null)
                        .status());
        assertEquals(409, g.check(List.of(node("b")), null, null).status(), "awaits something else");
        assertEquals(409, g.check(List.of(node("b", "a")), "a", null).status(), "has another parent");
        // c stands for a, and awaits b, which awaits a: nobody would ever be done.
        assertEquals(422, g.check(List.of(node("c", "b")), "a", "c").status());
        assertNull(g.check(List.of(node("c")), "a", "c"));
        assertArrayEquals(new int[0], g.takeFailing());
    }
}
