package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import org.hollypick.io.Request;

/** Checks that only the leader which the store names commands agents, changes machines and answers heartbeats. */
final class LeadershipChecker {
    static final String LEADER_KEY = "h/roster";
    private static final String LEADER_NAME = "leader";
    /** Revision of the leader's membership. */
    private static final String LEADER_MEMBERSHIP = "member";

    private final SimulatedWorld world;
    private final FakeKeyValueStore store;
    private final InvariantChecker checker;

    LeadershipChecker(SimulatedWorld world, FakeKeyValueStore store, InvariantChecker checker) {
        this.world = world;
        this.store = store;
        this.checker = checker;
    }

    boolean hasLeader() {
        return store.valueOf(LEADER_KEY) != null;
    }

    String leaderName() {
        return store.valueOf(LEADER_KEY).path(LEADER_NAME).asText();
    }

    /** The revision at which the present leader record was written. */
    long fencingToken() {
        return store.revisionOf(LEADER_KEY);
    }

    /** A controller sends a request: at this moment it must be the leader if the request commands anything. */
    void requestSent(String controller, Request request) {
        boolean isCommand = request.path().equals(AgentProtocol.COMMANDS)
                || (request.path().startsWith(CloudProtocol.MACHINES)
                        && request.method().equals("POST"));
        if (isCommand && !controller.equals(leaderName())) {
            checker.violations.add("without_right " + controller + " at " + world.now);
        }
    }

    /**
     * A controller answers a heartbeat with a launch under a fencing token. Any controller may relay what the leader
     * answers, but only while that one is the leader.
     */
    void launchSent(String controller, long fencingToken) {
        JsonNode then = store.valueWrittenAt(LEADER_KEY, fencingToken);
        JsonNode now = store.valueOf(LEADER_KEY);
        if (then == null
                || !then.path(LEADER_NAME).equals(now.path(LEADER_NAME))
                || !then.path(LEADER_MEMBERSHIP).equals(now.path(LEADER_MEMBERSHIP))) {
            checker.violations.add("answered_without_right " + controller + " at " + world.now);
        }
    }
}
