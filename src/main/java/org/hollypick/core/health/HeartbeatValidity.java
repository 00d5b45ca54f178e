package org.hollypick.core.health;

import java.util.List;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;

/**
 * Whether a machine's heartbeats are new, and whether the answers to them reach it (docs/heartbeat-validity.md). An
 * agent has one heartbeat in flight at a time: a newer one that still lacks the effect of the last answer's commands
 * shows that this answer didn't reach it. One for each machine in one term. Confined to the event loop.
 */
public final class HeartbeatValidity {
    /** What a heartbeat is beside those received before. */
    public enum Freshness {
        /** Newer than all before. */
        NEW,
        /** The newest one once more, while its agent may still wait for the answer. */
        REPEATED,
        /** Older than the newest, or a copy of it that nobody waits for any more. */
        OUTDATED
    }

    private boolean anyReceived;
    /** Incarnation, sequence number and arrival of the newest heartbeat. */
    private long newestIncarnation;

    private long newestSequence;
    private long newestReceivedAt;

    /** Whether the newest heartbeat was answered, with which commands, and for which incarnation. */
    private boolean responseSent;

    private List<Command> sentCommands = List.of();
    private long respondedIncarnation;
    /** Whether the agent had seen this term's token by the newest heartbeat. */
    private boolean tokenSeen;

    private int unacknowledgedResponses;
    private int unacknowledgedCalls;
    /** Since when the machine counts as unreachable inbound; 0 if it doesn't. */
    private long unreachableInboundSince;

    /** Compares a heartbeat with those before; a new one becomes the newest. */
    public Freshness classify(Heartbeat heartbeat, long now) {
        if (!anyReceived || heartbeat.newerThan(newestIncarnation, newestSequence)) {
            anyReceived = true;
            newestIncarnation = heartbeat.incarnation();
            newestSequence = heartbeat.sequence();
            newestReceivedAt = now;
            return Freshness.NEW;
        }
        boolean same = heartbeat.incarnation() == newestIncarnation && heartbeat.sequence() == newestSequence;
        boolean awaitsAnswer = now - newestReceivedAt < ReachabilityConstants.HEARTBEAT_RESPONSE_TIMEOUT_MS;
        return same && awaitsAnswer ? Freshness.REPEATED : Freshness.OUTDATED;
    }

    /** When the newest heartbeat was first received. */
    public long newestReceivedAt() {
        return newestReceivedAt;
    }

    /**
     * Draws from a new heartbeat whether the last answer reached the agent.
     *
     * @param seenThisToken whether the agent has seen this term's token
     * @param pendingCommands what the machine would be sent now
     */
    public void heartbeatReceived(Heartbeat heartbeat, boolean seenThisToken, List<Command> pendingCommands, long now) {
        if (responseSent) {
            if (!seenThisToken || anyStillPending(pendingCommands)) {
                unacknowledgedResponses++;
                if (unacknowledgedResponses >= ReachabilityConstants.UNACKNOWLEDGED_RESPONSES) {
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
     * Whether a command of the last answer would be sent again. Attempts are compared before task names: this runs for
     * hundreds of heartbeats a second.
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

    /** Whether the heartbeat is as it would be after the command. */
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

    /** The newest heartbeat is answered with these commands. */
    public void responseSent(List<Command> commands) {
        responseSent = true;
        sentCommands = commands;
        respondedIncarnation = newestIncarnation;
    }

    /** No recent answer reached the machine, by its heartbeats or since its lease expired though it was answered. */
    public void markUnreachableInbound(long now) {
        unreachableInboundSince = unreachableInboundSince == 0 ? now : unreachableInboundSince;
    }

    /** An answer or a direct call certainly reached the agent. */
    public void deliveryConfirmed() {
        unacknowledgedResponses = 0;
        unacknowledgedCalls = 0;
        unreachableInboundSince = 0;
    }

    /** A direct call got no answer. */
    public void directCallUnacknowledged() {
        unacknowledgedCalls++;
    }

    /** Whether the machine gets no work, and no answer while tasks may be on it. */
    public boolean isUnreachableInbound() {
        return unreachableInboundSince > 0;
    }

    /** Since when it is unreachable inbound; 0 if it isn't. */
    public long unreachableInboundSince() {
        return unreachableInboundSince;
    }

    /** Whether heartbeats arrive but neither answers nor direct calls seem to reach the machine. */
    public boolean isSuspected() {
        return isUnreachableInbound()
                || (unacknowledgedResponses > 0
                        && unacknowledgedCalls >= FailureDetectionConstants.UNACKNOWLEDGED_CALLS);
    }

    /**
     * Whether direct calls don't reach the machine and no answer has been shown to since. One task at a time is enough
     * to find out.
     */
    public boolean isDeliveryUnconfirmed() {
        return unacknowledgedCalls >= FailureDetectionConstants.UNACKNOWLEDGED_CALLS;
    }
}
