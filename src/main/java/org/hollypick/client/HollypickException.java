package org.hollypick.client;

/** Thrown for a call that the service rejected, or that no controller accepted in time. */
public class HollypickException extends RuntimeException {
    private final int status;

    HollypickException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** Returns the HTTP status; 0 if there was no response. */
    public int status() {
        return status;
    }

    /**
     * The call is invalid, or the work can never run (400, 405 or 422; 0 if the client found it); a retry won't help.
     */
    public static final class Invalid extends HollypickException {
        Invalid(int status, String message) {
            super(status, message);
        }
    }

    /** The id is already used for something else, or the attempt, node or graph has ended (409). */
    public static final class Conflict extends HollypickException {
        Conflict(String message) {
            super(409, message);
        }
    }

    /** The graph, node or result doesn't exist (404). */
    public static final class NotFound extends HollypickException {
        NotFound(String message) {
            super(404, message);
        }
    }

    /**
     * No controller accepted the call in time. The call may have taken effect nevertheless; it can be repeated safely.
     */
    public static final class Unavailable extends HollypickException {
        Unavailable(int status, String message) {
            super(status, message);
        }
    }
}
