package org.hollypick.store;

import java.util.List;

/**
 * The outcome of a {@link CompareAndSwap}.
 *
 * @param status {@link StoreStatus#OK} if all writes were applied
 * @param revision the revision of the writes if they were applied, or the store's revision at which a condition failed;
 *     0 if the response contains none
 * @param conflictingKeys the keys whose conditions didn't hold; empty unless the status is {@link StoreStatus#CONFLICT}
 */
public record CommitResult(StoreStatus status, long revision, List<String> conflictingKeys) {
    /** Whether the writes were applied, durably. */
    public boolean committed() {
        return status == StoreStatus.OK;
    }

    /** Whether nothing was written because a condition didn't hold. */
    public boolean conflicted() {
        return status == StoreStatus.CONFLICT;
    }

    /** Whether nothing was written because the store permanently rejects this transaction as invalid. */
    public boolean invalid() {
        return status == StoreStatus.INVALID;
    }

    /** Whether the transaction was never sent, so its writes can't be applied later either. */
    public boolean wasNeverSent() {
        return status == StoreStatus.NOT_SENT;
    }

    /** Whether no response was received: the writes may have been applied, or may still be. */
    public boolean wasUnanswered() {
        return status == StoreStatus.NO_RESPONSE;
    }
}
