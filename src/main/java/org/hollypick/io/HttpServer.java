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
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.hollypick.config.constants.NetworkConstants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.XnioWorker;

/** The HTTP server of a controller: a public endpoint for users and agents (CBOR), and one for peers (JSON). */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    private static final String READINESS_PATH = "/ready";
    private static final String HEARTBEAT_PATH = "/hello";
    private static final int PARSE_TIMEOUT_MS = 10_000;

    /** The kind that a connection is counted as, determined by its first request. */
    private static final AttachmentKey<ConnectionBudget.Kind> KIND = AttachmentKey.create(ConnectionBudget.Kind.class);

    /** Handles the requests of one endpoint, on the event loop. */
    public interface Service {
        /**
         * Handles a request.
         *
         * @param target path and query
         * @param responder receives the response, during this call or later
         */
        void handle(String method, String target, byte[] body, Consumer<ServerResponse> responder);
    }

    private HttpServer() {}

    /**
     * Opens both endpoints.
     *
     * @throws RuntimeException if one of the addresses can't be bound; neither endpoint is open then
     */
    public static Undertow start(
            XnioWorker worker,
            ByteBufferPool buffers,
            ConnectionBudget budget,
            String publicAddress,
            Service publicService,
            String peerAddress,
            Service peerService) {
        HostAndPort publicEndpoint = HostAndPort.fromString(publicAddress);
        HostAndPort peerEndpoint = HostAndPort.fromString(peerAddress);
        Undertow server = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(buffers)
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) NetworkConstants.MAX_BODY_BYTES)
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, NetworkConstants.IDLE_CONNECTION_TIMEOUT_MS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, PARSE_TIMEOUT_MS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ENABLE_CONNECTOR_STATISTICS, false)
                .addHttpListener(
                        publicEndpoint.getPort(), publicEndpoint.getHost(), new Endpoint(publicService, budget, false))
                .addHttpListener(
                        peerEndpoint.getPort(), peerEndpoint.getHost(), new Endpoint(peerService, budget, true))
                .build();
        try {
            server.start();
        } catch (RuntimeException e) {
            server.stop(); // the public endpoint may already be open
            throw e;
        }
        return server;
    }

    /** Receives the requests of one endpoint and sends the service's responses. Confined to the event loop. */
    private static final class Endpoint implements HttpHandler {
        private final Service service;
        private final ConnectionBudget budget;
        private final boolean isForPeers;

        Endpoint(Service service, ConnectionBudget budget, boolean isForPeers) {
            this.service = service;
            this.budget = budget;
            this.isForPeers = isForPeers;
        }

        @Override
        public void handleRequest(HttpServerExchange exchange) {
            countConnection(exchange);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (received, body) ->
                                    received.dispatch(SameThreadExecutor.INSTANCE, () -> serve(received, body)),
                            Endpoint::receiveFailed);
        }

        /** Counts the connection in the budget, from its first request until it is closed. */
        private void countConnection(HttpServerExchange exchange) {
            if (exchange.getConnection().getAttachment(KIND) != null) {
                return;
            }
            ConnectionBudget.Kind kind = kindOf(exchange.getRequestPath());
            exchange.getConnection().putAttachment(KIND, kind);
            budget.opened(kind);
            exchange.getConnection().addCloseListener(closed -> budget.closed(kind));
        }

        private ConnectionBudget.Kind kindOf(String path) {
            if (isForPeers || path.equals(READINESS_PATH)) {
                return ConnectionBudget.Kind.CONTROL;
            }
            return path.equals(HEARTBEAT_PATH) ? ConnectionBudget.Kind.HEARTBEATS : ConnectionBudget.Kind.USERS;
        }

        private static void receiveFailed(HttpServerExchange exchange, IOException cause) {
            LOG.debug("request.receive_failed path={} reason={}", exchange.getRequestPath(), cause.toString());
            exchange.setStatusCode(StatusCodes.BAD_REQUEST);
            exchange.setPersistent(false);
            exchange.endExchange();
        }

        private void serve(HttpServerExchange exchange, byte[] body) {
            String path = exchange.getRequestPath();
            try {
                String query = exchange.getQueryString();
                String target = query.isEmpty() ? path : path + "?" + query;
                service.handle(
                        exchange.getRequestMethod().toString(), target, body, response -> send(exchange, response));
            } catch (RuntimeException e) {
                LOG.error("request.failed path=" + path, e);
                send(exchange, ServerResponse.retryLater("internal"));
            }
        }

        private void send(HttpServerExchange exchange, ServerResponse handlerResponse) {
            if (exchange.isResponseStarted()) {
                return;
            }
            if (budget.shouldCloseAfterResponse(exchange.getConnection().getAttachment(KIND))) {
                exchange.setPersistent(false); // the sender opens a new connection for its next request
            }
            ServerResponse response = handlerResponse.orRefusalIfInvalid();
            exchange.setStatusCode(response.status());
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, Codec.contentType(isForPeers));
            if (response.retryAfterS() > 0) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, response.retryAfterS());
            }
            exchange.getResponseSender().send(ByteBuffer.wrap(Codec.write(response.body(), isForPeers)));
        }
    }
}
