package org.hollypick.cluster;

import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.store.CommitResult;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the leader record by compare-and-swap, to become leader or to get a new fencing token as leader. The response
 * to a write may be lost: only the record in the replica shows the outcome. Confined to the event loop.
 */
final class LeaderRecordWriter {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderRecordWriter.class);

    private final KeyValueStoreClient store;
    private final Settings settings;
    private final StoreReplica replica;
    private final MemberRegistration registration;
    private final LeaderDirectory directory;
    private final LimitsEnforcement limitsEnforcement;

    LeaderRecordWriter(
            KeyValueStoreClient store,
            Settings settings,
            StoreReplica replica,
            MemberRegistration registration,
            LeaderDirectory directory,
            LimitsEnforcement limitsEnforcement) {
        this.store = store;
        this.settings = settings;
        this.replica = replica;
        this.registration = registration;
        this.directory = directory;
        this.limitsEnforcement = limitsEnforcement;
    }

    /**
     * Makes this controller the leader, on condition that the leader record and the named leader's member key are
     * unchanged from the replica.
     */
    void replaceLeader(Consumer<CommitResult> onWritten) {
        String predecessor = directory.namedLeader();
        CompareAndSwap transaction = transactionAfter(directory.leaderRecordRevision());
        if (predecessor != null && !predecessor.equals(settings.node())) {
            String predecessorKey = StoreKeys.member(predecessor);
            transaction.expectRevision(predecessorKey, replica.revisionOf(predecessorKey));
        }
        String cause = predecessor == null ? "first" : "failover predecessor=" + predecessor;
        write(transaction, limitsEnforcement.enforcedByAllLeaders(), cause, onWritten);
    }

    /** Rewrites the record as leader under this fencing token. The record's new revision is the new fencing token. */
    void rewriteAsLeader(long token, boolean limitsEnforced, Consumer<CommitResult> onWritten) {
        write(transactionAfter(token), limitsEnforced, "fence", onWritten);
    }

    private CompareAndSwap transactionAfter(long leaderRecordRevision) {
        return new CompareAndSwap()
                .expectRevision(StoreKeys.LEADER_RECORD, leaderRecordRevision)
                .expectRevision(StoreKeys.member(settings.node()), registration.memberRevision());
    }

    private void write(
            CompareAndSwap transaction, boolean limitsEnforced, String cause, Consumer<CommitResult> onWritten) {
        LeaderRecord leaderRecord = new LeaderRecord(
                settings.node(),
                registration.memberRevision(),
                directory.term() + 1,
                limitsEnforcement.hashForNextRecord(limitsEnforced));
        transaction.put(StoreKeys.LEADER_RECORD, ClusterRecordCodec.write(leaderRecord));
        store.commitUrgently(transaction, result -> {
            LOG.info("leader_record.written status={} cause={}", result.status(), cause);
            onWritten.accept(result);
        });
    }
}
