package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketAddress;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hollypick.config.constants.NetworkConstants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** The real world: one XNIO I/O thread is the event loop; requests go out over Undertow's client on the same thread. */
public final class XnioEventLoop implements EventLoop {
    private static final Logger LOG = LoggerFactory.getLogger(XnioEventLoop.class);

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final Map<String, Pool> pools = new HashMap<>();
    private final ConnectionBudget connections;
    private final Set<String> control;
    private final int idleMax;
    private final Connecting connecting;
    private boolean told;
    /** All connections that wait for their next use, the one unused for longest first. */
    private final Map<ClientConnection, Pool> idle = new LinkedHashMap<>();

    /**
     * {@code control}: addresses of the services that this node can't do without; {@code idleMax}: connections kept
     * open for later use.
     */
    public XnioEventLoop(
            XnioIoThread thread,
            ByteBufferPool buffers,
            ConnectionBudget connections,
            Set<String> control,
            int idleMax) {
        this.thread = thread;
        this.buffers = buffers;
        this.connections = connections;
        this.control = control;
        this.idleMax = idleMax;
        this.connecting = new Connecting(thread);
    }

    /**
     * The thread that connections are made on, as Undertow's client asks for one: it remembers the attempt, so that it
     * can be given up.
     */
    private static final class Connecting extends XnioIoThread {
        private final XnioIoThread thread;
        private IoFuture<StreamConnection> attempt;

        Connecting(XnioIoThread thread) {
            super(thread.getWorker(), thread.getNumber());
            this.thread = thread;
        }

        @Override
        public IoFuture<StreamConnection> openStreamConnection(
                SocketAddress to, ChannelListener<? super StreamConnection> opened, OptionMap options) {
            attempt = thread.openStreamConnection(to, opened, options);
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

    @Override
    public long now() {
        return System.nanoTime() / 1_000_000;
    }

    @Override
    public long timeOfDay() {
        return System.currentTimeMillis();
    }

    @Override
    public void after(long ms, Runnable task) {
        thread.executeAfter(guarded(task), Math.max(0, ms), TimeUnit.MILLISECONDS);
    }

    /** A mistake in one task is logged and doesn't end the loop. */
    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                LOG.error("task failed", e);
            }
        };
    }

    @Override
    public void send(Request call, Consumer<Response> callback) {
        // Long watches have connections of their own, so that nothing waits behind them.
        String key = call.path().startsWith("/watch") ? call.address() + "#watch" : call.address();
        pools.computeIfAbsent(key, Pool::new).submit(new Exchange(call, callback));
    }

    private final class Pool {
        private final String key;
        private final ArrayDeque<ClientConnection> free = new ArrayDeque<>();
        private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
        private int busy;

        Pool(String key) {
            this.key = key;
        }

        void submit(Exchange x) {
            x.pool = this;
            x.timer = thread.executeAfter(guarded(x::expire), x.call.timeoutMs(), TimeUnit.MILLISECONDS);
            if (busy >= NetworkConstants.CONNECTIONS_PER_ADDRESS) {
                if (waiting.size() >= NetworkConstants.QUEUED_PER_ADDRESS) {
                    x.finish(Response.notSent());
                } else {
                    waiting.add(x);
                }
                return;
            }
            run(x);
        }

        private void run(Exchange x) {
            busy++;
            x.running = true;
            ClientConnection c;
            x.kind = x.call.toPeer() || control.contains(x.call.address())
                    ? ConnectionBudget.Kind.CONTROL
                    : ConnectionBudget.Kind.ORDERS;
            while ((c = free.pollLast()) != null) {
                idle.remove(c);
                if (c.isOpen()) {
                    x.send(c);
                    return;
                }
                IoUtils.safeClose(c);
            }
            if (!connections.room(x.kind)) {
                dropEldest(idle.size() - 1);
            }
            if (connections.room(x.kind) || x.kind == ConnectionBudget.Kind.CONTROL) {
                x.connect();
            } else {
                x.lack("no socket left");
            }
        }

        void release(ClientConnection reusable) {
            busy--;
            if (reusable != null && reusable.isOpen()) {
                free.add(reusable);
                idle.put(reusable, this);
                dropEldest(idleMax);
            }
            Exchange next;
            while (busy < NetworkConstants.CONNECTIONS_PER_ADDRESS && (next = waiting.poll()) != null) {
                if (!next.finished) {
                    run(next);
                }
            }
            forgetIfUnused();
        }

        /** Machines come and go; their addresses must not pile up. */
        void forgetIfUnused() {
            if (busy == 0 && free.isEmpty() && waiting.isEmpty()) {
                pools.remove(key, this);
            }
        }
    }

    /** Closes the connections unused for longest, until few enough are left. */
    private void dropEldest(int keep) {
        while (!idle.isEmpty() && idle.size() > keep) {
            Map.Entry<ClientConnection, Pool> eldest =
                    idle.entrySet().iterator().next();
            ClientConnection c = eldest.getKey();
            Pool pool = eldest.getValue();
            idle.remove(c);
            pool.free.remove(c);
            IoUtils.safeClose(c);
            pool.forgetIfUnused();
        }
    }

    /** One request and its reply; finishes exactly once. */
    private final class Exchange {
        private final Request call;
        private final Consumer<Response> callback;
        private Pool pool;
        private XnioExecutor.Key timer;
        private ClientConnection connection;
        private ConnectionBudget.Kind kind;
        private IoFuture<StreamConnection> attempt;
        private boolean late;
        private boolean running;
        private boolean sent;
        private boolean finished;

        Exchange(Request call, Consumer<Response> callback) {
            this.call = call;
            this.callback = callback;
        }

        /** The time is over. If this process was held up, what came in meanwhile is read before that counts. */
        void expire() {
            if (!running) {
                lack("waited for other calls to " + call.address());
            } else if (!late) {
                late = true;
                timer = thread.executeAfter(
                        guarded(this::expire), NetworkConstants.TIMEOUT_GRACE_MS, TimeUnit.MILLISECONDS);
            } else {
                fail();
            }
        }

        void fail() {
            end(sent ? Response.noResponse() : Response.notSent(), false);
        }

        /** Not sent for want of something here. */
        void lack(String what) {
            if (!told) {
                told = true;
                LOG.info("calls not sent first={} sockets={}", what, connections);
            }
            end(Response.noCapacity(), false);
        }

        void finish(Response response) {
            end(response, false);
        }

        private void end(Response response, boolean reusable) {
            if (finished) {
                return;
            }
            finished = true;
            timer.remove();
            if (!reusable && connection != null) {
                IoUtils.safeClose(connection);
            }
            if (attempt != null && connection == null) {
                attempt.cancel(); // one into the dark would hold its socket for minutes
            }
            if (running) {
                pool.release(reusable ? connection : null);
            }
            // Never inside the caller's own call: replies always come as events of their own.
            thread.execute(guarded(() -> callback.accept(response)));
        }

        void connect() {
            connections.opened(kind);
            boolean[] counted = {true};
            Runnable uncount = () -> {
                if (counted[0]) {
                    counted[0] = false;
                    connections.closed(kind);
                }
            };
            connecting.attempt = null;
            UndertowClient.getInstance()
                    .connect(
                            new ClientCallback<ClientConnection>() {
                                @Override
                                public void completed(ClientConnection c) {
                                    c.addCloseListener(closed -> uncount.run());
                                    if (finished) {
                                        IoUtils.safeClose(c);
                                    } else {
                                        send(c);
                                    }
                                }

                                @Override
                                public void failed(IOException e) {
                                    uncount.run();
                                    if (e instanceof ConnectException || finished) {
                                        fail();
                                    } else {
                                        lack(e.toString()); // the other side can only refuse; anything else
                                        // is this system's own word
                                    }
                                }
                            },
                            URI.create("http://" + call.address()),
                            connecting,
                            buffers,
                            OptionMap.EMPTY);
            attempt = connecting.attempt;
            if (attempt == null) {
                uncount.run();
                return; // it failed at once
            }
            attempt.addNotifier(
                    (f, none) -> {
                        if (f.getStatus() == IoFuture.Status.CANCELLED) {
                            uncount.run();
                        }
                    },
                    null);
        }

        void send(ClientConnection c) {
            connection = c;
            if (!call.validWhile().getAsBoolean()) {
                finish(Response.notSent()); // the right that it was decided on has ended meanwhile
                return;
            }
            sent = true;
            byte[] bytes = call.body() == null ? null : Codec.write(call.body(), call.toPeer());
            ClientRequest request =
                    new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
            request.getRequestHeaders().put(Headers.HOST, call.address());
            if (bytes != null) {
                request.getRequestHeaders()
                        .put(Headers.CONTENT_TYPE, call.toPeer() ? "application/json" : "application/cbor");
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, bytes.length);
            }
            c.sendRequest(request, new ClientCallback<ClientExchange>() {
                @Override
                public void completed(ClientExchange exchange) {
                    exchange.setResponseListener(new ClientCallback<ClientExchange>() {
                        @Override
                        public void completed(ClientExchange answered) {
                            receive(answered);
                        }

                        @Override
                        public void failed(IOException e) {
                            fail();
                        }
                    });
                    if (bytes != null) {
                        write(exchange.getRequestChannel(), ByteBuffer.wrap(bytes));
                    }
                }

                @Override
                public void failed(IOException e) {
                    fail();
                }
            });
        }

        private void write(StreamSinkChannel channel, ByteBuffer data) {
            try {
                while (data.hasRemaining()) {
                    if (channel.write(data) == 0) {
                        channel.getWriteSetter().set((ChannelListener<StreamSinkChannel>) ch -> write(ch, data));
                        channel.resumeWrites();
                        return;
                    }
                }
                channel.shutdownWrites();
                if (!channel.flush()) {
                    channel.getWriteSetter().set(ChannelListeners.flushingChannelListener(null, (ch, e) -> fail()));
                    channel.resumeWrites();
                } else {
                    channel.suspendWrites();
                }
            } catch (IOException e) {
                fail();
            }
        }

        private void receive(ClientExchange exchange) {
            int status = exchange.getResponse().getResponseCode();
            read(status, exchange.getResponseChannel(), new ByteArrayOutputStream(512), ByteBuffer.allocate(4096));
        }

        private void read(int status, StreamSourceChannel channel, ByteArrayOutputStream body, ByteBuffer buffer) {
            try {
                while (true) {
                    buffer.clear();
                    int n = channel.read(buffer);
                    if (n == 0) {
                        channel.getReadSetter()
                                .set((ChannelListener<StreamSourceChannel>) ch -> read(status, ch, body, buffer));
                        channel.resumeReads();
                        return;
                    }
                    if (n < 0) {
                        JsonNode tree = Codec.read(body.toByteArray(), call.toPeer());
                        end(new Response(status, tree == null ? MissingNode.getInstance() : tree), true);
                        return;
                    }
                    body.write(buffer.array(), 0, n);
                }
            } catch (IOException e) {
                fail();
            }
        }
    }
}
