package org.hollypick.control;

import org.hollypick.cluster.Membership;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.core.CommandTokens;
import org.hollypick.io.Codec;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;

/**
 * Advances the fencing tokens of a term's commands with the revision of the store. If an agent needs a newer token and
 * nothing else changes the store, writes a record for that purpose. Confined to the event loop.
 */
final class CommandTokenAdvancer {
    private final Settings settings;
    private final Membership membership;
    private final StoreReplica replica;
    private final KeyValueStoreClient store;
    private final CommandTokens tokens;
    private final long termToken;
    private boolean writeInFlight;

    CommandTokenAdvancer(ControllerContext context, CommandTokens tokens, long termToken) {
        this.settings = context.settings();
        this.membership = context.membership();
        this.replica = context.replica();
        this.store = context.store();
        this.tokens = tokens;
        this.termToken = termToken;
    }

    /** Advances the tokens if that is due. To be called while this controller holds the leader lease of the term. */
    void advanceIfDue(long now) {
        if (!tokens.isAdvanceDue(now)) {
            return;
        }
        // The caller holds the leader lease, so the replica shows the term's own leader record at this revision.
        boolean revisionNeeded = tokens.advance(replica.appliedRevision(), now);
        if (revisionNeeded && !writeInFlight && membership.reachesStore()) {
            changeRevision();
        }
    }

    private void changeRevision() {
        writeInFlight = true;
        CompareAndSwap transaction = new CompareAndSwap()
                .expectRevision(StoreKeys.LEADER_RECORD, termToken)
                .put(StoreKeys.commandToken(settings.node()), Codec.object());
        store.commit(transaction, result -> writeInFlight = false);
    }
}
