package org.hollypick.io;

import com.google.common.net.HostAndPort;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.hollypick.config.constants.NetworkConstants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/** Undertow in front of the node: the user and worker endpoint in CBOR, the mesh in JSON. */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    /** What a connection is for, by its first request. */
    private static final AttachmentKey<ConnectionBudget.Kind> KIND = AttachmentKey.create(ConnectionBudget.Kind.class);

    /** What answers a request; it may answer later, but always on the event loop. */
    public interface Service {
        void handle(String method, String target, byte[] body, Consumer<ServerResponse> responder);
    }

    private HttpServer() {}

    public static Undertow start(
            XnioWorker worker,
            ByteBufferPool buffers,
            ConnectionBudget sockets,
            String publicAddr,
            Service users,
            String meshAddr,
            Service mesh) {
        HostAndPort open = HostAndPort.fromString(publicAddr);
        HostAndPort inner = HostAndPort.fromString(meshAddr);
        Undertow server = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) NetworkConstants.MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, NetworkConstants.IDLE_CONNECTION_MS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, 10_000)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ENABLE_CONNECTOR_STATISTICS, false)
                .addHttpListener(open.getPort(), open.getHost(), handler(users, sockets, false))
                .addHttpListener(inner.getPort(), inner.getHost(), handler(mesh, sockets, true))
                .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            server.stop(); // one of the two may have been opened
            throw e;
        }
        return server;
    }

    private static HttpHandler handler(Service service, ConnectionBudget sockets, boolean json) {
        return exchange -> {
            count(exchange, sockets, json);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (x, body) -> x.dispatch(
                                    SameThreadExecutor.INSTANCE, () -> serve(service, x, body, sockets, json)),
                            (x, e) -> {
                                LOG.debug("request not received path={} reason={}", x.getRequestPath(), e.toString());
                                x.setStatusCode(400);
                                x.setPersistent(false);
                                x.endExchange();
                            });
        };
    }

    private static void count(HttpServerExchange x, ConnectionBudget sockets, boolean json) {
        if (x.getConnection().getAttachment(KIND) == null) {
            ConnectionBudget.Kind kind = json || x.getRequestPath().equals("/ready")
                    ? ConnectionBudget.Kind.CONTROL
                    : x.getRequestPath().equals("/hello") ? ConnectionBudget.Kind.REPORTS : ConnectionBudget.Kind.USERS;
            x.getConnection().putAttachment(KIND, kind);
            sockets.opened(kind);
            x.getConnection().addCloseListener(c -> sockets.closed(kind));
        }
    }

    private static void serve(
            Service service, HttpServerExchange x, byte[] body, ConnectionBudget sockets, boolean json) {
        try {
            String query = x.getQueryString();
            String target = query.isEmpty() ? x.getRequestPath() : x.getRequestPath() + "?" + query;
            service.handle(x.getRequestMethod().toString(), target, body, a -> send(x, a, sockets, json));
        } catch (RuntimeException e) {
            LOG.error("request failed path=" + x.getRequestPath(), e);
            send(x, ServerResponse.retryLater("internal"), sockets, json);
        }
    }

    private static void send(HttpServerExchange x, ServerResponse decided, ConnectionBudget sockets, boolean json) {
        if (x.isResponseStarted()) {
            return;
        }
        if (sockets.crowded(x.getConnection().getAttachment(KIND))) {
            x.setPersistent(false); // the other side connects again when it has something to say
        }
        ServerResponse a = decided.atSending();
        x.setStatusCode(a.status());
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, json ? "application/json" : "application/cbor");
        if (a.retryAfterS() > 0) {
            x.getResponseHeaders().put(Headers.RETRY_AFTER, a.retryAfterS());
        }
        x.getResponseSender().send(ByteBuffer.wrap(Codec.write(a.body(), json)));
    }
}
