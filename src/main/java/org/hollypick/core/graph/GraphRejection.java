package org.hollypick.core.graph;

/**
 * Why a request about a graph is rejected.
 *
 * @param reason determines the status code of the response to the user
 * @param message the explanation for the user
 */
public record GraphRejection(Reason reason, String message) {
    /** Kinds of rejection. */
    public enum Reason {
        /** The request can never be accepted. */
        INVALID,
        /** The request contradicts the graph's recorded state, or comes too late. */
        CONFLICT,
        /** The graph or node doesn't exist. */
        NOT_FOUND,
        /** The same request may be accepted later. */
        RETRY_LATER
    }

    /** A request that can never be accepted. */
    public static GraphRejection invalid(String message) {
        return new GraphRejection(Reason.INVALID, message);
    }

    /** A request that contradicts the graph's recorded state, or comes too late. */
    public static GraphRejection conflict(String message) {
        return new GraphRejection(Reason.CONFLICT, message);
    }

    /** A request about a graph or node that doesn't exist. */
    public static GraphRejection notFound(String message) {
        return new GraphRejection(Reason.NOT_FOUND, message);
    }

    /** A request that may be accepted later. */
    public static GraphRejection retryLater(String message) {
        return new GraphRejection(Reason.RETRY_LATER, message);
    }
}
