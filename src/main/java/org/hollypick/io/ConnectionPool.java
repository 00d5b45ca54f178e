package org.hollypick.io;

import io.undertow.client.ClientConnection;
import java.util.ArrayDeque;
import org.hollypick.config.constants.NetworkConstants;
import org.xnio.IoUtils;

/** The connections to one address and the queue of exchanges that wait for one. Confined to the event loop. */
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

    /** Starts the exchange, or queues it until a connection is free. The timeout includes the time in the queue. */
    void submit(HttpExchange exchange) {
        exchange.startTimeout();
        if (exchangesInFlight < NetworkConstants.MAX_CONNECTIONS_PER_ADDRESS) {
            start(exchange);
        } else if (waiting.size() < NetworkConstants.MAX_QUEUED_REQUESTS_PER_ADDRESS) {
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
            exchange.failForLackOfCapacity("no free socket");
        }
    }

    /**
     * Ends a started exchange: keeps its connection for reuse and starts exchanges from the queue.
     *
     * @param reusable the connection of the exchange; null if there is none that can be reused
     */
    void release(ClientConnection reusable) {
        exchangesInFlight--;
        if (reusable != null && reusable.isOpen()) {
            idle.add(reusable);
            client.addIdle(reusable, this);
        }
        HttpExchange next;
        while (exchangesInFlight < NetworkConstants.MAX_CONNECTIONS_PER_ADDRESS && (next = waiting.poll()) != null) {
            if (!next.isFinished()) {
                start(next);
            }
        }
        removeIfUnused();
    }

    /** Removes an idle connection that is about to be closed. */
    void removeIdle(ClientConnection connection) {
        idle.remove(connection);
    }

    /** Removes this pool from the client if it has no connections and no exchanges. */
    void removeIfUnused() {
        if (exchangesInFlight == 0 && idle.isEmpty() && waiting.isEmpty()) {
            client.removePool(this);
        }
    }
}
