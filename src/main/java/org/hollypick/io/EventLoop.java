package org.hollypick.io;

import java.util.function.Consumer;

/**
 * What a controller needs of the world around it: clocks, timers and requests. Tests put a simulated world in its
 * place. All callbacks run on one thread.
 */
public interface EventLoop {
    /** The steady clock, in milliseconds. */
    long now();

    /** The time of day, in milliseconds since the epoch; within some tens of milliseconds of other controllers'. */
    long wallClockMs();

    /** Runs the task on the event loop after that many milliseconds. */
    void after(long ms, Runnable task);

    /** Sends a request; the callback is called exactly once, on the event loop, and never inside this call. */
    void send(Request request, Consumer<Response> callback);
}
