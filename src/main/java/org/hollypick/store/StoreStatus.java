package org.hollypick.store;

import org.hollypick.io.Response;

/** The outcome of a request to the key-value store. */
public enum StoreStatus {
    /** The store executed the request. */
    OK,
    /** The key or session doesn't exist. */
    NOT_FOUND,
    /** A condition of a transaction doesn't hold; nothing was written. */
    CONFLICT,
    /**
     * The store permanently rejects the request: it is too large, or its session doesn't exist. Nothing was written.
     */
    INVALID,
    /** The revision to watch from is too old: the store no longer has the changes since then. */
    COMPACTED,
    /** Any other response, such as that of a store that is overloaded or has no quorum. */
    UNAVAILABLE,
    /** The request was never sent, so it can't be executed later either. */
    NOT_SENT,
    /** The request was sent, but no response was received: it may have been executed, or may still be. */
    NO_RESPONSE;

    private static final int HTTP_BAD_REQUEST = 400;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_CONFLICT = 409;
    private static final int HTTP_GONE = 410;

    static StoreStatus of(Response response) {
        if (response.wasNeverSent()) {
            return NOT_SENT;
        }
        if (response.failedWith(Response.Failure.NO_RESPONSE)) {
            return NO_RESPONSE;
        }
        if (response.ok()) {
            return OK;
        }
        return switch (response.status()) {
            case HTTP_BAD_REQUEST -> INVALID;
            case HTTP_NOT_FOUND -> NOT_FOUND;
            case HTTP_CONFLICT -> CONFLICT;
            case HTTP_GONE -> COMPACTED;
            default -> UNAVAILABLE;
        };
    }
}
