package org.hollypick.sim;

import java.util.function.Consumer;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/** Passes everything on to another runtime; those who look at something, or change it, override that. */
class DelegatingEventLoop implements EventLoop {
    private final EventLoop to;

    DelegatingEventLoop(EventLoop to) {
        this.to = to;
    }

    @Override
    public long now() {
        return to.now();
    }

    @Override
    public long wallClockMs() {
        return to.wallClockMs();
    }

    @Override
    public void after(long ms, Runnable task) {
        to.after(ms, task);
    }

    @Override
    public void send(Request request, Consumer<Response> callback) {
        to.send(request, callback);
    }
}
