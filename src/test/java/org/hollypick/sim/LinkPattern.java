package org.hollypick.sim;

/**
 * Which links between three controllers, the key-value store and the agents of two zones are up.
 *
 * @param bits one bit for each link: controllers to the store, to the agents of each zone, and to one another
 */
record LinkPattern(int bits) {
    static final int COUNT = 1 << 12;
    private static final int CONTROLLERS = 3;
    private static final int ZONES = 2;
    private static final int FIRST_AGENT_BIT = CONTROLLERS;
    private static final int FIRST_PEER_BIT = FIRST_AGENT_BIT + ZONES * CONTROLLERS;

    static final int ALL_PEER_LINKS = 0b111 << FIRST_PEER_BIT;

    /** The links of a controller to all agents. */
    static int agentLinksOf(int controller) {
        return 0b11 << (FIRST_AGENT_BIT + ZONES * controller);
    }

    /** Which agents can be led. */
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
     * A controller that reaches the store, itself or by one peer, can lead the agents that it or a peer reaches; this
     * is what the best of them can lead.
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
