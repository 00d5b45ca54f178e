package org.hollypick.cluster;

import org.hollypick.config.Settings;

/**
 * Whether all leaders so far have enforced the team limits that this controller enforces. A leader marks the leader
 * record with a hash of its limits only if its predecessors enforced the same ones. Confined to the event loop.
 */
final class LimitsEnforcement {
    private final String ownLimitsHash;
    private final LeaderDirectory directory;

    LimitsEnforcement(Settings settings, LeaderDirectory directory) {
        this.ownLimitsHash = settings.limitsHash();
        this.directory = directory;
    }

    /** Whether all leaders so far have enforced the limits of this controller. */
    boolean enforcedByAllLeaders() {
        LeaderRecord leaderRecord = directory.leaderRecord();
        return leaderRecord == null || leaderRecord.limitsHash().equals(ownLimitsHash);
    }

    /** The mark for the next leader record. */
    String hashForNextRecord(boolean limitsEnforced) {
        return limitsEnforced ? ownLimitsHash : LeaderRecord.NO_LIMITS_HASH;
    }
}
