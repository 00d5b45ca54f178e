package org.hollypick.cluster;

import org.hollypick.config.Settings;

/**
 * Tracks whether all leaders so far have enforced the team limits of this controller. A leader writes a hash of its
 * limits into the leader record if all earlier leaders enforced the same limits, or once all teams are within them.
 * Confined to the event loop.
 */
final class LimitsEnforcement {
    private final String ownLimitsHash;
    private final LeaderDirectory directory;

    LimitsEnforcement(Settings settings, LeaderDirectory directory) {
        this.ownLimitsHash = settings.limitsHash();
        this.directory = directory;
    }

    /**
     * Returns whether all leaders so far have enforced the limits of this controller; true if there was no leader yet.
     */
    boolean enforcedByAllLeaders() {
        LeaderRecord leaderRecord = directory.leaderRecord();
        return leaderRecord == null || leaderRecord.limitsHash().equals(ownLimitsHash);
    }

    /** Returns the limits hash for the next leader record. */
    String hashForNextRecord(boolean limitsEnforced) {
        return limitsEnforced ? ownLimitsHash : LeaderRecord.NO_LIMITS_HASH;
    }
}
