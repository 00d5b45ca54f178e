package org.hollypick.core.health;

import java.util.List;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;

/**
 * Tracks whether a machine's heartbeats are new, and whether the responses to them reach the agent
 * (docs/heartbeat-validity.md). An agent has one heartbeat in flight at a time, so a newer heartbeat that doesn't show
 * the effect of the previous response's commands proves that this response wasn't received. One instance per machine
 * and term. Confined to the event loop.
 */
public final class HeartbeatValidity {
    /** A heartbeat's relation to those received before. */
    public enum Freshness {
        /** Newer than all heartbeats before. */
        NEW,
        /** A copy of the newest heartbeat, received while the agent may still be waiting for the response. */
        REPEATED,
        /** Older than the newest heartbeat, or a copy of it to which the agent no longer awaits the response. */
        OUTDATED
    }

    private boolean anyReceived;
    /** Incarnation, sequence number and time of receipt of the newest heartbeat. */
    private long newestIncarnation;

    private long newestSequence;
    private long newestReceivedAt;

    /** Whether a response to the newest heartbeat was sent, with which commands and to which incarnation. */
    private boolean responseSent;

    private List<Command> sentCommands = List.of();
    private long respondedIncarnation;
    /** Whether the agent had seen this term's token when it sent the newest heartbeat. */
    private boolean tokenSeen;

    private int unacknowledgedResponses;
    private int unacknowledgedCalls;
    /** When the machine became unreachable inbound; 0 if it isn't. */
    private long unreachableInboundSince;

    /** Classifies a heartbeat by those received before, and records it if it is new. */
    public Freshness classify(Heartbeat heartbeat, long now) {
        if (!anyReceived || heartbeat.newerThan(newestIncarnation, newestSequence)) {
            anyReceived = true;
            newestIncarnation = heartbeat.incarnation();
            newestSequence = heartbeat.sequence();
            newestReceivedAt = now;
            return Freshness.NEW;
        }
        boolean same = heartbeat.incarnation() == newestIncarnation && heartbeat.sequence() == newestSequence;
        boolean awaitsResponse = now - newestReceivedAt < ReachabilityConstants.HEARTBEAT_RESPONSE_TIMEOUT_MS;
        return same && awaitsResponse ? Freshness.REPEATED : Freshness.OUTDATED;
    }

    /**
     * Begins anew with the state of a restarted agent, which counts incarnations and sequence numbers from the start.
     */
    public void agentRestarted(Heartbeat first) {
        newestIncarnation = first.incarnation();
        newestSequence = first.sequence();
        responseSent = false;
        sentCommands = List.of();
        deliveryConfirmed();
    }

    /** When the newest heartbeat was first received, in milliseconds. */
    public long newestReceivedAt() {
        return newestReceivedAt;
    }

    /**
     * Determines from a new heartbeat whether the agent received the previous response.
     *
     * @param seenThisToken whether the agent has seen this term's token
     * @param pendingCommands the commands that would be sent to the agent now
     */
    public void heartbeatReceived(Heartbeat heartbeat, boolean seenThisToken, List<Command> pendingCommands, long now) {
        if (responseSent) {
            if (!seenThisToken || anyStillPending(pendingCommands)) {
                unacknowledgedResponses++;
                if (unacknowledgedResponses >= ReachabilityConstants.UNACKNOWLEDGED_RESPONSE_THRESHOLD) {
                    markUnreachableInbound(now);
                }
            } else if (!tokenSeen || (heartbeat.incarnation() == respondedIncarnation && anyEffectShown(heartbeat))) {
                deliveryConfirmed();
            }
        }
        tokenSeen = seenThisToken;
        responseSent = false;
        sentCommands = List.of();
    }

    /**
     * Whether a command of the previous response would be sent again. Attempts are compared before the whole commands,
     * since this runs for hundreds of heartbeats a second.
     */
    private boolean anyStillPending(List<Command> pendingCommands) {
        for (Command sent : sentCommands) {
            for (Command pending : pendingCommands) {
                if (sent.attempt() == pending.attempt() && sent.equals(pending)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean anyEffectShown(Heartbeat heartbeat) {
        for (Command command : sentCommands) {
            if (showsEffect(heartbeat, command)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the heartbeat shows the state that the command leads to. */
    private static boolean showsEffect(Heartbeat heartbeat, Command command) {
        Assignment.State state = null;
        for (TaskStatus status : heartbeat.tasks()) {
            if (status.attempt() == command.attempt() && status.task().equals(command.task())) {
                state = status.state();
            }
        }
        return switch (command.verb()) {
            case LAUNCH -> state != null;
            case KILL -> state == Assignment.State.CHECKPOINTING || state == Assignment.State.EXITED;
            case CLEAR -> state == null;
        };
    }

    /** Records that the response to the newest heartbeat is sent, with these commands. */
    public void responseSent(List<Command> commands) {
        responseSent = true;
        sentCommands = commands;
        respondedIncarnation = newestIncarnation;
    }

    /**
     * Records that no recent response reached the machine: its heartbeats show so, or its lease expired although
     * responses were sent.
     */
    public void markUnreachableInbound(long now) {
        unreachableInboundSince = unreachableInboundSince == 0 ? now : unreachableInboundSince;
    }

    /** Records that a response or a direct call was certainly received by the agent. */
    public void deliveryConfirmed() {
        unacknowledgedResponses = 0;
        unacknowledgedCalls = 0;
        unreachableInboundSince = 0;
    }

    /** Records that a direct call got no response. */
    public void directCallUnacknowledged() {
        unacknowledgedCalls++;
    }

    /**
     * Whether responses don't reach the machine. The machine then gets no new tasks, and no responses while tasks may
     * be on it.
     */
    public boolean isUnreachableInbound() {
        return unreachableInboundSince > 0;
    }

    /** When the machine became unreachable inbound, in milliseconds; 0 if it isn't. */
    public long unreachableInboundSince() {
        return unreachableInboundSince;
    }

    /** Whether heartbeats are received, but neither responses nor direct calls seem to reach the machine. */
    public boolean isSuspected() {
        return isUnreachableInbound()
                || (unacknowledgedResponses > 0
                        && unacknowledgedCalls >= FailureDetectionConstants.UNACKNOWLEDGED_CALL_THRESHOLD);
    }

    /**
     * Whether direct calls got no response, and no delivery to the agent has been confirmed since. One starting task at
     * a time is enough to find out whether commands reach the agent.
     */
    public boolean isDeliveryUnconfirmed() {
        return unacknowledgedCalls >= FailureDetectionConstants.UNACKNOWLEDGED_CALL_THRESHOLD;
    }
}
