package org.hollypick.sim;

/** Which links between three controllers, the state service and the machines of two zones are up: twelve bits. */
record LinkPattern(int bits) {
    static final int COUNT = 1 << 12;
    private static final int NODES = 3;

    static final int ALL_PEERS = 7 << (3 * NODES);

    /** The links of a controller to all machines. */
    static int machinesOf(int node) {
        return 3 << (NODES + 2 * node);
    }

    /** What can be done with them. */
    enum Coverage {
        FULL,
        PART,
        NONE
    }

    boolean state(int node) {
        return up(node);
    }

    boolean machines(int node, String zone) {
        return up(NODES + 2 * node + (zone.equals("a") ? 0 : 1));
    }

    boolean peers(int a, int b) {
        return a == b || up(3 * NODES + a + b - 1);
    }

    private boolean up(int bit) {
        return (bits >> bit & 1) == 1;
    }

    /**
     * The plain rule: who reaches the state service, itself or by one peer, can lead the machines that it or a peer
     * reaches.
     */
    Coverage coverage() {
        Coverage best = Coverage.NONE;
        for (int x = 0; x < NODES; x++) {
            boolean state = false;
            boolean a = false;
            boolean b = false;
            for (int y = 0; y < NODES; y++) {
                state |= peers(x, y) && state(y);
                a |= peers(x, y) && machines(y, "a");
                b |= peers(x, y) && machines(y, "b");
            }
            if (state && a && b) {
                return Coverage.FULL;
            }
            best = state && (a || b) ? Coverage.PART : best;
        }
        return best;
    }

    @Override
    public String toString() {
        StringBuilder s = new StringBuilder("state ");
        for (int x = 0; x < NODES; x++) {
            s.append(state(x) ? x : "-");
        }
        s.append(" a ");
        for (int x = 0; x < NODES; x++) {
            s.append(machines(x, "a") ? x : "-");
        }
        s.append(" b ");
        for (int x = 0; x < NODES; x++) {
            s.append(machines(x, "b") ? x : "-");
        }
        return s.append(" peers ")
                .append(peers(0, 1) ? "01 " : "-- ")
                .append(peers(0, 2) ? "02 " : "-- ")
                .append(peers(1, 2) ? "12" : "--")
                .toString();
    }
}
