package org.hollypick.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Breadth-first search of all reachable states of a model. The search order makes the trace to a violating state a
 * shortest one. The search ends when a state violates an invariant, or when there are no unvisited states left.
 *
 * @param <S> one state of the model; it must not change once it was passed to {@link Successors}
 */
public final class StateSearch<S> {
    /** Collects the states that may follow a state. */
    public interface Successors<S> {
        /** Adds a state; {@code action} names the transition to it in traces. */
        void add(String action, S next);
    }

    /** One step of a trace: the action, and the state after it. */
    public record Step<S>(String action, S state) {}

    /**
     * The result of a search.
     *
     * @param stateCount the number of different states visited, without the violating one
     * @param trace the path from an initial state to the violating state, both included; empty if none was found
     */
    public record Result<S>(int stateCount, List<Step<S>> trace) {
        /** Whether a state was found that violates an invariant. */
        public boolean violationFound() {
            return !trace.isEmpty();
        }

        /** The number of actions in the trace. */
        public int actionCount() {
            return trace.size() - 1;
        }

        /** The state that violates an invariant. */
        public S violatingState() {
            return trace.get(actionCount()).state;
        }

        /** The names of the trace's actions, in order. */
        public String actions() {
            return trace.stream().skip(1).map(Step::action).collect(Collectors.joining(", "));
        }
    }

    private record Node<S>(S state, String action, Node<S> predecessor) {}

    private final BiConsumer<S, Successors<S>> addSuccessors;
    private final Predicate<S> violatesInvariant;
    private final Predicate<S> markVisited;
    private final ArrayDeque<Node<S>> frontier = new ArrayDeque<>();
    private int stateCount;
    private Node<S> violating;

    private StateSearch(
            BiConsumer<S, Successors<S>> addSuccessors, Predicate<S> violatesInvariant, Predicate<S> markVisited) {
        this.addSuccessors = addSuccessors;
        this.violatesInvariant = violatesInvariant;
        this.markVisited = markVisited;
    }

    /**
     * Searches from the given initial states.
     *
     * @param addSuccessors adds all states that may follow a state
     * @param markVisited marks a state as visited, and returns whether it was unvisited before
     */
    public static <S> Result<S> run(
            List<S> initialStates,
            BiConsumer<S, Successors<S>> addSuccessors,
            Predicate<S> violatesInvariant,
            Predicate<S> markVisited) {
        return new StateSearch<>(addSuccessors, violatesInvariant, markVisited).run(initialStates);
    }

    /** Searches from the given initial states; states with the same key count as one. */
    static <S> Result<S> runByKey(
            List<S> initialStates,
            BiConsumer<S, Successors<S>> addSuccessors,
            Predicate<S> violatesInvariant,
            Function<S, StateKey.Packed> keyOf) {
        Set<StateKey.Packed> visitedKeys = new HashSet<>();
        return run(initialStates, addSuccessors, violatesInvariant, state -> visitedKeys.add(keyOf.apply(state)));
    }

    private Result<S> run(List<S> initialStates) {
        initialStates.forEach(s -> visit(new Node<>(s, "", null)));
        while (!frontier.isEmpty() && violating == null) {
            Node<S> node = frontier.poll();
            addSuccessors.accept(node.state, (action, state) -> visit(new Node<>(state, action, node)));
        }
        ArrayList<Step<S>> trace = new ArrayList<>();
        for (Node<S> node = violating; node != null; node = node.predecessor) {
            trace.add(0, new Step<>(node.action, node.state));
        }
        return new Result<>(stateCount, trace);
    }

    private void visit(Node<S> node) {
        if (violatesInvariant.test(node.state)) {
            violating = violating == null ? node : violating;
        } else if (markVisited.test(node.state)) {
            stateCount++;
            frontier.add(node);
        }
    }
}
