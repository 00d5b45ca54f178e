package org.hollypick.control.machines;

import org.hollypick.agent.AgentClient;
import org.hollypick.control.TermContext;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.health.LocalHealth;
import org.hollypick.io.ServerResponse;

/**
 * The agents in one leader term: their heartbeats, the commands to them, reconciliation after a failover and failure
 * detection, one type each. Confined to the event loop.
 */
public final class AgentManager {
    private final TermContext term;
    private final CommandDispatcher commandDispatcher;
    private final HeartbeatHandler heartbeatHandler;
    private final ReconciliationProbe reconciliationProbe;
    private final FailureDetector failureDetector;

    /** {@code localHealth} learns from direct calls whether this controller is overloaded. */
    public AgentManager(TermContext term, AgentClient agentClient, LocalHealth localHealth) {
        this.term = term;
        this.commandDispatcher = new CommandDispatcher(term, agentClient, localHealth, this::directCallCompleted);
        this.heartbeatHandler = new HeartbeatHandler(term, commandDispatcher::probe);
        this.reconciliationProbe = new ReconciliationProbe(term, commandDispatcher::probe);
        this.failureDetector = new FailureDetector(term, localHealth, commandDispatcher::probe);
    }

    /** Handles an agent's heartbeat that {@code relay}, a controller, received; the response carries commands. */
    public ServerResponse heartbeatReceived(Heartbeat heartbeat, String relay) {
        return heartbeatHandler.handle(heartbeat, relay);
    }

    /** Sends pending commands, those for services first, as many calls at once as allowed. */
    public void dispatchCommands() {
        commandDispatcher.dispatchPending();
    }

    /** Calls machines that aren't reconciled under this term's token, until all are. */
    public void probeUnreconciled() {
        reconciliationProbe.probeUnreconciled();
    }

    /** Tells which machines are lost and whether this leader is isolated. */
    public FailureDetector failureDetector() {
        return failureDetector;
    }

    private void directCallCompleted() {
        reconciliationProbe.probeUnreconciled();
        if (term.scheduler().outbox().hasPendingMachineWork()) {
            term.requestReconcile();
        }
    }
}
