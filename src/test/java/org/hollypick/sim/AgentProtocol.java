package org.hollypick.sim;

import org.hollypick.io.Request;

/** Paths, fields and values of the agents' protocol, defined independently of the program's codecs. */
final class AgentProtocol {
    static final String HEARTBEAT = "/hello";
    static final String COMMANDS = "/commands";
    static final String INSPECT = "/inspect";

    static final String MACHINE_ID = "bothy";
    static final String ADDRESS = "addr";
    static final String MACHINE_TYPE = "flavour";
    static final String ZONE = "hall";
    static final String SPOT = "lendable";
    static final String INCARNATION = "tenure";
    static final String HEARTBEAT_SEQUENCE = "tick";
    static final String FENCING_TOKEN = "baton";
    static final String TASKS = "shards";
    static final String TASK = "shard";
    static final String ATTEMPT = "try";
    static final String STATUS = "status";
    static final String CAUSE = "cause";
    /** In the response to a heartbeat: the name of the controller to send the next heartbeat to. */
    static final String LEADER = "foreman";

    static final String COMMAND_LIST = "orders";
    static final String VERB = "verb";
    static final String LAUNCH = "launch";
    static final String KILL = "kill";
    static final String CLEAR = "clear";

    private AgentProtocol() {}

    /** Whether the request is a direct call that launches a task. */
    static boolean isLaunch(Request request) {
        return request.path().equals(COMMANDS)
                && request.body().path(COMMAND_LIST).toString().contains(LAUNCH);
    }
}
