package org.hollypick.core.assignment;

/**
 * The leader's direct calls to one machine's agent, of which at most one is in flight. Times are milliseconds of the
 * event loop's clock. Confined to the event loop.
 */
public final class DirectCalls {
    private boolean directCallInFlight;
    private long directCallNotBefore;
    private int unacknowledgedCalls;

    DirectCalls() {}

    /** A heartbeat came, or the response to a direct call. */
    void resetUnacknowledgedCalls() {
        unacknowledgedCalls = 0;
    }

    /** Whether a direct call is in flight: there is one at a time. */
    public boolean directCallInFlight() {
        return directCallInFlight;
    }

    /** A direct call goes out. */
    public void beginDirectCall() {
        directCallInFlight = true;
    }

    /** The direct call ended. */
    public void endDirectCall() {
        directCallInFlight = false;
    }

    /** A direct call got no response. */
    public void recordUnacknowledgedCall() {
        unacknowledgedCalls++;
    }

    /** Direct calls without a response since the last contact. */
    public int unacknowledgedCalls() {
        return unacknowledgedCalls;
    }

    /** No direct call goes out before {@code until}. */
    public void delayDirectCalls(long until) {
        directCallNotBefore = until;
    }

    /** No direct call goes out before this time, in milliseconds. */
    public long directCallNotBefore() {
        return directCallNotBefore;
    }
}
