package org.hollypick.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Breadth-first search through every state that a model can reach. Since it is breadth first, the trace to a broken
 * state is a shortest one. The search ends at the first broken state, or when there are no new states.
 *
 * @param <S> one state of the model; it isn't changed once it has been handed to {@link Successors}
 */
public final class StateSearch<S> {
    /** Takes what may happen next in a state. */
    public interface Successors<S> {
        /** {@code action} names the step in traces. */
        void add(String action, S next);
    }

    /** One step of a trace: what happened, and the state after it. */
    public record Step<S>(String action, S state) {}

    /**
     * What a search found.
     *
     * @param states the number of different states, the broken one not counted
     * @param trace the way to the broken state, its first state included; empty if there is none
     */
    public record Result<S>(int states, List<Step<S>> trace) {
        /** Whether a broken state was found. */
        public boolean broken() {
            return !trace.isEmpty();
        }

        /** The number of actions on the way to the broken state. */
        public int steps() {
            return trace.size() - 1;
        }

        /** The broken state. */
        public S last() {
            return trace.get(steps()).state;
        }

        /** The names of the actions on the way, in order. */
        public String actions() {
            return trace.stream().skip(1).map(Step::action).collect(Collectors.joining(", "));
        }
    }

    private record Node<S>(S state, String action, Node<S> before) {}

    private final BiConsumer<S, Successors<S>> next;
    private final Predicate<S> broken;
    private final Predicate<S> isNew;
    private final ArrayDeque<Node<S>> open = new ArrayDeque<>();
    private int states;
    private Node<S> found;

    private StateSearch(BiConsumer<S, Successors<S>> next, Predicate<S> broken, Predicate<S> isNew) {
        this.next = next;
        this.broken = broken;
        this.isNew = isNew;
    }

    /**
     * Searches from these first states.
     *
     * @param isNew remembers a state, and tells whether it is seen for the first time
     */
    public static <S> Result<S> run(
            List<S> first, BiConsumer<S, Successors<S>> next, Predicate<S> broken, Predicate<S> isNew) {
        return new StateSearch<>(next, broken, isNew).run(first);
    }

    private Result<S> run(List<S> first) {
        first.forEach(s -> reached(new Node<>(s, "", null)));
        while (!open.isEmpty() && found == null) {
            Node<S> node = open.poll();
            next.accept(node.state, (action, state) -> reached(new Node<>(state, action, node)));
        }
        ArrayList<Step<S>> trace = new ArrayList<>();
        for (Node<S> node = found; node != null; node = node.before) {
            trace.add(0, new Step<>(node.action, node.state));
        }
        return new Result<>(states, trace);
    }

    private void reached(Node<S> node) {
        if (broken.test(node.state)) {
            found = found == null ? node : found;
        } else if (isNew.test(node.state)) {
            states++;
            open.add(node);
        }
    }
}
