package org.hollypick.io;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import org.hollypick.config.constants.NetworkConstants;
import org.xnio.IoUtils;

/** The connections to one address, and the requests that wait for one. Confined to the event loop. */
final class ConnectionPool {
    private final HttpClient client;
    private final String key;
    private final ArrayDeque<ClientConnection> idle = new ArrayDeque<>();
    private final ArrayDeque<HttpExchange> waiting = new ArrayDeque<>();
    private int exchangesInFlight;

    ConnectionPool(HttpClient client, String key) {
        this.client = client;
        this.key = key;
    }

    String key() {
        return key;
    }

    /** Starts the exchange, now or once a connection is free; its timeout runs from now. */
    void submit(HttpExchange exchange) {
        exchange.startTimeout();
        if (exchangesInFlight < NetworkConstants.CONNECTIONS_PER_ADDRESS) {
            start(exchange);
        } else if (waiting.size() < NetworkConstants.QUEUED_PER_ADDRESS) {
            waiting.add(exchange);
        } else {
            exchange.fail(Response.notSent());
        }
    }

    private void start(HttpExchange exchange) {
        exchangesInFlight++;
        exchange.markStarted();
        ClientConnection connection;
        while ((connection = idle.pollLast()) != null) {
            client.removeIdle(connection);
            if (connection.isOpen()) {
                exchange.sendOver(connection);
                return;
            }
            IoUtils.safeClose(connection);
        }
        if (client.mayConnect(exchange.kind())) {
            exchange.connect();
        } else {
            exchange.failForLackOfCapacity("no socket left");
        }
    }

    /**
     * An exchange that was started has ended. {@code reusable}: its connection, if that can serve the next; or null.
     */
    void release(ClientConnection reusable) {
        exchangesInFlight--;
        if (reusable != null && reusable.isOpen()) {
            idle.add(reusable);
            client.addIdle(reusable, this);
        }
        HttpExchange next;
        while (exchangesInFlight < NetworkConstants.CONNECTIONS_PER_ADDRESS && (next = waiting.poll()) != null) {
            if (!next.isFinished()) {
                start(next);
            }
        }
        removeIfUnused();
    }

    /** An idle connection is about to be closed. */
    void removeIdle(ClientConnection connection) {
        idle.remove(connection);
    }

    void removeIfUnused() {
        if (exchangesInFlight == 0 && idle.isEmpty() && waiting.isEmpty()) {
            client.removePool(this);
        }
    }
}
