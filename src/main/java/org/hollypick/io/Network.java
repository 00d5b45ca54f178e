package org.hollypick.io;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hollypick.config.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** The real world: one XNIO I/O thread is the event loop; requests go out over Undertow's client on the same thread. */
public final class Network implements Runtime {
    private static final Logger LOG = LoggerFactory.getLogger(Network.class);

    private final XnioIoThread thread;
    private final ByteBufferPool buffers;
    private final Map<String, Pool> pools = new HashMap<>();
    private final int idleMax;
    /** All connections that wait for their next use, the one unused for longest first. */
    private final Map<ClientConnection, Pool> idle = new LinkedHashMap<>();

    /** {@code idleMax}: connections kept open for later use, to all addresses together. */
    public Network(XnioIoThread thread, ByteBufferPool buffers, int idleMax) {
        this.thread = thread;
        this.buffers = buffers;
        this.idleMax = idleMax;
    }

    @Override
    public long now() {
        return System.nanoTime() / 1_000_000;
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
    public void call(Call call, Consumer<Reply> reply) {
        // Long watches have connections of their own, so that nothing waits behind them.
        String key = call.path().startsWith("/watch") ? call.address() + "#watch" : call.address();
        pools.computeIfAbsent(key, Pool::new).submit(new Exchange(call, reply));
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
            if (busy >= Constants.CONNECTIONS_PER_ADDRESS) {
                if (waiting.size() >= Constants.QUEUED_PER_ADDRESS) {
                    x.finish(Reply.notSent());
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
            while ((c = free.pollLast()) != null) {
                idle.remove(c);
                if (c.isOpen()) {
                    x.send(c);
                    return;
                }
                IoUtils.safeClose(c);
            }
            x.connect();
        }

        void release(ClientConnection reusable) {
            busy--;
            if (reusable != null && reusable.isOpen()) {
                free.add(reusable);
                idle.put(reusable, this);
                dropEldest();
            }
            Exchange next;
            while (busy < Constants.CONNECTIONS_PER_ADDRESS && (next = waiting.poll()) != null) {
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

    private void dropEldest() {
        while (idle.size() > idleMax) {
            Map.Entry<ClientConnection, Pool> eldest = idle.entrySet().iterator().next();
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
        private final Call call;
        private final Consumer<Reply> reply;
        private Pool pool;
        private XnioExecutor.Key timer;
        private ClientConnection connection;
        private boolean running;
        private boolean sent;
        private boolean finished;

        Exchange(Call call, Consumer<Reply> reply) {
            this.call = call;
            this.reply = reply;
        }

        void expire() {
            end(sent ? Reply.noAnswer() : Reply.notSent(), false);
        }

        void fail() {
            expire();
        }

        void finish(Reply r) {
            end(r, false);
        }

        private void end(Reply r, boolean reusable) {
            if (finished) {
                return;
            }
            finished = true;
            timer.remove();
            if (!reusable && connection != null) {
                IoUtils.safeClose(connection);
            }
            if (running) {
                pool.release(reusable ? connection : null);
            }
            // Never inside the caller's own call: replies always come as events of their own.
            thread.execute(guarded(() -> reply.accept(r)));
        }

        void connect() {
            UndertowClient.getInstance().connect(new ClientCallback<ClientConnection>() {
                @Override
                public void completed(ClientConnection c) {
                    if (finished) {
                        IoUtils.safeClose(c);
                    } else {
                        send(c);
                    }
                }

                @Override
                public void failed(IOException e) {
                    fail();
                }
            }, URI.create("http://" + call.address()), thread, buffers, OptionMap.EMPTY);
        }

        void send(ClientConnection c) {
            connection = c;
            if (!call.still().getAsBoolean()) {
                finish(Reply.notSent()); // the right that it was decided on has ended meanwhile
                return;
            }
            sent = true;
            byte[] bytes = call.body() == null ? null : Codec.write(call.body(), call.mesh());
            ClientRequest request = new ClientRequest().setMethod(new HttpString(call.method())).setPath(call.path());
            request.getRequestHeaders().put(Headers.HOST, call.address());
            if (bytes != null) {
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, call.mesh() ? "application/json" : "application/cbor");
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
                        channel.getReadSetter().set((ChannelListener<StreamSourceChannel>) ch -> read(status, ch, body, buffer));
                        channel.resumeReads();
                        return;
                    }
                    if (n < 0) {
                        JsonNode tree = Codec.read(body.toByteArray(), call.mesh());
                        end(new Reply(status, tree == null ? MissingNode.getInstance() : tree), true);
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
