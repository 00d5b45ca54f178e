package org.hollypick.io;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hollypick.config.constants.NetworkConstants;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;

/** One request and its response; finishes exactly once. Confined to the event loop. */
final class HttpExchange implements Connector.Listener {
    private final HttpClient client;
    private final ConnectionPool pool;
    private final Request request;
    private final Consumer<Response> callback;
    private XnioExecutor.Key timeout;
    /** The attempt to connect; null if there was none. */
    private IoFuture<StreamConnection> attempt;
    /** The connection that the request is sent over; null until then. */
    private ClientConnection connection;

    private boolean isStarted;
    private boolean isSent;
    private boolean isInGracePeriod;
    private boolean isFinished;

    HttpExchange(HttpClient client, ConnectionPool pool, Request request, Consumer<Response> callback) {
        this.client = client;
        this.pool = pool;
        this.request = request;
        this.callback = callback;
    }

    ConnectionBudget.Kind kind() {
        return client.kindOf(request);
    }

    boolean isFinished() {
        return isFinished;
    }

    // ---- timeout ----

    void startTimeout() {
        scheduleTimeout(request.timeoutMs());
    }

    private void scheduleTimeout(long millis) {
        timeout = client.thread().executeAfter(XnioEventLoop.guarded(this::timedOut), millis, TimeUnit.MILLISECONDS);
    }

    /** If this process was held up, what has arrived meanwhile is read before the timeout counts. */
    private void timedOut() {
        if (!isStarted) {
            failForLackOfCapacity("waited for other calls to " + request.address());
        } else if (!isInGracePeriod) {
            isInGracePeriod = true;
            scheduleTimeout(NetworkConstants.TIMEOUT_GRACE_MS);
        } else {
            fail();
        }
    }

    // ---- end ----

    private void fail() {
        fail(isSent ? Response.noResponse() : Response.notSent());
    }

    /** Ends the exchange as one that wasn't sent for want of something in this process. */
    void failForLackOfCapacity(String reason) {
        client.logFirstCapacityExhaustion(reason);
        fail(Response.noCapacity());
    }

    /** Ends the exchange with a failure; its connection is closed. */
    void fail(Response failure) {
        finish(failure, false);
    }

    private void finish(Response response, boolean isConnectionReusable) {
        if (isFinished) {
            return;
        }
        isFinished = true;
        timeout.remove();
        if (!isConnectionReusable && connection != null) {
            IoUtils.safeClose(connection);
        }
        if (attempt != null && connection == null) {
            attempt.cancel(); // to an unreachable address it would hold its socket for minutes
        }
        if (isStarted) {
            pool.release(isConnectionReusable ? connection : null);
        }
        // Never inside the sender's own call: responses always come as events of their own.
        client.thread().execute(XnioEventLoop.guarded(() -> callback.accept(response)));
    }

    // ---- connection ----

    /** The exchange counts as one of the pool's exchanges in flight from now on. */
    void markStarted() {
        isStarted = true;
    }

    void connect() {
        attempt = client.connector().connect(request.address(), kind(), this);
    }

    @Override
    public void connected(ClientConnection opened) {
        if (isFinished) {
            IoUtils.safeClose(opened);
        } else {
            sendOver(opened);
        }
    }

    @Override
    public void connectFailed(IOException cause) {
        if (cause instanceof ConnectException || isFinished) {
            fail();
        } else {
            failForLackOfCapacity(cause.toString()); // the other side can only refuse; the rest is this system's own
        }
    }

    // ---- request and response ----

    void sendOver(ClientConnection open) {
        connection = open;
        if (!request.validWhile().getAsBoolean()) {
            fail(Response.notSent());
            return;
        }
        isSent = true;
        byte[] body = request.body() == null ? null : Codec.write(request.body(), request.toPeer());
        open.sendRequest(clientRequest(body), new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                exchange.setResponseListener(responseListener());
                if (body != null) {
                    BodyWriter.write(exchange.getRequestChannel(), ByteBuffer.wrap(body), HttpExchange.this::fail);
                }
            }

            @Override
            public void failed(IOException cause) {
                fail();
            }
        });
    }

    /** {@code body}: null for a request without one. */
    private ClientRequest clientRequest(byte[] body) {
        ClientRequest clientRequest =
                new ClientRequest().setMethod(new HttpString(request.method())).setPath(request.path());
        clientRequest.getRequestHeaders().put(Headers.HOST, request.address());
        if (body != null) {
            clientRequest
                    .getRequestHeaders()
                    .put(Headers.CONTENT_TYPE, Codec.contentType(request.toPeer()))
                    .put(Headers.CONTENT_LENGTH, body.length);
        }
        return clientRequest;
    }

    private ClientCallback<ClientExchange> responseListener() {
        return new ClientCallback<>() {
            @Override
            public void completed(ClientExchange exchange) {
                int status = exchange.getResponse().getResponseCode();
                new BodyReader(body -> received(status, body), HttpExchange.this::fail)
                        .read(exchange.getResponseChannel());
            }

            @Override
            public void failed(IOException cause) {
                fail();
            }
        };
    }

    private void received(int status, byte[] body) {
        JsonNode tree = Codec.read(body, request.toPeer());
        finish(new Response(status, tree == null ? MissingNode.getInstance() : tree), true);
    }
}
