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

    /** Watches wait for long; they have connections of their own, so that nothing waits behind them. */
    private static final String WATCH_PATH = "/watch";

    private static final String WATCH_POOL_SUFFIX = "#watch";

    private final XnioIoThread thread;
    private final Connector connector;
    private final Set<String> criticalAddresses;
    private final int maxIdleConnections;
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    /** The idle connections of all pools, the one unused for longest first. */
    private final Map<ClientConnection, ConnectionPool> idleConnections = new LinkedHashMap<>();

    private boolean capacityExhaustionLogged;

    /** {@code criticalAddresses}: services whose requests may use the connections kept for control traffic. */
    HttpClient(XnioIoThread thread, Connector connector, Set<String> criticalAddresses, int maxIdleConnections) {
        this.thread = thread;
        this.connector = connector;
        this.criticalAddresses = criticalAddresses;
        this.maxIdleConnections = maxIdleConnections;
    }

    /** Sends the request; the callback is called exactly once, as an event of its own. */
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

    /** What a connection for the request counts as. */
    ConnectionBudget.Kind kindOf(Request request) {
        return request.toPeer() || criticalAddresses.contains(request.address())
                ? ConnectionBudget.Kind.CONTROL
                : ConnectionBudget.Kind.COMMANDS;
    }

    /** Whether a new connection may be opened; closes an idle one for it if need be. Control traffic always may. */
    boolean mayConnect(ConnectionBudget.Kind kind) {
        if (!connector.budget().hasCapacity(kind)) {
            closeIdle(idleConnections.size() - 1);
        }
        return connector.budget().hasCapacity(kind) || kind == ConnectionBudget.Kind.CONTROL;
    }

    /** A connection of the pool waits for its next use. */
    void addIdle(ClientConnection connection, ConnectionPool pool) {
        idleConnections.put(connection, pool);
        closeIdle(maxIdleConnections);
    }

    /** The connection is in use again. */
    void removeIdle(ClientConnection connection) {
        idleConnections.remove(connection);
    }

    /** Machines come and go; the pools of their addresses must not pile up. */
    void removePool(ConnectionPool pool) {
        pools.remove(pool.key(), pool);
    }

    /** Logs the first request that wasn't sent for want of something in this process. */
    void logFirstCapacityExhaustion(String reason) {
        if (!capacityExhaustionLogged) {
            capacityExhaustionLogged = true;
            LOG.info("request.capacity_exhausted reason={} connections={}", reason, connector.budget());
        }
    }

    /** Closes the connections unused for longest, until at most that many are idle. */
    private void closeIdle(int remaining) {
        while (!idleConnections.isEmpty() && idleConnections.size() > remaining) {
            Map.Entry<ClientConnection, ConnectionPool> eldest =
                    idleConnections.entrySet().iterator().next();
            ClientConnection connection = eldest.getKey();
            ConnectionPool pool = eldest.getValue();
            idleConnections.remove(connection);
            pool.removeIdle(connection);
            IoUtils.safeClose(connection);
            pool.removeIfUnused();
        }
    }
}
