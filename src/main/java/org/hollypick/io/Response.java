package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * The outcome of a {@link Request}: what the other system answered, or how the request failed. Immutable.
 *
 * @param status the HTTP status, or the {@link Failure#code()} of a failure
 * @param body the body of the answer; a missing node if there is none
 */
public record Response(int status, JsonNode body) {
    /**
     * Why a request has no answer. The codes are part of the protocol by which controllers forward requests for one
     * another, so they never change.
     */
    public enum Failure {
        /** The request was sent, or may have been: it may have been executed, or may be yet. */
        NO_RESPONSE(0),
        /** No connection could be made. The request was never sent and won't be sent later. */
        NOT_SENT(-1),
        /**
         * Never sent for a reason of this process: no socket was left, or the request's turn didn't come. Tells nothing
         * about the other system.
         */
        NO_CAPACITY(-2);

        private final int code;

        Failure(int code) {
            this.code = code;
        }

        /** What stands for the failure in the place of an HTTP status; at most 0. */
        public int code() {
            return code;
        }
    }

    /** A failed request. */
    private static Response failed(Failure failure) {
        return new Response(failure.code(), MissingNode.getInstance());
    }

    /** A request that failed with {@link Failure#NO_CAPACITY}. */
    public static Response noCapacity() {
        return failed(Failure.NO_CAPACITY);
    }

    /** A request that failed with {@link Failure#NOT_SENT}. */
    public static Response notSent() {
        return failed(Failure.NOT_SENT);
    }

    /** A request that failed with {@link Failure#NO_RESPONSE}. */
    public static Response noResponse() {
        return failed(Failure.NO_RESPONSE);
    }

    /** Whether the other system answered, with whatever status. */
    public boolean isAnswered() {
        return status > 0;
    }

    /** Whether the request failed in that way. */
    public boolean failedWith(Failure failure) {
        return status == failure.code();
    }

    /** Whether the request was certainly never sent, so that it can't be executed later. */
    public boolean wasNeverSent() {
        return status < 0;
    }

    /** Whether the other system answered with 200 (OK). */
    public boolean ok() {
        return status == 200;
    }
}
