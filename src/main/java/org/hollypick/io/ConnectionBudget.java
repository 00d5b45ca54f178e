package org.hollypick.io;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.hollypick.config.constants.NetworkConstants;

/**
 * Counts the open connections of this process by kind and decides which may be opened. Each kind has a reserve that the
 * other kinds don't use; the sockets beyond all reserves are allotted first come, first served (docs/scaling.md). Opens
 * and closes no connections itself. Confined to the event loop.
 */
public final class ConnectionBudget {
    /** The purpose of a connection. */
    public enum Kind {
        /** Requests to the store, the cloud and peers; requests from peers and readiness checks. */
        CONTROL,
        /** Commands to agents. */
        COMMANDS,
        /** Heartbeats from agents. */
        HEARTBEATS,
        /** Requests from users. */
        USERS
    }

    /** The most connections that may be open at once. */
    private final int limit;

    private final Map<Kind, Integer> reserves = new EnumMap<>(Kind.class);
    private final Map<Kind, Integer> open = new EnumMap<>(Kind.class);
    /** The most connections of each kind that were open at once. */
    private final Map<Kind, Integer> peak = new EnumMap<>(Kind.class);

    /** {@code sockets}: the sockets that this process may have open. */
    public ConnectionBudget(int sockets) {
        limit = (int) (sockets * NetworkConstants.USABLE_SOCKET_SHARE);
        reserves.put(Kind.CONTROL, Math.max(NetworkConstants.MIN_CONTROL_SOCKETS, (int)
                (sockets * NetworkConstants.CONTROL_SOCKET_SHARE)));
        reserves.put(Kind.COMMANDS, (int) (sockets * NetworkConstants.COMMAND_SOCKET_SHARE));
        reserves.put(Kind.HEARTBEATS, (int) (sockets * NetworkConstants.HEARTBEAT_SOCKET_SHARE));
        reserves.put(Kind.USERS, (int) (sockets * NetworkConstants.USER_SOCKET_SHARE));
        for (Kind kind : Kind.values()) {
            open.put(kind, 0);
            peak.put(kind, 0);
        }
    }

    /** Counts a connection that was opened. */
    public void opened(Kind kind) {
        int openNow = open.merge(kind, 1, Integer::sum);
        peak.merge(kind, openNow, Math::max);
    }

    /** Counts a connection that was closed. */
    public void closed(Kind kind) {
        open.merge(kind, -1, Integer::sum);
    }

    /** The number of open connections of the given kind. */
    public int open(Kind kind) {
        return open.get(kind);
    }

    /** The free connections beyond all reserves; negative while some kinds use the reserves of others. */
    private int unreservedCapacity() {
        int unreserved = limit;
        for (Kind kind : Kind.values()) {
            unreserved -= Math.max(open.get(kind), reserves.get(kind));
        }
        return unreserved;
    }

    /** Whether a connection of the given kind can be opened without using the reserve of another kind. */
    public boolean hasCapacity(Kind kind) {
        return open.get(kind) < reserves.get(kind) || unreservedCapacity() > 0;
    }

    /**
     * Whether a connection of the given kind should be closed after its response: the kind exceeds its reserve and uses
     * the reserve of another.
     */
    public boolean shouldCloseAfterResponse(Kind kind) {
        return open.get(kind) > reserves.get(kind) && unreservedCapacity() < 0;
    }

    /** Formats the limit and, for each kind, open connections, peak and reserve, for the log. */
    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("limit=" + limit);
        for (Kind kind : Kind.values()) {
            text.append(' ')
                    .append(kind.name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(open.get(kind))
                    .append('/')
                    .append(peak.get(kind))
                    .append('/')
                    .append(reserves.get(kind));
        }
        return text.toString();
    }
}
