package org.hollypick.client;

/** A call that hollypick refused, or that nobody answered in time. */
public class HollypickException extends RuntimeException {
    private final int status;

    HollypickException(int status, String message) {
        super(message);
        this.status = status;
    }

    /** The HTTP status; 0 if there was no answer. */
    public int status() {
        return status;
    }

    /** 400 or 422: the call is wrong, or can never run; repeating it doesn't help. */
    public static final class Invalid extends HollypickException {
        Invalid(int status, String message) {
            super(status, message);
        }
    }

    /** 409: something else is known under that id, or the attempt or graph is over. */
    public static final class Conflict extends HollypickException {
        Conflict(String message) {
            super(409, message);
        }
    }

    /** 404: there is no such graph, node or result. */
    public static final class NotFound extends HollypickException {
        NotFound(String message) {
            super(404, message);
        }
    }

    /** No controller took the call within its time. It may have been carried out; the same call can be made again. */
    public static final class Unavailable extends HollypickException {
        Unavailable(int status, String message) {
            super(status, message);
        }
    }
}
