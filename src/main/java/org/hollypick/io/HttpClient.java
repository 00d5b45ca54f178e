package org.hollypick.io;

import io.undertow.client.ClientConnection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.XnioIoThread;

/** Sends requests over pooled connections. Confined to the event loop. */
final class HttpClient {
    private static final Logger LOG = LoggerFactory.getLogger(HttpClient.class);

    /** Requests for a watch, which take long: separate connections keep other requests from waiting for them. */
    private static final String WATCH_PATH = "/watch";

    /** Appended to an address to form the key of the pool for watches. */
    private static final String WATCH_POOL_SUFFIX = "#watch";

    private final XnioIoThread thread;
    private final Connector connector;
    private final Set<String> criticalAddresses;
    private final int maxIdleConnections;
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    /** The idle connections of all pools, least recently used first. */
    private final Map<ClientConnection, ConnectionPool> idleConnections = new LinkedHashMap<>();

    private boolean capacityExhaustionLogged;

    /** {@code criticalAddresses}: services whose connections count as {@link ConnectionBudget.Kind#CONTROL}. */
    HttpClient(XnioIoThread thread, Connector connector, Set<String> criticalAddresses, int maxIdleConnections) {
        this.thread = thread;
        this.connector = connector;
        this.criticalAddresses = criticalAddresses;
        this.maxIdleConnections = maxIdleConnections;
    }

    /** Sends a request; the callback runs exactly once, as a separate task of the event loop. */
    void send(Request request, Consumer<Response> callback) {
        String key = request.path().startsWith(WATCH_PATH) ? request.address() + WATCH_POOL_SUFFIX : request.address();
        ConnectionPool pool = pools.computeIfAbsent(key, absent -> new ConnectionPool(this, absent));
        pool.submit(new HttpExchange(this, pool, request, callback));
    }

    XnioIoThread thread() {
        return thread;
    }

    Connector connector() {
        return connector;
    }

    /** The kind that a connection for the request is counted as. */
    ConnectionBudget.Kind kindOf(Request request) {
        return request.toPeer() || criticalAddresses.contains(request.address())
                ? ConnectionBudget.Kind.CONTROL
                : ConnectionBudget.Kind.COMMANDS;
    }

    /**
     * Whether a new connection may be opened; closes an idle one first if the budget has no capacity left. Connections
     * for control traffic may always be opened.
     */
    boolean mayConnect(ConnectionBudget.Kind kind) {
        if (!connector.budget().hasCapacity(kind)) {
            closeIdle(idleConnections.size() - 1);
        }
        return connector.budget().hasCapacity(kind) || kind == ConnectionBudget.Kind.CONTROL;
    }

    /** Adds an idle connection of the pool, closing the least recently used ones if there are too many. */
    void addIdle(ClientConnection connection, ConnectionPool pool) {
        idleConnections.put(connection, pool);
        closeIdle(maxIdleConnections);
    }

    /** Removes a connection that is in use again. */
    void removeIdle(ClientConnection connection) {
        idleConnections.remove(connection);
    }

    /** Removes an unused pool: the addresses of machines change, and unused pools would accumulate. */
    void removePool(ConnectionPool pool) {
        pools.remove(pool.key(), pool);
    }

    /** Logs the first request that was not sent because this process lacked capacity; later ones are not logged. */
    void logFirstCapacityExhaustion(String reason) {
        if (!capacityExhaustionLogged) {
            capacityExhaustionLogged = true;
            LOG.info("request.capacity_exhausted reason={} connections={}", reason, connector.budget());
        }
    }

    /** Closes the least recently used idle connections until at most {@code remaining} are left. */
    private void closeIdle(int remaining) {
        while (!idleConnections.isEmpty() && idleConnections.size() > remaining) {
            Map.Entry<ClientConnection, ConnectionPool> leastRecentlyUsed =
                    idleConnections.entrySet().iterator().next();
            ClientConnection connection = leastRecentlyUsed.getKey();
            ConnectionPool pool = leastRecentlyUsed.getValue();
            idleConnections.remove(connection);
            pool.removeIdle(connection);
            IoUtils.safeClose(connection);
            pool.removeIfUnused();
        }
    }
}
