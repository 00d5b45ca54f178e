package org.hollypick.io;

import java.util.function.Consumer;

/** What the node needs of the world around it; the tests put a simulated world in its place. */
public interface EventLoop {
    /** The steady clock, in milliseconds. */
    long now();

    /** The time of day, in milliseconds, within some tens of milliseconds of other nodes'. */
    long timeOfDay();

    /** Runs on the event loop after a while. */
    void after(long ms, Runnable task);

    /** Sends a request; the reply comes back on the event loop, exactly once. */
    void send(Request request, Consumer<Response> callback);
}
