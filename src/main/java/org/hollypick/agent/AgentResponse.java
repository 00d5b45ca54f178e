package org.hollypick.agent;

import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.io.Response;

/**
 * How a call to an agent ended. Immutable.
 *
 * @param status the HTTP status, or the code of a failure, for the log
 * @param heartbeat the agent's state after the call; null if the call wasn't acknowledged or the answer can't be read
 */
public record AgentResponse(Outcome outcome, int status, Heartbeat heartbeat) {
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_CONFLICT = 409;

    /** The kinds of outcomes that callers tell apart. */
    public enum Outcome {
        /** The agent took the commands, or refused them for its incarnation or a higher token, and showed its state. */
        ACKNOWLEDGED,
        /** The agent refused the message as malformed: no command of it was executed. */
        REJECTED,
        /** The agent answered with an error: commands may have been executed. */
        ERROR,
        /** The commands may have been executed, or may be yet. */
        NO_RESPONSE,
        /** No connection could be made: no command was sent. */
        NOT_SENT,
        /** Not sent for want of capacity in this process, which says nothing about the agent. */
        NO_CAPACITY
    }

    static AgentResponse of(Response response) {
        Outcome outcome = outcome(response);
        Heartbeat heartbeat = outcome == Outcome.ACKNOWLEDGED ? AgentCodec.decodeHeartbeat(response.body()) : null;
        return new AgentResponse(outcome, response.status(), heartbeat);
    }

    private static Outcome outcome(Response response) {
        if (response.failedWith(Response.Failure.NO_CAPACITY)) {
            return Outcome.NO_CAPACITY;
        }
        if (response.wasNeverSent()) {
            return Outcome.NOT_SENT;
        }
        if (!response.isAnswered()) {
            return Outcome.NO_RESPONSE;
        }
        return switch (response.status()) {
            case STATUS_OK, STATUS_CONFLICT -> Outcome.ACKNOWLEDGED;
            case STATUS_BAD_REQUEST -> Outcome.REJECTED;
            default -> Outcome.ERROR;
        };
    }

    /** Whether the agent answered, with whatever status. */
    public boolean isAnswered() {
        return outcome == Outcome.ACKNOWLEDGED || outcome == Outcome.REJECTED || outcome == Outcome.ERROR;
    }

    /** Whether no command of the call can be executed from now on. */
    public boolean isSettled() {
        return outcome != Outcome.ERROR && outcome != Outcome.NO_RESPONSE;
    }
}
