package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import org.hollypick.io.Request;

/**
 * Checks that only the leader named in the store's leader record sends commands to agents and changes machines, and
 * that tasks are launched in responses to heartbeats only under its fencing token.
 */
final class LeadershipChecker {
    /** Key of the leader record. */
    static final String LEADER_KEY = "h/roster";
    /** Field of the leader record: the leader's name. */
    private static final String LEADER_NAME = "leader";
    /** Field of the leader record: the revision of the leader's membership. */
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

    /** The revision at which the current leader record was written. */
    long fencingToken() {
        return store.revisionOf(LEADER_KEY);
    }

    /** Checks a request that a controller sends now: commands and changes of machines may come from the leader only. */
    void requestSent(String controller, Request request) {
        boolean isCommand = request.path().equals(AgentProtocol.COMMANDS)
                || (request.path().startsWith(CloudProtocol.MACHINES)
                        && request.method().equals("POST"));
        if (isCommand && !controller.equals(leaderName())) {
            checker.violations.add("without_right " + controller + " at " + world.now);
        }
    }

    /**
     * Checks a response to a heartbeat that launches a task under a fencing token: a revision of the store, at which a
     * leader record was in force. Any controller may relay the leader's response, but only while the store still names
     * that leader with the same membership.
     */
    void launchSent(String controller, long fencingToken) {
        JsonNode recordOfToken = store.valueAt(LEADER_KEY, fencingToken);
        JsonNode currentRecord = store.valueOf(LEADER_KEY);
        if (recordOfToken == null
                || !recordOfToken.path(LEADER_NAME).equals(currentRecord.path(LEADER_NAME))
                || !recordOfToken.path(LEADER_MEMBERSHIP).equals(currentRecord.path(LEADER_MEMBERSHIP))) {
            checker.violations.add("answered_without_right " + controller + " at " + world.now);
        }
    }
}
