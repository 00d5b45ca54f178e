package org.hollypick.cluster;

import org.hollypick.config.Settings;

/**
 * Whether all leaders so far have enforced the team limits that this controller enforces. A leader marks the leader
 * record with a hash of its limits only if its predecessors enforced the same ones. Confined to the event loop.
 */
final class LimitsMark {
    private final String ownLimitsMark;
    private final LeaderDirectory directory;

    LimitsMark(Settings settings, LeaderDirectory directory) {
        this.ownLimitsMark = settings.limitsMark();
        this.directory = directory;
    }

    /** Whether all leaders so far have enforced the limits of this controller. */
    boolean isKeptByAllLeaders() {
        LeaderRecord leaderRecord = directory.leaderRecord();
        return leaderRecord == null || leaderRecord.limitsMark().equals(ownLimitsMark);
    }

    /** The mark for the next leader record. */
    String next(boolean limitsKept) {
        return limitsKept ? ownLimitsMark : LeaderRecord.NO_LIMITS_MARK;
    }
}
