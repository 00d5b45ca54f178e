package org.hollypick.control.machines;

import org.hollypick.agent.AgentResponse;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.core.health.AdaptiveWindow;
import org.hollypick.core.health.LocalHealth;

/**
 * Limits the direct calls in flight: all of them by a window that adapts to response times, and those to unresponsive
 * machines also by a fixed number, so that a partitioned zone cannot use up all calls. Confined to the event loop.
 */
final class DirectCallLimiter {
    private final AdaptiveWindow window = new AdaptiveWindow();
    private final LocalHealth localHealth;
    private int inFlight;
    private int inFlightToUnresponsive;

    /** Creates the limiter; {@code localHealth} also receives response times and calls unsent for lack of capacity. */
    DirectCallLimiter(LocalHealth localHealth) {
        this.localHealth = localHealth;
    }

    /** Returns how many more calls the window allows; may be negative after the window shrank. */
    int availableCalls() {
        return window.size() - inFlight;
    }

    /** Whether another call to an unresponsive machine may be made. */
    boolean mayCallUnresponsive() {
        return inFlightToUnresponsive < FailureDetectionConstants.MAX_DIRECT_CALLS_UNRESPONSIVE;
    }

    /** Records that a call is about to be sent. */
    void callStarted(boolean toUnresponsive) {
        inFlight++;
        inFlightToUnresponsive += toUnresponsive ? 1 : 0;
    }

    /** Records that a call completed after {@code latencyMillis}. */
    void callCompleted(boolean toUnresponsive, AgentResponse response, long latencyMillis, long now) {
        inFlight--;
        inFlightToUnresponsive -= toUnresponsive ? 1 : 0;
        if (response.outcome() == AgentResponse.Outcome.NO_CAPACITY) {
            localHealth.recordUnsentCall(now);
            window.recordUnsentCall(now);
        } else if (response.isAnswered() && !toUnresponsive) {
            localHealth.recordResponse(latencyMillis, now);
            window.recordResponse(latencyMillis, now);
        }
    }
}
