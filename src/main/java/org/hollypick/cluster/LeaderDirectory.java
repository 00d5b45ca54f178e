package org.hollypick.cluster;

import org.hollypick.config.Settings;

/**
 * Who leads, as far as this controller knows: by the leader record in its replica, or by a newer one that a peer
 * reported while the replica cannot be updated. Confined to the event loop.
 */
final class LeaderDirectory {
    private final Settings settings;
    private final StoreReplica replica;
    /** The newest leader that a peer reported; null if none did. */
    private Leader leaderKnownToPeer;

    /** The entry that {@link #decoded} was read from: the record is read on each heartbeat and seldom changes. */
    private StoreReplica.Entry decodedEntry;

    private LeaderRecord decoded;

    LeaderDirectory(Settings settings, StoreReplica replica) {
        this.settings = settings;
        this.replica = replica;
    }

    /** Whether the replica was loaded, so that the leader record can be relied on. */
    boolean isLoaded() {
        return replica.isLoaded();
    }

    /**
     * The leader record in the replica.
     *
     * @return null if nobody has ever led, or the replica is not loaded
     */
    LeaderRecord leaderRecord() {
        StoreReplica.Entry entry = replica.get(StoreKeys.LEADER_RECORD);
        if (entry != decodedEntry) {
            decodedEntry = entry;
            decoded = entry == null ? null : ClusterRecordCodec.readLeaderRecord(entry.data());
        }
        return decoded;
    }

    /** The revision of the leader record in the replica, the fencing token of that leader; 0 if there is none. */
    long leaderRecordRevision() {
        return replica.revisionOf(StoreKeys.LEADER_RECORD);
    }

    /** The controller that the leader record names, which may be dead; null without a leader record. */
    String namedLeader() {
        LeaderRecord leaderRecord = leaderRecord();
        return leaderRecord == null ? null : leaderRecord.leader();
    }

    /** How many times the leader record was written; 0 if nobody has ever led. */
    long term() {
        LeaderRecord leaderRecord = leaderRecord();
        return leaderRecord == null ? 0 : leaderRecord.term();
    }

    /** Whether nobody can lead under the leader record: the named leader's member key is gone or was replaced. */
    boolean isVacant() {
        LeaderRecord leaderRecord = leaderRecord();
        return leaderRecord == null
                || replica.revisionOf(StoreKeys.member(leaderRecord.leader())) != leaderRecord.memberRevision();
    }

    /** The fencing token if the leader record names that incarnation of this controller, else 0. */
    long fencingToken(long memberRevision) {
        LeaderRecord leaderRecord = leaderRecord();
        boolean leads = leaderRecord != null
                && memberRevision != 0
                && leaderRecord.leader().equals(settings.node())
                && leaderRecord.memberRevision() == memberRevision;
        return leads ? leaderRecordRevision() : 0;
    }

    /** The present leader; null if nobody can lead. */
    Leader currentLeader() {
        if (peerKnowsNewerLeader()) {
            return leaderKnownToPeer;
        }
        if (isVacant()) {
            return null;
        }
        LeaderRecord leaderRecord = leaderRecord();
        return new Leader(leaderRecord.leader(), leaderRecord.memberRevision(), leaderRecordRevision());
    }

    /** Whether a peer reported a newer leader record than the replica shows. */
    boolean peerKnowsNewerLeader() {
        return leaderKnownToPeer != null && Long.compareUnsigned(leaderKnownToPeer.token(), leaderRecordRevision()) > 0;
    }

    /** Takes note of a leader that a peer reported. */
    void recordLeaderKnownToPeer(Leader leader) {
        if (leaderKnownToPeer == null || Long.compareUnsigned(leader.token(), leaderKnownToPeer.token()) > 0) {
            leaderKnownToPeer = leader;
        }
    }
}
