package org.hollypick.core.health;

import java.util.List;
import org.hollypick.config.constants.FailureDetectionConstants;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.core.assignment.Assignment;
import org.hollypick.core.assignment.Command;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;

/**
 * Whether a machine's reports are new, and whether what it is told reaches it (docs/hearing.md). A worker has one
 * report in flight at a time: a newer one that still lacks what the answer before told shows that this answer wasn't
 * taken. Pure; one for each machine in one term.
 */
public final class HeartbeatValidity {
    /** {@code AGAIN}: the newest one once more, while its worker may still wait for the answer. */
    public enum Freshness {
        NEW,
        AGAIN,
        COPY
    }

    /** The newest that came as a report. */
    private boolean reported;

    private long session;
    private long tick;
    private long takenAt;
    /** That one was answered, with these orders. */
    private boolean answered;

    private List<Command> told = List.of();
    private long toldSession;
    /** It had seen this term's token by then. */
    private boolean knewToken;

    private int unacknowledged;
    private int unanswered;
    /** Since when it counts as unreachable inbound; 0: it doesn't. */
    private long unreachableInboundSince;

    /** What this report is, beside those that came before. */
    public Freshness freshness(Heartbeat heartbeat, long now) {
        if (!reported || heartbeat.newerThan(session, tick)) {
            reported = true;
            session = heartbeat.incarnation();
            tick = heartbeat.sequence();
            takenAt = now;
            return Freshness.NEW;
        }
        boolean same = heartbeat.incarnation() == session && heartbeat.sequence() == tick;
        return same && now - takenAt < ReachabilityConstants.HEARTBEAT_RESPONSE_TIMEOUT_MS
                ? Freshness.AGAIN
                : Freshness.COPY;
    }

    /** When the newest report came first. */
    public long takenAt() {
        return takenAt;
    }

    /**
     * A new report: what it shows of the answer before. {@code wanted}: what it would be told now; {@code knows}: it
     * has seen this term's token.
     */
    public void reported(Heartbeat heartbeat, boolean knows, List<Command> wanted, long now) {
        if (answered) {
            if (!knows || anyAgain(wanted)) {
                if (++unacknowledged >= ReachabilityConstants.UNACKNOWLEDGED_RESPONSES) {
                    lapsed(now);
                }
            } else if (!knewToken || (heartbeat.incarnation() == toldSession && anyShown(heartbeat))) {
                acknowledged();
            }
        }
        knewToken = knows;
        answered = false;
        told = List.of();
    }

    /**
     * Whether something that was told would be told again. With hundreds of reports a second, attempts are compared
     * before names.
     */
    private boolean anyAgain(List<Command> wanted) {
        for (Command command : told) {
            for (Command w : wanted) {
                if (command.attempt() == w.attempt() && command.equals(w)) {
                    return true;
                }
            }
        }
        return false;
    }

    private boolean anyShown(Heartbeat heartbeat) {
        for (Command command : told) {
            if (shows(heartbeat, command)) {
                return true;
            }
        }
        return false;
    }

    /** Whether the report is as it would be after that order. */
    private static boolean shows(Heartbeat heartbeat, Command command) {
        Assignment.State state = null;
        for (TaskStatus status : heartbeat.tasks()) {
            state = status.attempt() == command.attempt() && status.task().equals(command.task())
                    ? status.state()
                    : state;
        }
        return switch (command.verb()) {
            case LAUNCH -> state != null;
            case KILL -> state == Assignment.State.CHECKPOINTING || state == Assignment.State.EXITED;
            case CLEAR -> state == null;
        };
    }

    /** The newest report is answered with that. */
    public void told(List<Command> commands) {
        answered = true;
        told = commands;
        toldSession = session;
    }

    /** None of the last answers was taken: so it has shown, or its session ended although it was answered lately. */
    public void lapsed(long now) {
        unreachableInboundSince = unreachableInboundSince == 0 ? now : unreachableInboundSince;
    }

    /** It is shown that an answer, or a direct call, was taken. */
    public void acknowledged() {
        unacknowledged = 0;
        unanswered = 0;
        unreachableInboundSince = 0;
    }

    /** A direct call was left open. */
    public void unanswered() {
        unanswered++;
    }

    /** It is to get no work, nor an answer while anything may be there. */
    public boolean unreachableInbound() {
        return unreachableInboundSince > 0;
    }

    /** Since when; 0 if it isn't. */
    public long unreachableInboundSince() {
        return unreachableInboundSince;
    }

    /** Its reports come, and what it is told seems not to arrive by any way. */
    public boolean doubted() {
        return unreachableInbound()
                || (unacknowledged > 0 && unanswered >= FailureDetectionConstants.UNACKNOWLEDGED_CALLS);
    }

    /** Direct calls don't reach it, and no answer has been shown to since. One task is enough to find out. */
    public boolean onTrial() {
        return unanswered >= FailureDetectionConstants.UNACKNOWLEDGED_CALLS;
    }
}
