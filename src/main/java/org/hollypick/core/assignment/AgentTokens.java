package org.hollypick.core.assignment;

/**
 * The fencing tokens between this leader and one agent: the one that the leader's messages carry, and the one that the
 * agent has reported. Tokens are unsigned. Confined to the event loop.
 */
public final class AgentTokens {
    private long sent;
    private long seen;

    AgentTokens() {}

    /** The fencing token of the messages to the agent: the term's own, or a newer one of the same term. */
    public long sent() {
        return sent;
    }

    /** Raises the fencing token of the messages to the agent; returns whether it became newer. */
    public boolean raise(long token) {
        boolean newer = Long.compareUnsigned(token, sent) > 0;
        if (newer) {
            sent = token;
        }
        return newer;
    }

    /** The fencing token of the newest heartbeat. */
    public long seen() {
        return seen;
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
