package org.hollypick.control.machines;

import java.util.List;
import java.util.OptionalLong;
import org.hollypick.agent.AgentClient;
import org.hollypick.agent.AgentResponse;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.control.TermContext;
import org.hollypick.core.Scheduler;
import org.hollypick.core.SchedulerOutbox;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.Machine;
import org.hollypick.core.health.LocalHealth;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Calls agents directly, either with commands that should not wait for the next heartbeat or as a probe. At most one
 * call is in flight to each machine. Confined to the event loop.
 */
final class CommandDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(CommandDispatcher.class);

    /** Incarnation named in a call without commands to an agent whose incarnation is unknown. */
    private static final long FIRST_INCARNATION = 1;

    private final TermContext term;
    private final Scheduler scheduler;
    private final AgentClient agentClient;
    private final LocalHealth localHealth;
    private final DirectCallLimiter limiter;
    private final Runnable onCallCompleted;

    /**
     * A direct call in flight.
     *
     * @param incarnation the agent's incarnation that the commands are for
     * @param knownSequence the newest sequence number received from the machine at the time of sending; empty if there
     *     was none
     * @param toUnresponsive whether the machine was unresponsive at the time of sending
     * @param token the fencing token that the call carries
     * @param startedAt when the call was sent, in milliseconds
     */
    private record DirectCall(
            Machine machine,
            List<Command> commands,
            long incarnation,
            OptionalLong knownSequence,
            long token,
            boolean toUnresponsive,
            long startedAt) {}

    /** Creates the dispatcher; {@code onCallCompleted} runs after the result of each call was applied. */
    CommandDispatcher(TermContext term, AgentClient agentClient, LocalHealth localHealth, Runnable onCallCompleted) {
        this.term = term;
        this.scheduler = term.scheduler();
        this.agentClient = agentClient;
        this.localHealth = localHealth;
        this.limiter = new DirectCallLimiter(localHealth);
        this.onCallCompleted = onCallCompleted;
    }

    /** Returns the first commands, up to the limit of one message (64 KiB); the others follow in the next message. */
    static List<Command> limitToOneMessage(List<Command> commands) {
        return commands.size() <= FailureDetectionConstants.MAX_COMMANDS_PER_MESSAGE
                ? commands
                : commands.subList(0, FailureDetectionConstants.MAX_COMMANDS_PER_MESSAGE);
    }

    /** Sends pending commands, urgent ones first, until no further call is allowed. */
    void dispatchPending() {
        SchedulerOutbox outbox = scheduler.outbox();
        outbox.takeMachinesWithUrgentCommands(limiter.availableCalls()).forEach(machine -> call(machine, false));
        outbox.takeMachinesWithPendingCommands(limiter.availableCalls()).forEach(machine -> call(machine, false));
    }

    /** Calls a machine, even without commands, to get its agent's state, if another call is allowed. */
    void probe(Machine machine) {
        if (limiter.availableCalls() > 0) {
            call(machine, true);
        }
    }

    private void call(Machine machine, boolean isProbe) {
        if (!mayCall(machine)) {
            return;
        }
        List<Command> commands = commandsFor(machine);
        boolean canWaitForHeartbeat = commands.stream().allMatch(command -> command.verb() == Command.Verb.CLEAR);
        if (machine.reconciled() && !isProbe && canWaitForHeartbeat) {
            return;
        }
        boolean toUnresponsive = machine.directCalls.unacknowledgedCalls() > 0 || machine.validity.isSuspected();
        if (toUnresponsive && !limiter.mayCallUnresponsive()) {
            return;
        }
        boolean known = machine.heartbeatReceived();
        DirectCall call = new DirectCall(
                machine,
                commands,
                known ? machine.incarnation() : FIRST_INCARNATION,
                known ? OptionalLong.of(machine.heartbeatSequence()) : OptionalLong.empty(),
                machine.tokens.sent(),
                toUnresponsive,
                term.now());
        scheduler.commands().sentDirectly(machine, commands);
        CommandLog.commandsSent(machine, commands, CommandLog.Route.DIRECT_CALL);
        limiter.callStarted(toUnresponsive);
        agentClient.sendCommands(
                machine.address(),
                call.token(),
                call.incarnation(),
                commands,
                term.leaderLeaseHeld(),
                response -> callCompleted(call, response));
    }

    private boolean mayCall(Machine machine) {
        return term.holdsLeaderLease()
                && !machine.directCalls.directCallInFlight()
                && !machine.address().isEmpty()
                && machine.directCalls.directCallNotBefore() <= term.now()
                && !machine.isScalingIn();
    }

    private List<Command> commandsFor(Machine machine) {
        return machine.heartbeatReceived() && !machine.incarnationExpired()
                ? limitToOneMessage(scheduler.commands().pendingCommands(machine))
                : List.of();
    }

    private void callCompleted(DirectCall call, AgentResponse response) {
        long now = term.now();
        limiter.callCompleted(call.toUnresponsive(), response, now - call.startedAt(), now);
        scheduler
                .commands()
                .directCallCompleted(call.machine(), call.commands(), call.incarnation(), response.callOutcome());
        if (response.outcome() == AgentResponse.Outcome.ACKNOWLEDGED) {
            applyAcknowledgement(call, response.heartbeat());
        } else {
            recordUnacknowledged(call.machine(), response, now);
        }
        onCallCompleted.run();
    }

    private void recordUnacknowledged(Machine machine, AgentResponse response, long now) {
        if (response.outcome() != AgentResponse.Outcome.NO_CAPACITY) {
            machine.directCalls.recordUnacknowledgedCall();
            if (localHealth.isHealthy(now)) {
                // While this controller is overloaded, a missing response is no evidence against the machine.
                machine.validity.directCallUnacknowledged();
            }
        }
        machine.directCalls.delayDirectCalls(now + FailureDetectionConstants.DIRECT_CALL_RETRY_MS);
        LOG.debug("command.unacknowledged machine={} status={}", machine.id, response.status());
    }

    /**
     * Applies the agent's state from the response to a direct call.
     *
     * @param heartbeat the agent's state; null if the response could not be decoded
     */
    private void applyAcknowledgement(DirectCall call, Heartbeat heartbeat) {
        Machine machine = call.machine();
        if (heartbeat == null
                || scheduler.machine(machine.id) != machine
                || scheduler.commandTokens().isOfLaterTerm(heartbeat.token())) {
            return;
        }
        long now = term.now();
        boolean wasReconciled = machine.reconciled();
        machine.validity.deliveryConfirmed();
        scheduler.heartbeats().confirmLive(machine);
        HeartbeatHandler.apply(scheduler, machine, heartbeat, false, now);
        if (indicatesRestart(call, heartbeat) && !machine.incarnationExpired()) {
            LOG.info(
                    "agent.restarted machine={} incarnation={} sequence={} known_incarnation={} known_sequence={}",
                    machine.id,
                    heartbeat.incarnation(),
                    heartbeat.sequence(),
                    call.incarnation(),
                    call.knownSequence().getAsLong());
            scheduler.heartbeats().applyAgentRestart(machine, heartbeat, now);
        }
        if (!wasReconciled && !machine.reconciled()) {
            call(machine, true);
        }
    }

    /**
     * Whether the response shows a restart of the agent: the agent wrote the response after the newest heartbeat that
     * had been received, yet the response isn't newer by incarnation and sequence number. A restarted agent counts
     * sequence numbers from the start.
     */
    private static boolean indicatesRestart(DirectCall call, Heartbeat heartbeat) {
        return call.knownSequence().isPresent()
                && !heartbeat.newerThan(call.incarnation(), call.knownSequence().getAsLong());
    }
}
