package org.hollypick.store;

import org.hollypick.config.Settings;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.TokenBucket;

/**
 * This controller's share of the store's limits on requests and writes per second. Requests are split evenly among the
 * controllers. The leader has a larger share of the writes, since it records the progress of jobs and machines, and may
 * also use what the other controllers leave unused. Confined to the event loop.
 */
final class StoreRateBudget {
    private final TokenBucket requests;
    private final TokenBucket writes;
    private final int peerCount;
    /** Writes per second that the controllers together plan to make. */
    private final double plannedWritesPerSecond;
    /** The leader's variable share of the writes; null unless this controller leads. */
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

    /** Sets whether this controller leads, which determines its share of the writes. */
    void setLeader(boolean leader, long nowMillis) {
        double leaderRate =
                peerCount == 0 ? plannedWritesPerSecond : plannedWritesPerSecond * StoreConstants.LEADER_WRITE_SHARE;
        leaderShare = leader ? new WriteShare(plannedWritesPerSecond, leaderRate, nowMillis) : null;
        writes.setRate(leader || peerCount == 0 ? leaderRate : followerRate());
    }

    private double followerRate() {
        return plannedWritesPerSecond * (1 - StoreConstants.LEADER_WRITE_SHARE) / Math.max(1, peerCount);
    }

    /** Records that a watch reported this many writes, of any controller. */
    void writesObserved(int count, long nowMillis) {
        if (leaderShare != null) {
            leaderShare.writesObserved(count, nowMillis);
            applyLeaderShare(nowMillis);
        }
    }

    /** Records that this many writes of this controller were committed. */
    void ownWritesCommitted(int count, long nowMillis) {
        if (leaderShare != null) {
            leaderShare.ownWritesCommitted(count, nowMillis);
            applyLeaderShare(nowMillis);
        }
    }

    private void applyLeaderShare(long nowMillis) {
        writes.setRate(leaderShare.writesPerSecond(nowMillis), writes.capacity());
    }

    /** Whether a request may be sent now. */
    boolean allowsRequest(long nowMillis) {
        return requests.canTake(1, nowMillis);
    }

    /** Whether this many writes may be sent now. */
    boolean allowsWrites(int count, long nowMillis) {
        return writes.canTake(count, nowMillis);
    }

    /** Whether at least half of the largest allowed burst of writes is left. */
    boolean hasSpareWrites(long nowMillis) {
        return writes.canTake(writes.capacity() / 2, nowMillis);
    }

    /** Charges the budget for a request that is being sent, even if it exceeds the budget. */
    void requestSent(long nowMillis) {
        requests.take(1, nowMillis);
    }

    /** Charges the budget for writes that are being sent, even if they exceed the budget. */
    void writesSent(int count, long nowMillis) {
        writes.take(count, nowMillis);
    }

    /** Writes per second that this controller may make now. */
    double writesPerSecond() {
        return writes.tokensPerSecond();
    }
}
