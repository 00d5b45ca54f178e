package org.hollypick.control.machines;

import org.hollypick.core.Scheduler;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies restarts of agents that the responses to direct calls show (docs/safety.md, "Copies of answered requests").
 * Confined to the event loop.
 */
final class AgentRestartHandler {
    private static final Logger LOG = LoggerFactory.getLogger(AgentRestartHandler.class);

    private final Scheduler scheduler;

    AgentRestartHandler(Scheduler scheduler) {
        this.scheduler = scheduler;
    }

    /**
     * Applies the state of a restarted agent. Unless the call alone carried the token that the agent shows, late
     * heartbeats from before the restart might pass for newer ones, and the agent is checked again under a newer token.
     */
    void agentRestarted(DirectCall call, Heartbeat heartbeat, long now) {
        Machine machine = call.machine();
        boolean fenced = call.aloneCarriedTokenOf(heartbeat);
        logRestart(call, heartbeat, fenced);
        if (fenced) {
            scheduler.heartbeats().applyFencedRestart(machine, heartbeat, now);
            machine.restartCheck.completed();
        } else {
            scheduler.heartbeats().applyAgentRestart(machine, heartbeat, now);
            machine.restartCheck.request(heartbeat.incarnation());
        }
    }

    private static void logRestart(DirectCall call, Heartbeat heartbeat, boolean fenced) {
        DirectCall.HeartbeatNumber known = call.newestKnown().orElseThrow();
        LOG.info(
                "agent.restarted machine={} incarnation={} sequence={} known_incarnation={} known_sequence={} fenced={}",
                call.machine().id,
                heartbeat.incarnation(),
                heartbeat.sequence(),
                known.incarnation(),
                known.sequence(),
                fenced);
    }
}
