package org.hollypick.io;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.hollypick.config.constants.NetworkConstants;

/**
 * The open connections of this node by what they are for. Each kind has a floor that the others leave it; what lies
 * above the floors is for whoever comes first, up to the limit of sockets (docs/many-machines.md). Pure counting, on
 * the event loop.
 */
public final class ConnectionBudget {
    /** What a connection is for. */
    public enum Kind {
        CONTROL,
        ORDERS,
        REPORTS,
        USERS
    }

    private final int limit;
    private final Map<Kind, Integer> floors = new EnumMap<>(Kind.class);
    private final Map<Kind, Integer> open = new EnumMap<>(Kind.class);
    private final Map<Kind, Integer> most = new EnumMap<>(Kind.class);

    public ConnectionBudget(int sockets) {
        limit = (int) (sockets * NetworkConstants.USABLE_SOCKET_SHARE);
        floors.put(Kind.CONTROL, Math.max(NetworkConstants.MIN_CONTROL_SOCKETS, (int)
                (sockets * NetworkConstants.CONTROL_SOCKET_SHARE)));
        floors.put(Kind.ORDERS, (int) (sockets * NetworkConstants.COMMAND_SOCKET_SHARE));
        floors.put(Kind.REPORTS, (int) (sockets * NetworkConstants.HEARTBEAT_SOCKET_SHARE));
        floors.put(Kind.USERS, (int) (sockets * NetworkConstants.USER_SOCKET_SHARE));
        for (Kind k : Kind.values()) {
            open.put(k, 0);
            most.put(k, 0);
        }
    }

    public void opened(Kind kind) {
        int now = open.merge(kind, 1, Integer::sum);
        most.merge(kind, now, Math::max);
    }

    public void closed(Kind kind) {
        open.merge(kind, -1, Integer::sum);
    }

    public int open(Kind kind) {
        return open.get(kind);
    }

    /** What is left when every kind has at least its floor; negative while some kinds hold what others are owed. */
    private int spare() {
        int spare = limit;
        for (Kind k : Kind.values()) {
            spare -= Math.max(open.get(k), floors.get(k));
        }
        return spare;
    }

    /** Whether one more connection of that kind leaves the others theirs. */
    public boolean room(Kind kind) {
        return open.get(kind) < floors.get(kind) || spare() > 0;
    }

    /** Whether a connection of that kind should be closed after its answer. */
    public boolean crowded(Kind kind) {
        return open.get(kind) > floors.get(kind) && spare() < 0;
    }

    /** For the log: open now, most so far, and floor of each kind. */
    @Override
    public String toString() {
        StringBuilder s = new StringBuilder("limit=" + limit);
        for (Kind k : Kind.values()) {
            s.append(' ')
                    .append(k.name().toLowerCase(Locale.ROOT))
                    .append('=')
                    .append(open.get(k))
                    .append('/')
                    .append(most.get(k))
                    .append('/')
                    .append(floors.get(k));
        }
        return s.toString();
    }
}
