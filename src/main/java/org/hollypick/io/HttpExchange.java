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

/** A request and its response, or its failure; finishes exactly once. Confined to the event loop. */
final class HttpExchange implements Connector.Listener {
    private final HttpClient client;
    private final ConnectionPool pool;
    private final Request request;
    private final Consumer<Response> callback;
    private XnioExecutor.Key timeout;
    /** The connection attempt; null if none was made. */
    private IoFuture<StreamConnection> attempt;
    /** The connection that the request is sent over; null until there is one. */
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

    /**
     * Called when the timeout expires. An exchange that is still queued fails; any other fails after a grace period, in
     * which a response that arrived while this process was paused can still be read.
     */
    private void timedOut() {
        if (!isStarted) {
            failForLackOfCapacity("timed out in the queue for a connection to " + request.address());
        } else if (!isInGracePeriod) {
            isInGracePeriod = true;
            scheduleTimeout(NetworkConstants.TIMEOUT_GRACE_MS);
        } else {
            fail();
        }
    }

    // ---- completion ----

    private void fail() {
        fail(isSent ? Response.noResponse() : Response.notSent());
    }

    /** Fails the exchange with {@link Response.Failure#NO_CAPACITY} and logs the reason of the first such failure. */
    void failForLackOfCapacity(String reason) {
        client.logFirstCapacityExhaustion(reason);
        fail(Response.noCapacity());
    }

    /** Fails the exchange and closes its connection. */
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
            attempt.cancel(); // an attempt to connect to an unreachable address holds its socket for minutes
        }
        if (isStarted) {
            pool.release(isConnectionReusable ? connection : null);
        }
        // A separate task: the callback must never run inside the sender's call.
        client.thread().execute(XnioEventLoop.guarded(() -> callback.accept(response)));
    }

    // ---- connection ----

    /** Marks the exchange as started: the pool counts it as in flight until it finishes. */
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
            // The other system can only refuse a connection; any other error is caused by this one.
            failForLackOfCapacity(cause.toString());
        }
    }

    // ---- request and response ----

    void sendOver(ClientConnection openConnection) {
        connection = openConnection;
        if (!request.validWhile().getAsBoolean()) {
            fail(Response.notSent());
            return;
        }
        isSent = true;
        byte[] body = request.body() == null ? null : Codec.write(request.body(), request.toPeer());
        openConnection.sendRequest(clientRequest(body), new ClientCallback<>() {
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
                new BodyReader(body -> responseReceived(status, body), HttpExchange.this::fail)
                        .read(exchange.getResponseChannel());
            }

            @Override
            public void failed(IOException cause) {
                fail();
            }
        };
    }

    private void responseReceived(int status, byte[] body) {
        JsonNode tree = Codec.read(body, request.toPeer());
        finish(new Response(status, tree == null ? MissingNode.getInstance() : tree), true);
    }
}
