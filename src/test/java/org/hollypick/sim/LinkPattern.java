package org.hollypick.sim;

/**
 * Which links between three controllers, the key-value store and the agents of two zones are up.
 *
 * @param bits one bit per link, set if it is up; from the lowest: from each controller to the store, from each
 *     controller to the agents of each zone, and between each two controllers
 */
record LinkPattern(int bits) {
    /** Number of different patterns. */
    static final int COUNT = 1 << 12;

    private static final int CONTROLLERS = 3;
    private static final int ZONES = 2;
    private static final int FIRST_AGENT_BIT = CONTROLLERS;
    private static final int FIRST_PEER_BIT = FIRST_AGENT_BIT + ZONES * CONTROLLERS;

    /** The bits of all links between controllers. */
    static final int ALL_PEER_LINKS = 0b111 << FIRST_PEER_BIT;

    /** The bits of a controller's links to the agents of both zones. */
    static int agentLinksOf(int controller) {
        return 0b11 << (FIRST_AGENT_BIT + ZONES * controller);
    }

    /** The agents that a leader can manage: those of both zones, of one zone, or none. */
    enum Coverage {
        FULL,
        PARTIAL,
        NONE
    }

    boolean reachesStore(int controller) {
        return isUp(controller);
    }

    boolean reachesAgents(int controller, String zone) {
        return isUp(FIRST_AGENT_BIT + ZONES * controller + (zone.equals("a") ? 0 : 1));
    }

    boolean reachesPeer(int controller, int peer) {
        return controller == peer || isUp(FIRST_PEER_BIT + controller + peer - 1);
    }

    private boolean isUp(int bit) {
        return (bits >> bit & 1) == 1;
    }

    /**
     * The coverage of the controller that can manage the most agents. A controller that reaches the store, directly or
     * through one peer, can manage the agents that it or one of its reachable peers reaches.
     */
    Coverage coverage() {
        Coverage best = Coverage.NONE;
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            Coverage coverage = coverageBy(controller);
            best = coverage.compareTo(best) < 0 ? coverage : best;
        }
        return best;
    }

    private Coverage coverageBy(int controller) {
        boolean hasStore = false;
        boolean hasZoneA = false;
        boolean hasZoneB = false;
        for (int relay = 0; relay < CONTROLLERS; relay++) {
            if (reachesPeer(controller, relay)) {
                hasStore |= reachesStore(relay);
                hasZoneA |= reachesAgents(relay, "a");
                hasZoneB |= reachesAgents(relay, "b");
            }
        }
        if (!hasStore || (!hasZoneA && !hasZoneB)) {
            return Coverage.NONE;
        }
        return hasZoneA && hasZoneB ? Coverage.FULL : Coverage.PARTIAL;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder("state ");
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            text.append(reachesStore(controller) ? controller : "-");
        }
        for (String zone : ClusterScenario.ZONES) {
            text.append(' ').append(zone).append(' ');
            for (int controller = 0; controller < CONTROLLERS; controller++) {
                text.append(reachesAgents(controller, zone) ? controller : "-");
            }
        }
        return text.append(" peers ")
                .append(reachesPeer(0, 1) ? "01 " : "-- ")
                .append(reachesPeer(0, 2) ? "02 " : "-- ")
                .append(reachesPeer(1, 2) ? "12" : "--")
                .toString();
    }
}
