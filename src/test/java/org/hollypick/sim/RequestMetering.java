package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;

/** Runs the handling of a request by a controller and may measure it. */
interface RequestMetering {
    void run(String controller, String activity, Runnable handling);

    /** The activity under which the handling of a user's or an agent's request is measured. */
    static String activity(String path, JsonNode body) {
        if (path.equals(AgentProtocol.HEARTBEAT)) {
            return "heartbeats";
        }
        if (path.startsWith(UserProtocol.SUBMISSIONS)) {
            return body == null ? "polls" : "submissions";
        }
        return path;
    }
}
