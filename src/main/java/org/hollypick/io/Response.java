package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/** What came back. {@link #NO_ANSWER}: the request may have been, or may still be, executed. */
public record Response(int status, JsonNode body) {
    /** Never sent: no connection could be made, and a given-up connection attempt doesn't complete later. */
    public static final int NOT_SENT = -1;

    public static final int NO_ANSWER = 0;
    /**
     * Never sent, and for a reason of this node's own: no socket left, or its turn didn't come. It says nothing about
     * the other side.
     */
    public static final int NO_CAPACITY = -2;

    public static Response noCapacity() {
        return new Response(NO_CAPACITY, MissingNode.getInstance());
    }

    public static Response notSent() {
        return new Response(NOT_SENT, MissingNode.getInstance());
    }

    public static Response noAnswer() {
        return new Response(NO_ANSWER, MissingNode.getInstance());
    }

    /** Certainly never sent, so it can't be executed late. */
    public boolean neverSent() {
        return status < 0;
    }

    public boolean ok() {
        return status == 200;
    }
}
