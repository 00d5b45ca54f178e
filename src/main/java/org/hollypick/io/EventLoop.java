package org.hollypick.io;

import java.util.function.Consumer;

/**
 * The clocks, timers and HTTP client of a controller, which tests replace by a simulation. All tasks and callbacks run
 * on one thread.
 */
public interface EventLoop {
    /** The monotonic clock, in milliseconds from an arbitrary origin. */
    long now();

    /**
     * The wall clock, in milliseconds since the epoch; within some tens of milliseconds of other controllers' clocks.
     */
    long wallClockMs();

    /** Runs a task on the event loop after {@code ms} milliseconds. */
    void after(long ms, Runnable task);

    /** Sends a request; the callback runs exactly once, on the event loop, and never during this call. */
    void send(Request request, Consumer<Response> callback);
}
