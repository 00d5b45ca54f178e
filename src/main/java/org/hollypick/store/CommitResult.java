package org.hollypick.store;

import java.util.List;

/**
 * The outcome of a {@link CompareAndSwap}.
 *
 * @param status how it ended; {@link StoreStatus#OK} if all writes were applied
 * @param revision the store's revision: of the writes if they were applied, else the one at which a condition failed; 0
 *     if the store told none
 * @param conflictingKeys the keys whose conditions didn't hold; empty unless the status is {@link StoreStatus#CONFLICT}
 */
public record CommitResult(StoreStatus status, long revision, List<String> conflictingKeys) {
    /** Whether the writes were applied, durably. */
    public boolean committed() {
        return status == StoreStatus.OK;
    }

    /** Whether nothing was written because a condition doesn't hold. */
    public boolean conflicted() {
        return status == StoreStatus.CONFLICT;
    }

    /** Whether nothing was written because the store refuses such a transaction for good. */
    public boolean invalid() {
        return status == StoreStatus.INVALID;
    }

    /** Whether it was never sent, so that its writes can't be applied late either. */
    public boolean wasNeverSent() {
        return status == StoreStatus.NOT_SENT;
    }

    /** Whether the store left it without an answer: the writes may have been applied, or may still be. */
    public boolean wasUnanswered() {
        return status == StoreStatus.NO_RESPONSE;
    }
}
