package org.hollypick.cluster;

import org.hollypick.config.Settings;

/**
 * The current leader as known to this controller: from the leader record in its replica, or from a newer record that a
 * peer reported while the replica cannot be updated. Confined to the event loop.
 */
final class LeaderDirectory {
    private final Settings settings;
    private final StoreReplica replica;
    /** The newest leader that a peer reported; null if none did. */
    private Leader leaderKnownToPeer;

    /** The entry from which {@link #decoded} was read: the record is needed for each heartbeat and rarely changes. */
    private StoreReplica.Entry decodedEntry;

    private LeaderRecord decoded;

    LeaderDirectory(Settings settings, StoreReplica replica) {
        this.settings = settings;
        this.replica = replica;
    }

    /** Returns whether the replica has been loaded, without which the leader record is unknown. */
    boolean isLoaded() {
        return replica.isLoaded();
    }

    /**
     * Returns the leader record in the replica.
     *
     * @return null if there has been no leader yet, or the replica is not loaded
     */
    LeaderRecord leaderRecord() {
        StoreReplica.Entry entry = replica.get(StoreKeys.LEADER_RECORD);
        if (entry != decodedEntry) {
            decodedEntry = entry;
            decoded = entry == null ? null : ClusterRecordCodec.readLeaderRecord(entry.data());
        }
        return decoded;
    }

    /**
     * Returns the revision of the leader record in the replica, which is the fencing token of that leader; 0 without
     * one.
     */
    long leaderRecordRevision() {
        return replica.revisionOf(StoreKeys.LEADER_RECORD);
    }

    /** Returns the controller that the leader record names, even if it has crashed; null without a leader record. */
    String namedLeader() {
        LeaderRecord leaderRecord = leaderRecord();
        return leaderRecord == null ? null : leaderRecord.leader();
    }

    /** Returns the number of times that the leader record was written; 0 if there has been no leader yet. */
    long term() {
        LeaderRecord leaderRecord = leaderRecord();
        return leaderRecord == null ? 0 : leaderRecord.term();
    }

    /**
     * Returns whether leadership is vacant: there is no leader record, or the named leader's member key was deleted or
     * replaced.
     */
    boolean isVacant() {
        LeaderRecord leaderRecord = leaderRecord();
        return leaderRecord == null
                || replica.revisionOf(StoreKeys.member(leaderRecord.leader())) != leaderRecord.memberRevision();
    }

    /** Returns the fencing token if the leader record names the given incarnation of this controller, else 0. */
    long fencingToken(long memberRevision) {
        LeaderRecord leaderRecord = leaderRecord();
        boolean leads = leaderRecord != null
                && memberRevision != 0
                && leaderRecord.leader().equals(settings.node())
                && leaderRecord.memberRevision() == memberRevision;
        return leads ? leaderRecordRevision() : 0;
    }

    /** Returns the current leader; null if leadership is vacant and no peer reported a newer leader. */
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

    /** Returns whether a peer reported a newer leader record than the replica contains. */
    boolean peerKnowsNewerLeader() {
        return leaderKnownToPeer != null && Long.compareUnsigned(leaderKnownToPeer.token(), leaderRecordRevision()) > 0;
    }

    /** Records a leader that a peer reported, unless a newer one is known. */
    void recordLeaderKnownToPeer(Leader leader) {
        if (leaderKnownToPeer == null || Long.compareUnsigned(leader.token(), leaderKnownToPeer.token()) > 0) {
            leaderKnownToPeer = leader;
        }
    }
}
