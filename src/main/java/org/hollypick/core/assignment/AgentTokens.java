package org.hollypick.core.assignment;

/**
 * The fencing tokens between this leader and one agent: the one that the leader's messages carry, and the one that the
 * agent has reported. Tokens are unsigned. Confined to the event loop.
 */
public final class AgentTokens {
    private long sent;
    private long seen;
    /** The number of messages to the agent that carried {@link #sent}. */
    private int messagesUnderSent;

    AgentTokens() {}

    /** Begins with the term's own token, which other controllers may have sent to the agent as well. */
    public void begin(long termToken) {
        sent = termToken;
        messagesUnderSent = 1;
    }

    /** The fencing token of the messages to the agent: the term's own, or a newer one of the same term. */
    public long sent() {
        return sent;
    }

    /** Raises the fencing token of the messages to the agent; returns whether it became newer. */
    public boolean raise(long token) {
        boolean newer = Long.compareUnsigned(token, sent) > 0;
        if (newer) {
            sent = token;
            messagesUnderSent = 0;
        }
        return newer;
    }

    /** Records that a message under {@link #sent} is sent to the agent. */
    public void messageSent() {
        messagesUnderSent++;
    }

    /**
     * Whether a single message has carried this token: an agent that has seen the token executed that very message, and
     * whatever the machine's agent sent before lists a lower token.
     */
    public boolean carriedByOneMessageOnly(long token) {
        return token == sent && messagesUnderSent == 1;
    }

    /** The fencing token of the newest heartbeat. */
    public long seen() {
        return seen;
    }

    /** Whether the agent has shown any fencing token. */
    boolean hasSeenAny() {
        return seen != 0;
    }

    /** Records the fencing token of the newest heartbeat. */
    void recordSeen(long token) {
        seen = token;
    }

    /**
     * Whether a heartbeat that is newer by its numbers was sent before the agent restarted: an agent's token doesn't
     * decrease while it runs.
     */
    boolean precedesRestart(long token) {
        return Long.compareUnsigned(token, seen) < 0;
    }
}
