package org.hollypick.control.machines;

import java.util.List;
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
    private final AgentRestartHandler restartHandler;
    private final Runnable onCallCompleted;

    /** The direct calls in flight that check for a restart of the agent. */
    private int restartChecksInFlight;

    /** Creates the dispatcher; {@code onCallCompleted} runs after the result of each call was applied. */
    CommandDispatcher(TermContext term, AgentClient agentClient, LocalHealth localHealth, Runnable onCallCompleted) {
        this.term = term;
        this.scheduler = term.scheduler();
        this.agentClient = agentClient;
        this.localHealth = localHealth;
        this.limiter = new DirectCallLimiter(localHealth);
        this.restartHandler = new AgentRestartHandler(scheduler);
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
        if (machine.restartCheck.isPending()) {
            checkRestart(machine);
            return;
        }
        if (!mayCall(machine)) {
            return;
        }
        List<Command> commands = commandsFor(machine);
        boolean canWaitForHeartbeat = commands.stream().allMatch(command -> command.verb() == Command.Verb.CLEAR);
        if (machine.reconciled() && !isProbe && canWaitForHeartbeat) {
            return;
        }
        if (exceedsUnresponsiveLimit(machine)) {
            return;
        }
        send(machine, commands, machine.heartbeatReceived() ? machine.incarnation() : FIRST_INCARNATION);
    }

    /**
     * Calls the agent without commands under a newer token, if possible: whether it has restarted or not, it refuses
     * all copies of earlier launches from then on, and its state in the response tells which is the case.
     */
    private void checkRestart(Machine machine) {
        long now = term.now();
        if (!isCallable(machine)
                || !machine.restartCheck.isDue(now)
                || restartChecksInFlight >= FailureDetectionConstants.MAX_RESTART_CHECKS_IN_FLIGHT
                || exceedsUnresponsiveLimit(machine)) {
            return;
        }
        scheduler.commands().raiseToken(machine);
        machine.restartCheck.callStarted(now);
        restartChecksInFlight++;
        LOG.debug(
                "agent.restart_check machine={} incarnation={} known_incarnation={} known_sequence={} token={}",
                machine.id,
                machine.restartCheck.incarnation(),
                machine.incarnation(),
                machine.heartbeatSequence(),
                machine.tokens.sent());
        send(machine, List.of(), machine.restartCheck.incarnation());
    }

    private boolean exceedsUnresponsiveLimit(Machine machine) {
        return isUnresponsive(machine) && !limiter.mayCallUnresponsive();
    }

    private static boolean isUnresponsive(Machine machine) {
        return machine.directCalls.unacknowledgedCalls() > 0 || machine.validity.isSuspected();
    }

    private void send(Machine machine, List<Command> commands, long incarnation) {
        boolean toUnresponsive = isUnresponsive(machine);
        DirectCall call = new DirectCall(
                machine,
                commands,
                incarnation,
                DirectCall.HeartbeatNumber.newestOf(machine),
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
        return isCallable(machine) && machine.directCalls.directCallNotBefore() <= term.now() && !machine.isScalingIn();
    }

    private boolean isCallable(Machine machine) {
        return term.holdsLeaderLease()
                && !machine.directCalls.directCallInFlight()
                && !machine.address().isEmpty();
    }

    private List<Command> commandsFor(Machine machine) {
        return machine.heartbeatReceived() && !machine.incarnationExpired()
                ? limitToOneMessage(scheduler.commands().pendingCommands(machine))
                : List.of();
    }

    private void callCompleted(DirectCall call, AgentResponse response) {
        long now = term.now();
        boolean wasRestartCheck = call.machine().restartCheck.callCompleted();
        restartChecksInFlight -= wasRestartCheck ? 1 : 0;
        limiter.callCompleted(call.toUnresponsive(), response, now - call.startedAt(), now);
        scheduler
                .commands()
                .directCallCompleted(call.machine(), call.commands(), call.incarnation(), response.callOutcome());
        if (response.outcome() == AgentResponse.Outcome.ACKNOWLEDGED) {
            applyAcknowledgement(call, response.heartbeat(), wasRestartCheck);
        } else {
            recordUnacknowledged(call.machine(), response, now);
        }
        if (!wasRestartCheck && call.machine().restartCheck.isPending()) {
            checkAfterCall(call.machine());
        }
        onCallCompleted.run();
    }

    /** Makes the check that the completed call has delayed. A check that got no answer waits for the next heartbeat. */
    private void checkAfterCall(Machine machine) {
        if (scheduler.machine(machine.id) == machine) {
            probe(machine);
        }
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
    private void applyAcknowledgement(DirectCall call, Heartbeat heartbeat, boolean wasRestartCheck) {
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
        if (call.showsRestart(heartbeat)) {
            restartHandler.agentRestarted(call, heartbeat, now);
        } else if (wasRestartCheck) {
            machine.restartCheck.completed();
        }
        if (!wasReconciled && !machine.reconciled()) {
            call(machine, true);
        }
    }
}
