package org.hollypick.control.machines;

import java.util.List;
import java.util.function.Consumer;
import org.hollypick.agent.AgentCodec;
import org.hollypick.control.TermContext;
import org.hollypick.core.MachineType;
import org.hollypick.core.Scheduler;
import org.hollypick.core.UnexplainedAttempts;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.io.ServerResponse;
import org.hollypick.relay.HeartbeatRelayCodec;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies agents' heartbeats and responds with the machine's pending commands. A response with status 200 renews the
 * agent's lease, so it is sent only to the newest heartbeat of an agent, and not while responses seem to be lost on the
 * way to a machine that may hold tasks. Confined to the event loop.
 */
final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

    /** Error texts of rejections, part of the protocol with the agents. */
    private static final String REJECTED_TERMINATED_OR_NEWER_TERM = "not for this node";

    private static final String REJECTED_UNKNOWN_TYPE = "machine type not known yet";
    private static final String REJECTED_EARLIER_INCARNATION = "a report of an earlier session";
    private static final String REJECTED_OUTDATED_HEARTBEAT = "an older report";
    private static final String REJECTED_UNREACHABLE_INBOUND = "answers don't reach the machine";

    private final TermContext term;
    private final Scheduler scheduler;
    private final Consumer<Machine> probe;

    /** Creates the handler; {@code probe} calls a machine directly, unless too many calls are in flight. */
    HeartbeatHandler(TermContext term, Consumer<Machine> probe) {
        this.term = term;
        this.scheduler = term.scheduler();
        this.probe = probe;
    }

    /** Handles a heartbeat that the controller {@code relay} received from the agent. */
    ServerResponse handle(Heartbeat heartbeat, String relay) {
        if (scheduler.commandTokens().isOfLaterTerm(heartbeat.token()) || scheduler.isTerminated(heartbeat.machine())) {
            return ServerResponse.retryLater(REJECTED_TERMINATED_OR_NEWER_TERM);
        }
        long now = term.now();
        Machine machine = findOrAdd(heartbeat, now);
        if (machine == null) {
            return ServerResponse.retryLater(REJECTED_UNKNOWN_TYPE);
        }
        if (machine.mayHaveRestarted(heartbeat)) {
            machine.restartCheck.request(heartbeat.incarnation());
        }
        if (machine.restartCheck.isPending()) {
            probe.accept(machine);
        }
        if (machine.isOutdated(heartbeat)) {
            return ServerResponse.retryLater(REJECTED_EARLIER_INCARNATION);
        }
        return switch (machine.validity.classify(heartbeat, now)) {
            case OUTDATED -> ServerResponse.retryLater(REJECTED_OUTDATED_HEARTBEAT);
            case REPEATED -> handleCurrent(machine, heartbeat, false, relay, now);
            case NEW -> handleCurrent(machine, heartbeat, true, relay, now);
        };
    }

    /**
     * Applies a heartbeat, or the agent's state in the response to a direct call.
     *
     * @param sentByAgent true if the agent sent it as a request, false if it came in the response to a direct call
     * @return false if it was outdated and not applied
     */
    static boolean apply(Scheduler scheduler, Machine machine, Heartbeat heartbeat, boolean sentByAgent, long now) {
        machine.recordContact(now);
        boolean applied = scheduler.heartbeats().applyHeartbeat(machine, heartbeat, sentByAgent, now);
        for (UnexplainedAttempts.Sighting sighting :
                scheduler.unexplainedAttempts().takeUnreported()) {
            LOG.info(
                    "attempt.unexplained kind={} machine={} task={} attempt={} incarnation={} seen_token={} token={}",
                    sighting.kind(),
                    sighting.machine(),
                    sighting.task(),
                    sighting.attempt(),
                    heartbeat.incarnation(),
                    heartbeat.token(),
                    scheduler.token());
        }
        return applied;
    }

    /** Returns the machine, adding it if it is new; null if it is new and its type isn't known yet. */
    private Machine findOrAdd(Heartbeat heartbeat, long now) {
        Machine machine = scheduler.machine(heartbeat.machine());
        if (machine != null) {
            return machine;
        }
        MachineType type = term.machineTypes().get(heartbeat.type());
        if (type == null) {
            return null;
        }
        LOG.info(
                "machine.discovered machine={} type={} zone={} spot={}",
                heartbeat.machine(),
                heartbeat.type(),
                heartbeat.zone(),
                heartbeat.spot());
        return scheduler.addMachine(heartbeat.machine(), type, heartbeat.zone(), heartbeat.spot(), false, now);
    }

    /**
     * Handles the newest heartbeat; {@code isNew} is false for a copy of it whose response the agent may still await.
     */
    private ServerResponse handleCurrent(Machine machine, Heartbeat heartbeat, boolean isNew, String relay, long now) {
        boolean firstOfTerm = !machine.heartbeatReceived();
        boolean newIncarnation = !firstOfTerm && heartbeat.incarnation() != machine.incarnation();
        boolean applied = apply(scheduler, machine, heartbeat, true, now);
        if (!applied && (!machine.heartbeatReceived() || heartbeat.incarnation() != machine.incarnation())) {
            return ServerResponse.retryLater(REJECTED_EARLIER_INCARNATION);
        }
        if (firstOfTerm) {
            firstHeartbeatReceived(machine, heartbeat);
        }
        scheduler.heartbeatBalancer().heartbeatReceived(machine.id, relay, now);
        if (scheduler.outbox().takeFreedCapacity(machine)) {
            scheduler.scheduleOn(machine, now);
        }
        scheduler.commands().raiseTokenIfNeeded(machine);
        List<Command> commands =
                CommandDispatcher.limitToOneMessage(scheduler.commands().pendingCommands(machine));
        if (isNew) {
            updateValidity(machine, heartbeat, newIncarnation, commands, now);
            if (machine.validity.isUnreachableInbound() && !(machine.reconciled() && machine.idle())) {
                // The agent wouldn't receive an acknowledgement and lets its lease expire, while this leader would
                // assume that the lease was renewed.
                return ServerResponse.retryLater(REJECTED_UNREACHABLE_INBOUND);
            }
        }
        return respond(machine, commands, relay, now);
    }

    private void firstHeartbeatReceived(Machine machine, Heartbeat heartbeat) {
        LOG.info(
                "machine.first_heartbeat_received machine={} incarnation={} tasks={}",
                machine.id,
                heartbeat.incarnation(),
                heartbeat.tasks().size());
        if (!machine.confirmedLive()) {
            probe.accept(machine);
        }
    }

    /** Updates from a new heartbeat whether the responses before it reached the agent. */
    private void updateValidity(
            Machine machine, Heartbeat heartbeat, boolean newIncarnation, List<Command> commands, long now) {
        boolean wasUnreachable = machine.validity.isUnreachableInbound();
        boolean seenThisToken = scheduler.commandTokens().isOfThisTerm(heartbeat.token());
        if (newIncarnation
                && machine.heartbeatAcknowledgedAt() > 0
                && scheduler.leases().isValid(machine.heartbeatAcknowledgedAt(), now)) {
            machine.validity.markUnreachableInbound(now);
        }
        machine.validity.heartbeatReceived(heartbeat, seenThisToken, commands, now);
        if (machine.validity.isUnreachableInbound()
                && !newIncarnation
                && scheduler.leases().isExpired(machine.incarnationSeenAt(), now)) {
            // Without any response the agent's lease would have expired, and another incarnation would have begun.
            machine.validity.deliveryConfirmed();
        }
        if (!seenThisToken) {
            machine.clearHeartbeatAcknowledgement(); // the agent has received no response of this term
        }
        if (machine.validity.isUnreachableInbound() != wasUnreachable) {
            LOG.info(
                    "{} machine={} incarnation={} token={}",
                    wasUnreachable ? "machine.became_reachable_inbound" : "machine.became_unreachable_inbound",
                    machine.id,
                    heartbeat.incarnation(),
                    heartbeat.token());
            scheduler.outbox().requestCycle();
        }
    }

    private ServerResponse respond(Machine machine, List<Command> commands, String relay, long now) {
        String otherRelay = commands.isEmpty() && machine.reconciled()
                ? scheduler.heartbeatBalancer().redirectFrom(relay, now)
                : null;
        if (otherRelay != null) {
            return HeartbeatRelayCodec.redirect(otherRelay);
        }
        machine.acknowledgeHeartbeat(machine.validity.newestReceivedAt());
        machine.validity.responseSent(commands);
        scheduler.commands().sentInHeartbeatResponse(machine, commands);
        CommandLog.commandsSent(machine, commands, CommandLog.Route.HEARTBEAT_RESPONSE);
        if (machine.reconciled()) {
            scheduler.outbox().commandsDelivered(machine);
        }
        term.requestReconcile();
        return ServerResponse.of(200, AgentCodec.encodeCommands(machine.tokens.sent(), commands))
                .onlyWhile(term.leaderLeaseHeld());
    }
}
