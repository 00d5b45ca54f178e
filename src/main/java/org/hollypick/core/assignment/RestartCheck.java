package org.hollypick.core.assignment;

import org.hollypick.config.constants.FailureDetectionConstants;

/**
 * Whether one machine's agent may have restarted with its first incarnation and without a fencing token, which is to be
 * found out by a direct call under a newer token. Times are milliseconds of the event loop's clock. Confined to the
 * event loop.
 */
public final class RestartCheck {
    private boolean pending;
    private long incarnation;
    private long notBefore;
    private boolean callInFlight;
    /** Whether a check was requested that the call in flight doesn't answer: the agent may have restarted after it. */
    private boolean requestedDuringCall;

    RestartCheck() {}

    /** Requests a check, addressed to the incarnation that the agent may be in now. */
    public void request(long agentIncarnation) {
        pending = true;
        requestedDuringCall = callInFlight;
        incarnation = agentIncarnation;
    }

    /** Whether a check was requested and no result is known yet: no commands may be sent directly. */
    public boolean isPending() {
        return pending;
    }

    /** Whether the requested check may be made now. */
    public boolean isDue(long now) {
        return pending && now >= notBefore;
    }

    /** Records that the direct call of a check is sent. */
    public void callStarted(long now) {
        callInFlight = true;
        requestedDuringCall = false;
        notBefore = now + FailureDetectionConstants.RESTART_CHECK_INTERVAL_MS;
    }

    /** Records that a direct call to the agent has ended; returns whether it was the call of a check. */
    public boolean callCompleted() {
        boolean wasCheck = callInFlight;
        callInFlight = false;
        return wasCheck;
    }

    /**
     * Records the result of a check: the agent hasn't restarted, or its heartbeats from before are told apart by their
     * tokens. A check that was requested during the call remains pending.
     */
    public void completed() {
        pending = requestedDuringCall;
        requestedDuringCall = false;
    }

    /** The incarnation that the agent may be in; meaningless unless {@link #isPending}. */
    public long incarnation() {
        return incarnation;
    }
}
