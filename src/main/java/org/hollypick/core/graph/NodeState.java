package org.hollypick.core.graph;

/** State of a node in its graph. */
public enum NodeState {
    /** Not released yet: a dependency isn't done, the node isn't durable, or the graph isn't sealed. */
    WAITING,
    /** Released: its task may start or is running. */
    READY,
    /** Its own task is done; the node is done once its continuation is. */
    DELEGATED,
    /** Durably done. */
    DONE,
    /** Its task failed more often than the graph allows retries. */
    FAILED,
    /** Cancelled by a user, or because a dependency, its continuation or its delegator failed or was cancelled. */
    CANCELLED;

    /** Whether the state is final. */
    public boolean isTerminal() {
        return this == DONE || isUnsuccessful();
    }

    /** Whether the state is final and the node will never be done. */
    public boolean isUnsuccessful() {
        return this == FAILED || this == CANCELLED;
    }
}
