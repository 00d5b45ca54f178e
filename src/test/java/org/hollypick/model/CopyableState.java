package org.hollypick.model;

import java.util.function.Consumer;

/**
 * A mutable state of a model that is copied for each transition, and not changed once passed to the search.
 *
 * @param <S> the model's own state
 */
abstract class CopyableState<S extends CopyableState<S>> implements Cloneable {
    /** Returns the state after the transition; this state stays as it is. */
    final S after(Consumer<S> transition) {
        S copy = copy();
        copy.detach();
        transition.accept(copy);
        copy.transitionApplied();
        return copy;
    }

    @SuppressWarnings("unchecked") // a clone is of the same class
    private S copy() {
        try {
            return (S) clone();
        } catch (CloneNotSupportedException e) {
            throw new AssertionError(e);
        }
    }

    /** Replaces what a fresh copy still shares with its original and may change. */
    void detach() {}

    /** Checks invariants, or simplifies the state, after a transition was applied. */
    void transitionApplied() {}
}
