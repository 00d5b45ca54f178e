package org.hollypick.agent;

import org.hollypick.core.assignment.CallOutcome;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.io.Response;

/**
 * Result of a direct call to an agent. Immutable.
 *
 * @param status the HTTP status, or the code of a {@link Response.Failure}; for the log
 * @param heartbeat the agent's state after the call; null if the call wasn't acknowledged or the response can't be
 *     decoded
 */
public record AgentResponse(Outcome outcome, int status, Heartbeat heartbeat) {
    private static final int STATUS_OK = 200;
    private static final int STATUS_BAD_REQUEST = 400;
    private static final int STATUS_CONFLICT = 409;

    /** Outcome of a call, as far as callers distinguish. */
    public enum Outcome {
        /**
         * The agent accepted the commands, or refused them because of its incarnation or a higher token; either way the
         * response contains its state.
         */
        ACKNOWLEDGED,
        /** The agent refused the message as malformed: none of its commands was executed. */
        REJECTED,
        /** The agent responded with an error: the commands may have been executed. */
        ERROR,
        /** No response was received: the commands may have been executed, or may be executed later. */
        NO_RESPONSE,
        /** No connection could be made: no command was sent. */
        NOT_SENT,
        /** The call was not sent for lack of capacity in this process, which is no evidence about the agent. */
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

    /** Whether the agent responded, with any status. */
    public boolean isAnswered() {
        return outcome == Outcome.ACKNOWLEDGED || outcome == Outcome.REJECTED || outcome == Outcome.ERROR;
    }

    /** Whether the commands of the call were executed. */
    public CallOutcome callOutcome() {
        return switch (outcome) {
            case ACKNOWLEDGED -> status == STATUS_OK ? CallOutcome.EXECUTED : CallOutcome.NOT_EXECUTED;
            case REJECTED, NOT_SENT, NO_CAPACITY -> CallOutcome.NOT_EXECUTED;
            case ERROR, NO_RESPONSE -> CallOutcome.UNKNOWN;
        };
    }
}
