package org.hollypick.core;

import org.hollypick.config.constants.CommandTokenConstants;

/**
 * The fencing tokens under which one term may send commands to agents. The first one is the term's own token, the
 * revision of its leader record. Every revision that the store had while that leader record was in force may follow: it
 * is greater than the token of any earlier leader, and less than that of any later one. A newer token makes an agent
 * refuse all copies of calls that were sent under older ones (docs/safety.md, "Copies of answered requests").
 *
 * <p>Peers that renew leases in a partition must know the tokens in use. A revision is announced to them first, and is
 * used only from the next advance on. Revisions are unsigned; times are milliseconds of the event loop's clock.
 * Confined to the event loop.
 */
public final class CommandTokens {
    private final long termToken;
    private long announced;
    private long usable;
    private long advancedAt;
    private boolean newerRequested;

    CommandTokens(long termToken) {
        this.termToken = termToken;
        this.announced = termToken;
        this.usable = termToken;
    }

    /** The newest token that may be used for commands now. */
    public long usable() {
        return usable;
    }

    /** The newest token that agents may see in this term, now or after the next advance. */
    public long announced() {
        return announced;
    }

    /** Whether the token was issued in this term or may be: it is neither an earlier nor a later leader's. */
    public boolean isOfThisTerm(long token) {
        return Long.compareUnsigned(token, termToken) >= 0 && !isOfLaterTerm(token);
    }

    /** Whether only a later leader can have issued the token. */
    public boolean isOfLaterTerm(long token) {
        return Long.compareUnsigned(token, announced) > 0;
    }

    /** Whether the next advance is due. */
    public boolean isAdvanceDue(long now) {
        return now - advancedAt >= CommandTokenConstants.ADVANCE_INTERVAL_MS;
    }

    /**
     * Makes the announced token usable, and announces another one.
     *
     * @param storeRevision a revision of the store at which the term's leader record was in force
     * @return whether a newer token was requested, and the store's revision has to change first
     */
    public boolean advance(long storeRevision, long now) {
        boolean unchanged = usable == announced && Long.compareUnsigned(storeRevision, announced) <= 0;
        boolean revisionNeeded = newerRequested && unchanged;
        advancedAt = now;
        newerRequested = false;
        usable = announced;
        if (Long.compareUnsigned(storeRevision, announced) > 0) {
            announced = storeRevision;
        }
        return revisionNeeded;
    }

    /** Records that an agent needs a newer token than the usable one. */
    void requestNewer() {
        newerRequested = true;
    }
}
