package org.hollypick.control.machines;

import org.hollypick.agent.AgentClient;
import org.hollypick.control.TermContext;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.health.LocalHealth;
import org.hollypick.io.ServerResponse;

/**
 * Manages the agents during one leader term: heartbeats, commands, reconciliation after a failover and failure
 * detection, each in a class of its own. Confined to the event loop.
 */
public final class AgentManager {
    private final TermContext term;
    private final CommandDispatcher commandDispatcher;
    private final HeartbeatHandler heartbeatHandler;
    private final ReconciliationProbe reconciliationProbe;
    private final FailureDetector failureDetector;

    /** Creates the manager; {@code localHealth} receives the latencies of direct calls, which show local overload. */
    public AgentManager(TermContext term, AgentClient agentClient, LocalHealth localHealth) {
        this.term = term;
        this.commandDispatcher = new CommandDispatcher(term, agentClient, localHealth, this::directCallCompleted);
        this.heartbeatHandler = new HeartbeatHandler(term, commandDispatcher::probe);
        this.reconciliationProbe = new ReconciliationProbe(term, commandDispatcher::probe);
        this.failureDetector = new FailureDetector(term, localHealth, commandDispatcher::probe);
    }

    /** Handles a heartbeat that the controller {@code relay} received; the response carries commands. */
    public ServerResponse heartbeatReceived(Heartbeat heartbeat, String relay) {
        return heartbeatHandler.handle(heartbeat, relay);
    }

    /** Sends pending commands by direct calls, those for services first, up to the limit of calls in flight. */
    public void dispatchCommands() {
        commandDispatcher.dispatchPending();
    }

    /** Probes the machines that have not been reconciled under this term's fencing token yet. */
    public void probeUnreconciled() {
        reconciliationProbe.probeUnreconciled();
    }

    /** Returns the detector of lost machines and of this leader's isolation. */
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
