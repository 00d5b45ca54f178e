package org.hollypick.control.machines;

import java.util.List;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each command to an agent, at level debug, with the state that allows it. */
final class CommandLog {
    private static final Logger LOG = LoggerFactory.getLogger(CommandLog.class);

    /** How commands reach an agent. */
    enum Route {
        DIRECT_CALL,
        HEARTBEAT_RESPONSE
    }

    private CommandLog() {}

    /** Logs the commands of one message. */
    static void commandsSent(Machine machine, List<Command> commands, Route route) {
        if (!LOG.isDebugEnabled()) {
            return;
        }
        for (Command command : commands) {
            Assignment assignment = machine.assignmentOf(command.task(), command.attempt());
            LOG.debug(
                    "command.sent verb={} task={} attempt={} machine={} token={} incarnation={} route={} state={} stop_requested={} launch_token={} seen_token={}",
                    command.verb(),
                    command.task(),
                    command.attempt(),
                    machine.id,
                    machine.tokens.sent(),
                    machine.incarnation(),
                    route,
                    assignment == null ? "NOT_ASSIGNED" : assignment.state(),
                    assignment != null && assignment.stopRequested(),
                    assignment == null ? 0 : assignment.directLaunchToken(),
                    machine.tokens.seen());
        }
    }
}
