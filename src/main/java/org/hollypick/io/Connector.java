package org.hollypick.io;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** Opens client connections and counts them in the budget until they are closed. Confined to the event loop. */
final class Connector {
    private final ConnectionBudget budget;
    private final ByteBufferPool buffers;
    private final AttemptRecorder recorder;

    Connector(XnioIoThread thread, ByteBufferPool buffers, ConnectionBudget budget) {
        this.buffers = buffers;
        this.budget = budget;
        this.recorder = new AttemptRecorder(thread);
    }

    /** Receives the outcome of a connection attempt: at most one of the methods is called, at most once. */
    interface Listener {
        void connected(ClientConnection connection);

        void connectFailed(IOException cause);
    }

    /** A connection counted in the budget; released once, however often {@link #release} is called. */
    private static final class BudgetSlot {
        private final ConnectionBudget budget;
        private final ConnectionBudget.Kind kind;
        private boolean isHeld = true;

        BudgetSlot(ConnectionBudget budget, ConnectionBudget.Kind kind) {
            this.budget = budget;
            this.kind = kind;
            budget.opened(kind);
        }

        void release() {
            if (isHeld) {
                isHeld = false;
                budget.closed(kind);
            }
        }
    }

    /**
     * Delegates to an I/O thread and records the connection attempt that Undertow's client starts on it, since the
     * client doesn't return the attempt and it must be possible to cancel it.
     */
    private static final class AttemptRecorder extends XnioIoThread {
        private final XnioIoThread thread;
        private IoFuture<StreamConnection> attempt;

        AttemptRecorder(XnioIoThread thread) {
            super(thread.getWorker(), thread.getNumber());
            this.thread = thread;
        }

        @Override
        public IoFuture<StreamConnection> openStreamConnection(
                SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
            attempt = thread.openStreamConnection(destination, openListener, options);
            return attempt;
        }

        @Override
        public void execute(Runnable task) {
            thread.execute(task);
        }

        @Override
        public Key executeAfter(Runnable task, long time, TimeUnit unit) {
            return thread.executeAfter(task, time, unit);
        }

        @Override
        public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
            return thread.executeAtInterval(task, time, unit);
        }
    }

    ConnectionBudget budget() {
        return budget;
    }

    /**
     * Starts a connection attempt.
     *
     * @return the attempt, which can be cancelled; null if it failed immediately
     */
    IoFuture<StreamConnection> connect(String address, ConnectionBudget.Kind kind, Listener listener) {
        BudgetSlot slot = new BudgetSlot(budget, kind);
        recorder.attempt = null;
        UndertowClient.getInstance()
                .connect(callback(slot, listener), URI.create("http://" + address), recorder, buffers, OptionMap.EMPTY);
        IoFuture<StreamConnection> attempt = recorder.attempt;
        if (attempt == null) {
            slot.release();
            return null;
        }
        attempt.addNotifier(
                (future, unused) -> {
                    if (future.getStatus() == IoFuture.Status.CANCELLED) {
                        slot.release();
                    }
                },
                null);
        return attempt;
    }

    private static ClientCallback<ClientConnection> callback(BudgetSlot slot, Listener listener) {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                connection.addCloseListener(closed -> slot.release());
                listener.connected(connection);
            }

            @Override
            public void failed(IOException cause) {
                slot.release();
                listener.connectFailed(cause);
            }
        };
    }
}
