package org.hollypick.core.assignment;

/**
 * The state of the leader's direct calls to one machine's agent; at most one call is in flight. Times are milliseconds
 * of the event loop's clock. Confined to the event loop.
 */
public final class DirectCalls {
    private boolean directCallInFlight;
    private long directCallNotBefore;
    private int unacknowledgedCalls;

    DirectCalls() {}

    /** Resets the count of unacknowledged calls, when a heartbeat or the response to a direct call is received. */
    void resetUnacknowledgedCalls() {
        unacknowledgedCalls = 0;
    }

    /** Whether a direct call is in flight. */
    public boolean directCallInFlight() {
        return directCallInFlight;
    }

    /** Records that a direct call is sent. */
    public void beginDirectCall() {
        directCallInFlight = true;
    }

    /** Records that the direct call has ended, with or without a response. */
    public void endDirectCall() {
        directCallInFlight = false;
    }

    /** Records that a direct call got no response. */
    public void recordUnacknowledgedCall() {
        unacknowledgedCalls++;
    }

    /**
     * The number of direct calls without a response since the last heartbeat or response from the agent was received.
     */
    public int unacknowledgedCalls() {
        return unacknowledgedCalls;
    }

    /** Allows no direct call before {@code until}. */
    public void delayDirectCalls(long until) {
        directCallNotBefore = until;
    }

    /** The earliest time of the next direct call, in milliseconds. */
    public long directCallNotBefore() {
        return directCallNotBefore;
    }
}
