package org.hollypick.io;

import io.undertow.connector.ByteBufferPool;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** The event loop in production: an XNIO I/O thread, which also runs Undertow's HTTP client. */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);

    private final XnioIoThread thread;
    private final HttpClient httpClient;

    /**
     * Creates an event loop on {@code thread}.
     *
     * @param budget limits the connections of the client and the server together
     * @param criticalAddresses the services that this controller can't work without; their connections count as
     *     {@link ConnectionBudget.Kind#CONTROL}
     * @param maxIdleConnections the most idle client connections that are kept for reuse
     */
    public XnioEventLoop(
            XnioIoThread thread,
            ByteBufferPool buffers,
            ConnectionBudget budget,
            Set<String> criticalAddresses,
            int maxIdleConnections) {
        this.thread = thread;
        this.httpClient =
                new HttpClient(thread, new Connector(thread, buffers, budget), criticalAddresses, maxIdleConnections);
    }

    @Override
    public long now() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long wallClockMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void after(long ms, Runnable task) {
        thread.executeAfter(guarded(task), Math.max(0, ms), TimeUnit.MILLISECONDS);
    }

    @Override
    public void send(Request request, Consumer<Response> callback) {
        httpClient.send(request, callback);
    }

    /** Wraps a task so that its exceptions are logged and don't end the event loop. */
    static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("event_loop.task_failed", e);
            }
        };
    }
}
