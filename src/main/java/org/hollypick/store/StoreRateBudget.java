package org.hollypick.store;

import org.hollypick.config.Settings;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.TokenBucket;

/**
 * This controller's share of the store's limits: requests and writes a second. The requests are split evenly among the
 * controllers. The leader's share of the writes is larger, since it records progress and machines, and it also has what
 * the others leave unused. Confined to the event loop.
 */
final class StoreRateBudget {
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final int peerCount;
    /** Writes a second that all controllers plan to make together. */
    private final double plannedWritesPerSecond;
    /** The leader's changing share of the writes; null unless this controller leads. */
    private WriteShare leaderShare;

    StoreRateBudget(Settings settings, long nowMillis) {
        this.peerCount = settings.siblings().size();
        this.plannedWritesPerSecond = settings.stateWriteRps() * StoreConstants.STORE_RATE_SHARE;
        int controllerCount = peerCount + 1;
        this.requests =
                new TokenBucket(settings.stateRps() * StoreConstants.STORE_RATE_SHARE / controllerCount, nowMillis);
        this.writes = new TokenBucket(1, nowMillis);
        setLeader(false, nowMillis);
    }

    /** Follows this controller's role, which decides its share of the writes. */
    void setLeader(boolean leader, long nowMillis) {
        double leaderRate =
                peerCount == 0 ? plannedWritesPerSecond : plannedWritesPerSecond * StoreConstants.LEADER_WRITE_SHARE;
        leaderShare = leader ? new WriteShare(plannedWritesPerSecond, leaderRate, nowMillis) : null;
        writes.setRate(leader || peerCount == 0 ? leaderRate : followerRate());
    }

    private double followerRate() {
        return plannedWritesPerSecond * (1 - StoreConstants.LEADER_WRITE_SHARE) / Math.max(1, peerCount);
    }

    /** A watch showed that many writes, of any controller. */
    void writesObserved(int count, long nowMillis) {
        if (leaderShare != null) {
            leaderShare.writesObserved(count, nowMillis);
            followLeaderShare(nowMillis);
        }
    }

    /** That many writes of this controller were committed. */
    void ownWritesCommitted(int count, long nowMillis) {
        if (leaderShare != null) {
            leaderShare.ownWritesCommitted(count, nowMillis);
            followLeaderShare(nowMillis);
        }
    }

    private void followLeaderShare(long nowMillis) {
        writes.setRate(leaderShare.writesPerSecond(nowMillis), writes.size());
    }

    /** Whether a request may be sent now. */
    boolean allowsRequest(long nowMillis) {
        return requests.has(1, nowMillis);
    }

    /** Whether that many writes may be sent now. */
    boolean allowsWrites(int count, long nowMillis) {
        return writes.has(count, nowMillis);
    }

    /** Whether at least half of the writes that may be sent at once are left. */
    boolean hasSpareWrites(long nowMillis) {
        return writes.has(writes.size() / 2, nowMillis);
    }

    /** Accounts for a request that is being sent, allowed or not. */
    void requestSent(long nowMillis) {
        requests.take(1, nowMillis);
    }

    /** Accounts for writes that are being sent, allowed or not. */
    void writesSent(int count, long nowMillis) {
        writes.take(count, nowMillis);
    }

    /** Writes a second that this controller may make now. */
    double writesPerSecond() {
        return writes.rate();
    }
}
