package org.hollypick.core.graph;

import it.unimi.dsi.fastutil.ints.IntArrayList;
import it.unimi.dsi.fastutil.ints.IntOpenHashSet;
import it.unimi.dsi.fastutil.objects.Object2IntOpenHashMap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntConsumer;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.core.JobSpec;
import org.hollypick.core.TaskSet;

/**
 * A graph of tasks that grows while it runs. Pure and without recursion, since chains may be as long as the graph is
 * large. A node is released once it is durable, the graph is sealed, and all that it awaits is durably done. One that
 * has handed its result on to a continuation is done when that one is. Not final: tests put faulty ones in its place.
 */
public class Graph implements TaskSet {
    public enum State {
        WAITING,
        READY,
        HANDED,
        DONE,
        FAILED,
        CANCELLED
    }

    private static final int NONE = -1;
    private static final int[] NO_NODES = {};

    private final int retries;
    private final IntConsumer release;
    private final Object2IntOpenHashMap<String> index = new Object2IntOpenHashMap<>();
    private final List<String> ids = new ArrayList<>();
    /** Equal descriptions are one object, numbered as they came. */
    private final Map<JobSpec, Integer> specNumbers = new HashMap<>();

    private final List<JobSpec> specs = new ArrayList<>();
    private int[] specOf = new int[16];
    private State[] states = new State[16];
    private int[] missing = new int[16];
    private int[] parents = new int[16];
    /** The continuation that a node hands its result on to, and the node that a continuation stands for. */
    private int[] then = new int[16];

    private int[] origin = new int[16];
    private int[][] awaits = new int[16][];
    private IntArrayList[] neededBy = new IntArrayList[16];
    private final Map<Integer, Integer> errors = new HashMap<>();
    private final Map<Integer, String> reasons = new HashMap<>();
    /** Nodes that failed for good, and whose failure isn't recorded yet. */
    private IntArrayList failing = new IntArrayList();

    private final int[] counts = new int[State.values().length];
    private final BitSet committed = new BitSet();
    private int durable;
    private boolean sealed;

    /** {@code release}: hears of each node whose task may start from now on. */
    public Graph(int retries, IntConsumer release) {
        this.retries = retries;
        this.release = release;
        index.defaultReturnValue(NONE);
    }

    // ---- growing ----

    /**
     * Whether those nodes may be added: {@code parent} is the running node that submits them, null at the start;
     * {@code next} the one among them, or among its earlier children, that the parent hands its result on to. Null if
     * they may; nodes that are known already are no reason.
     */
    public Refusal check(List<NodeSpec> batch, String parent, String next) {
        int by = parent == null ? NONE : index.getInt(parent);
        if (parent != null && by == NONE) {
            return Refusal.invalid("unknown parent " + parent);
        }
        Map<String, NodeSpec> fresh = new HashMap<>();
        for (NodeSpec n : batch) {
            int known = index.getInt(n.id());
            if (known != NONE) {
                String differs = differs(known, n, by);
                if (differs != null) {
                    return Refusal.conflict("node " + n.id() + " is known with another " + differs);
                }
            } else if (fresh.put(n.id(), n) != null) {
                return Refusal.invalid("node " + n.id() + " stands twice in one call");
            }
        }
        if (ids.size() + fresh.size() > JobConstants.MAX_TASKS_PER_JOB) {
            return Refusal.invalid("more than " + JobConstants.MAX_TASKS_PER_JOB + " nodes");
        }
        for (NodeSpec n : fresh.values()) {
            for (String other : n.awaits()) {
                if (index.getInt(other) == NONE && !fresh.containsKey(other)) {
                    return Refusal.invalid("node " + n.id() + " awaits " + other + ", which is unknown");
                }
            }
        }
        String cycle = cycle(fresh);
        if (cycle != null) {
            return Refusal.invalid("a cycle through " + cycle);
        }
        return next == null ? null : checkNext(fresh, by, next);
    }

    private Refusal checkNext(Map<String, NodeSpec> fresh, int by, String next) {
        int known = index.getInt(next);
        if (by == NONE) {
            return Refusal.invalid("only a running node hands on its result");
        }
        if (known == NONE && !fresh.containsKey(next)) {
            return Refusal.invalid("the continuation " + next + " is unknown");
        }
        if (then[by] != NONE) {
            return then[by] == known
                    ? null
                    : Refusal.conflict("node " + ids.get(by) + " hands on to " + ids.get(then[by]) + " already");
        }
        if (known != NONE && (origin[known] != NONE || parents[known] != by)) {
            return Refusal.conflict(
                    "node " + next + " can't be its continuation: it is no child of it, or stands for another");
        }
        return needs(fresh, next, by)
                ? Refusal.invalid("the continuation " + next + " needs " + ids.get(by) + ", which it stands for")
                : null;
    }

    /** Whether a node, known or fresh, needs {@code target}: by what it awaits, and by what those stand for. */
    private boolean needs(Map<String, NodeSpec> fresh, String from, int target) {
        IntArrayList todo = new IntArrayList();
        List<String> names = new ArrayList<>(List.of(from));
        IntOpenHashSet seen = new IntOpenHashSet();
        IntOpenHashSet seenFresh = new IntOpenHashSet();
        Map<String, Integer> numbers = new HashMap<>();
        while (!names.isEmpty() || !todo.isEmpty()) {
            if (!names.isEmpty()) {
                String name = names.remove(names.size() - 1);
                NodeSpec n = fresh.get(name);
                if (n == null) {
                    todo.add(index.getInt(name));
                } else if (seenFresh.add((int) numbers.computeIfAbsent(name, k -> numbers.size()))) {
                    names.addAll(n.awaits());
                }
                continue;
            }
            int node = todo.removeInt(todo.size() - 1);
            if (node == target) {
                return true;
            }
            if (!seen.add(node) || states[node] == State.DONE) {
                continue;
            }
            for (int other : awaits[node]) {
                todo.add(other);
            }
            if (then[node] != NONE) {
                todo.add(then[node]);
            }
        }
        return false;
    }

    /** A node on a cycle among fresh ones; they can't lie on one with known ones, which await nothing fresh. */
    private static String cycle(Map<String, NodeSpec> fresh) {
        Map<String, int[]> open = new HashMap<>();
        Map<String, List<String>> behind = new HashMap<>();
        List<String> free = new ArrayList<>();
        for (NodeSpec n : fresh.values()) {
            int[] count = {0};
            for (String other : n.awaits()) {
                if (fresh.containsKey(other)) {
                    count[0]++;
                    behind.computeIfAbsent(other, k -> new ArrayList<>()).add(n.id());
                }
            }
            open.put(n.id(), count);
            if (count[0] == 0) {
                free.add(n.id());
            }
        }
        while (!free.isEmpty()) {
            String id = free.remove(free.size() - 1);
            open.remove(id);
            for (String other : behind.getOrDefault(id, List.of())) {
                if (--open.get(other)[0] == 0) {
                    free.add(other);
                }
            }
        }
        return open.isEmpty() ? null : open.keySet().iterator().next();
    }

    private String differs(int known, NodeSpec n, int by) {
        if (!specs.get(specOf[known]).equals(n.task())) {
            return "description";
        }
        if (parents[known] != by) {
            return "parent";
        }
        int[] wanted =
                n.awaits().stream().mapToInt(index::getInt).distinct().sorted().toArray();
        int[] had = awaits[known].clone();
        Arrays.sort(had);
        return Arrays.equals(wanted, had) ? null : "set of nodes that it awaits";
    }

    /**
     * Adds nodes that {@link #check} has nothing against, those that are known left out; they aren't durable yet.
     * Returns the new ones.
     */
    public List<NodeSpec> add(List<NodeSpec> batch, String parent, String next) {
        List<NodeSpec> added = new ArrayList<>();
        int by = parent == null ? NONE : index.getInt(parent);
        for (NodeSpec n : batch) {
            if (index.getInt(n.id()) == NONE) {
                index.put(n.id(), ids.size());
                ids.add(n.id());
                added.add(n);
            }
        }
        room(ids.size());
        for (NodeSpec n : added) {
            int i = index.getInt(n.id());
            specOf[i] = specNumber(n.task());
            states[i] = State.WAITING;
            counts[State.WAITING.ordinal()]++;
            parents[i] = by;
            then[i] = NONE;
            origin[i] = NONE;
            awaits[i] = n.awaits().stream().mapToInt(index::getInt).distinct().toArray();
            for (int other : awaits[i]) {
                if (states[other] != State.DONE) {
                    missing[i]++;
                    neededBy[other] = neededBy[other] == null ? new IntArrayList(2) : neededBy[other];
                    neededBy[other].add(i);
                }
            }
        }
        // What awaits a node that can't be done any more never can either.
        for (NodeSpec n : added) {
            int i = index.getInt(n.id());
            for (int other : awaits[i]) {
                if (states[other] == State.FAILED || states[other] == State.CANCELLED) {
                    endAll(
                            new int[] {i},
                            State.CANCELLED,
                            "needs " + ids.get(other) + ": " + reasons.getOrDefault(other, ""));
                }
            }
        }
        if (next != null && then[by] == NONE) {
            then[by] = index.getInt(next);
            origin[then[by]] = by;
            if (states[then[by]] == State.FAILED || states[then[by]] == State.CANCELLED) {
                endAll(
                        new int[] {by},
                        State.CANCELLED,
                        "its continuation " + next + " can't be done: " + reasons.getOrDefault(then[by], ""));
            }
        }
        return added;
    }

    private void room(int n) {
        if (n > specOf.length) {
            int to = Math.max(n, specOf.length * 2);
            specOf = Arrays.copyOf(specOf, to);
            states = Arrays.copyOf(states, to);
            missing = Arrays.copyOf(missing, to);
            parents = Arrays.copyOf(parents, to);
            then = Arrays.copyOf(then, to);
            origin = Arrays.copyOf(origin, to);
            awaits = Arrays.copyOf(awaits, to);
            neededBy = Arrays.copyOf(neededBy, to);
        }
    }

    private int specNumber(JobSpec spec) {
        return specNumbers.computeIfAbsent(spec, s -> {
            specs.add(s);
            return specs.size() - 1;
        });
    }

    /** So many nodes, the first ones, are durable. */
    public void durable(int nodes) {
        int from = durable;
        durable = Math.max(durable, nodes);
        for (int i = from; i < durable; i++) {
            releaseIfReady(i);
        }
    }

    /** Nothing is missing of what the client submits at the start. */
    public void seal() {
        sealed = true;
        for (int i = 0; i < durable; i++) {
            releaseIfReady(i);
        }
    }

    private void releaseIfReady(int i) {
        if (sealed && i < durable && states[i] == State.WAITING && missing[i] == 0) {
            become(i, State.READY);
            release.accept(i);
        }
    }

    private void become(int i, State state) {
        counts[states[i].ordinal()]--;
        counts[state.ordinal()]++;
        states[i] = state;
    }

    // ---- ends ----

    @Override
    public void completionsCommitted(BitSet done) {
        BitSet news = (BitSet) done.clone();
        news.andNot(committed);
        committed.or(done);
        news.stream().forEach(this::taskDone);
    }

    /** The node's own task is durably done. */
    private void taskDone(int node) {
        if (ended(node)) {
            return;
        }
        if (then[node] != NONE && states[then[node]] != State.DONE) {
            if (states[node] != State.HANDED) {
                become(node, State.HANDED);
            }
            return;
        }
        IntArrayList todo = new IntArrayList(new int[] {node});
        while (!todo.isEmpty()) {
            int i = todo.removeInt(todo.size() - 1);
            if (ended(i)) {
                continue;
            }
            become(i, State.DONE);
            if (neededBy[i] != null) {
                for (int other : neededBy[i].toIntArray()) {
                    missing[other]--;
                    releaseIfReady(other);
                }
                neededBy[i] = null;
            }
            if (origin[i] != NONE && states[origin[i]] == State.HANDED) {
                todo.add(origin[i]);
            }
        }
    }

    /** What ended: all of it, and the nodes from which the rest follows. */
    public record Ended(int[] all, int[] roots) {}

    /**
     * Fails or cancels a node and what it handed on to; with them goes all that needs them, and the node that they
     * stand for.
     */
    public Ended end(int node, State as, String why) {
        IntArrayList roots = new IntArrayList();
        for (int i = node; i != NONE; i = then[i]) {
            if (!ended(i)) {
                roots.add(i);
            }
        }
        int[] from = roots.toIntArray();
        return new Ended(endAll(from, as, why), from);
    }

    /** The same for nodes of which that is known; what follows from it follows again. */
    public int[] endAll(int[] roots, State as, String why) {
        IntArrayList ended = new IntArrayList();
        IntArrayList todo = new IntArrayList();
        for (int k = 0; k < roots.length; k++) {
            if (!ended(roots[k])) {
                close(
                        roots[k],
                        k == 0 ? as : State.CANCELLED,
                        k == 0 ? why : "its result stood for " + ids.get(roots[0]) + ": " + why,
                        ended,
                        todo);
            }
        }
        String follows = roots.length == 0 ? why : "needs " + ids.get(roots[0]) + ": " + why;
        while (!todo.isEmpty()) {
            int i = todo.removeInt(todo.size() - 1);
            if (!ended(i)) {
                close(i, State.CANCELLED, follows, ended, todo);
            }
        }
        return ended.toIntArray();
    }

    private void close(int i, State as, String why, IntArrayList ended, IntArrayList todo) {
        become(i, as);
        reasons.put(i, why);
        ended.add(i);
        if (neededBy[i] != null) {
            todo.addAll(neededBy[i]);
            neededBy[i] = null;
        }
        if (origin[i] != NONE) {
            todo.add(origin[i]);
        }
    }

    @Override
    public void taskFailed(int i) {
        if (states[i] == State.READY && errors.merge(i, 1, Integer::sum) > retries) {
            failing.add(i);
        }
    }

    /** Nodes that failed once too often since the last time. */
    public int[] takeFailing() {
        int[] taken = failing.toIntArray();
        failing = new IntArrayList();
        return taken;
    }

    /** Done, failed or cancelled: nothing becomes of it any more. */
    public boolean ended(int i) {
        return states[i] == State.DONE || states[i] == State.FAILED || states[i] == State.CANCELLED;
    }

    // ---- what the core asks ----

    @Override
    public int count() {
        return ids.size();
    }

    @Override
    public JobSpec spec(int i) {
        return specs.get(specOf[i]);
    }

    @Override
    public boolean heterogeneous() {
        return specs.size() > 1;
    }

    @Override
    public int unreleasedTasks() {
        return counts[State.WAITING.ordinal()];
    }

    @Override
    public boolean mayStart(int i) {
        return states[i] == State.READY && !failing.contains(i);
    }

    @Override
    public boolean finished(BitSet done) {
        return sealed
                && counts[State.WAITING.ordinal()] + counts[State.READY.ordinal()] + counts[State.HANDED.ordinal()]
                        == 0;
    }

    @Override
    public boolean successful() {
        return counts[State.DONE.ordinal()] == ids.size();
    }

    // ---- what its users ask ----

    public boolean sealed() {
        return sealed;
    }

    public int durableNodes() {
        return durable;
    }

    /** The node's index; -1 if there is none. */
    public int find(String id) {
        return index.getInt(id);
    }

    public String id(int i) {
        return ids.get(i);
    }

    public State state(int i) {
        return states[i];
    }

    public String reason(int i) {
        return reasons.getOrDefault(i, "");
    }

    public int parent(int i) {
        return parents[i];
    }

    public int[] awaits(int i) {
        return awaits[i] == null ? NO_NODES : awaits[i];
    }

    public int specNumber(int i) {
        return specOf[i];
    }

    public List<JobSpec> specs() {
        return specs;
    }

    public int count(State state) {
        return counts[state.ordinal()];
    }

    /** The node whose result stands for this one's: itself, or the last one that it was handed on to. */
    public int speaker(int i) {
        int at = i;
        while (then[at] != NONE) {
            at = then[at];
        }
        return at;
    }

    public int then(int i) {
        return then[i];
    }
}
