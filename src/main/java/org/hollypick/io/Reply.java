package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/** What came back. {@link #NO_ANSWER}: the request may have been, or may still be, executed. */
public record Reply(int status, JsonNode body) {
    /** Never sent: no connection could be made, and a given-up connection attempt doesn't complete later. */
    public static final int NOT_SENT = -1;
    public static final int NO_ANSWER = 0;

    public static Reply notSent() {
        return new Reply(NOT_SENT, MissingNode.getInstance());
    }

    public static Reply noAnswer() {
        return new Reply(NO_ANSWER, MissingNode.getInstance());
    }

    public boolean ok() {
        return status == 200;
    }
}
