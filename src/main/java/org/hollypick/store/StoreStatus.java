package org.hollypick.store;

import org.hollypick.io.Response;

/** How a request to the key-value store ended. */
public enum StoreStatus {
    /** The store carried the request out. */
    OK,
    /** The key or session doesn't exist. */
    NOT_FOUND,
    /** A condition of a transaction doesn't hold; nothing was written. */
    CONFLICT,
    /** The store refuses the request for good: it is too large, or its session doesn't exist. Nothing was written. */
    INVALID,
    /** The revision to watch from is too old: the store no longer has the changes since then. */
    COMPACTED,
    /** Any other answer, such as one of an overloaded store, or of one without a quorum. */
    UNAVAILABLE,
    /** Never sent, so it can't be carried out late either. */
    NOT_SENT,
    /** Sent but not answered: it may have been carried out, or may still be. */
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
