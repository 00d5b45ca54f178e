package org.hollypick.io;

import io.undertow.connector.ByteBufferPool;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioIoThread;

/** The event loop of a real process: one XNIO I/O thread, with Undertow's HTTP client on the same thread. */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);

    private final XnioIoThread thread;
    private final HttpClient httpClient;

    /**
     * Runs on {@code thread}.
     *
     * @param budget limits the open connections, together with the server's
     * @param criticalAddresses the services that this controller can't do without
     * @param maxIdleConnections client connections kept open for later use
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

    /** The same task, whose exceptions are logged and don't end the loop. */
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
