package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * The outcome of a {@link Request}: the response that was received, or how the request failed. Immutable.
 *
 * @param status the HTTP status, or the {@link Failure#code()} of a failure
 * @param body the body of the response; a missing node if there is none or if it is malformed
 */
public record Response(int status, JsonNode body) {
    /**
     * Why a request has no response. The codes are part of the protocol by which controllers forward requests for one
     * another, and therefore never change.
     */
    public enum Failure {
        /** The request was sent, or may have been: the receiver may have executed it, or may still execute it. */
        NO_RESPONSE(0),
        /**
         * The request was not sent and will not be sent later, for example because no connection could be made, the
         * queue for its address was full, or the request was no longer valid.
         */
        NOT_SENT(-1),
        /**
         * The request was not sent because this process lacked capacity: no socket was free, connecting failed with a
         * local error, or the request timed out in the queue for a connection. Says nothing about the other system.
         */
        NO_CAPACITY(-2);

        private final int code;

        Failure(int code) {
            this.code = code;
        }

        /** The number that represents the failure in place of an HTTP status; 0 or negative. */
        public int code() {
            return code;
        }
    }

    /** The outcome of a request that failed in the given way. */
    private static Response failed(Failure failure) {
        return new Response(failure.code(), MissingNode.getInstance());
    }

    /** The outcome of a request that failed with {@link Failure#NO_CAPACITY}. */
    public static Response noCapacity() {
        return failed(Failure.NO_CAPACITY);
    }

    /** The outcome of a request that failed with {@link Failure#NOT_SENT}. */
    public static Response notSent() {
        return failed(Failure.NOT_SENT);
    }

    /** The outcome of a request that failed with {@link Failure#NO_RESPONSE}. */
    public static Response noResponse() {
        return failed(Failure.NO_RESPONSE);
    }

    /** Whether a response was received, with any status. */
    public boolean isAnswered() {
        return status > 0;
    }

    /** Whether the request failed in the given way. */
    public boolean failedWith(Failure failure) {
        return status == failure.code();
    }

    /** Whether the request is known not to have been sent, which rules out that it is executed later. */
    public boolean wasNeverSent() {
        return status < 0;
    }

    /** Whether the response has status 200 (OK). */
    public boolean ok() {
        return status == 200;
    }
}
