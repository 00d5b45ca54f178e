package org.hollypick.io;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.hollypick.config.constants.NetworkConstants;

/**
 * Counts the open connections of this process by what they are for. Each kind has a reserve that the others leave to
 * it; what lies beyond the reserves goes to whoever comes first, up to the limit of sockets (docs/scaling.md). Pure
 * counting. Confined to the event loop.
 */
public final class ConnectionBudget {
    /** What a connection is for. */
    public enum Kind {
        /** Requests to the store, the cloud and peers; requests of peers and health checks. */
        CONTROL,
        /** Commands to agents. */
        COMMANDS,
        /** Heartbeats of agents. */
        HEARTBEATS,
        /** Requests of users. */
        USERS
    }

    private final int limit;
    private final Map<Kind, Integer> reserves = new EnumMap<>(Kind.class);
    private final Map<Kind, Integer> open = new EnumMap<>(Kind.class);
    /** The most connections that were open at once. */
    private final Map<Kind, Integer> peak = new EnumMap<>(Kind.class);

    /** Shares out that many sockets. */
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

    /** A connection of that kind was opened. */
    public void opened(Kind kind) {
        int openNow = open.merge(kind, 1, Integer::sum);
        peak.merge(kind, openNow, Math::max);
    }

    /** A connection of that kind was closed. */
    public void closed(Kind kind) {
        open.merge(kind, -1, Integer::sum);
    }

    /** How many connections of that kind are open. */
    public int open(Kind kind) {
        return open.get(kind);
    }

    /** What is left when every kind has at least its reserve; negative while some kinds hold others' reserves. */
    private int unreservedCapacity() {
        int spare = limit;
        for (Kind kind : Kind.values()) {
            spare -= Math.max(open.get(kind), reserves.get(kind));
        }
        return spare;
    }

    /** Whether one more connection of that kind leaves the others their reserves. */
    public boolean hasCapacity(Kind kind) {
        return open.get(kind) < reserves.get(kind) || unreservedCapacity() > 0;
    }

    /** Whether a connection of that kind should be closed after its answer. */
    public boolean shouldCloseAfterResponse(Kind kind) {
        return open.get(kind) > reserves.get(kind) && unreservedCapacity() < 0;
    }

    /** For the log: open now, peak and reserve of each kind. */
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
