package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;

/** Runs the handling of a controller's request and measures it. */
interface RequestMetering {
    void run(String controller, String activity, Runnable handling);

    /** The activity that a request of a user or an agent belongs to. */
    static String activity(String path, JsonNode body) {
        if (path.equals(AgentProtocol.HEARTBEAT)) {
            return "reports";
        }
        if (path.startsWith(UserProtocol.SUBMISSIONS)) {
            return body == null ? "polls" : "submissions";
        }
        return path;
    }
}
