package org.hollypick.sim;

import java.util.function.Consumer;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/** Forwards all calls to another event loop; subclasses override the methods that they observe or change. */
class DelegatingEventLoop implements EventLoop {
    private final EventLoop delegate;

    DelegatingEventLoop(EventLoop delegate) {
        this.delegate = delegate;
    }

    @Override
    public long now() {
        return delegate.now();
    }

    @Override
    public long wallClockMs() {
        return delegate.wallClockMs();
    }

    @Override
    public void after(long ms, Runnable task) {
        delegate.after(ms, task);
    }

    @Override
    public void send(Request request, Consumer<Response> callback) {
        delegate.send(request, callback);
    }
}
