package org.hollypick.cluster;

import it.unimi.dsi.fastutil.longs.LongArrayList;
import it.unimi.dsi.fastutil.longs.LongList;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ClockConstants;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.io.EventLoop;

/**
 * Limits how often leaders resign. Each controller publishes its resignations in its member record. The minimum pause
 * before the next resignation doubles with each recent one in the cluster: every failover costs the remaining
 * controllers work, and another one is unlikely to help if the last ones did not. Confined to the event loop.
 */
final class ResignationBackoff {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;
    /** The wall-clock times of this controller's last resignations in milliseconds, oldest first. */
    private final LongArrayList ownResignationTimes = new LongArrayList();

    ResignationBackoff(EventLoop eventLoop, Settings settings, StoreReplica replica) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.replica = replica;
    }

    /** Records that this controller resigns now. */
    void recordResignation() {
        ownResignationTimes.add(eventLoop.wallClockMs());
        if (ownResignationTimes.size() > ElectionConstants.MAX_RESIGNATION_BACKOFF_DOUBLINGS) {
            ownResignationTimes.removeLong(0);
        }
    }

    /** Returns the times of this controller's last resignations, for its member record. */
    LongList ownResignationTimes() {
        return ownResignationTimes;
    }

    /** Returns whether enough time has passed since the last resignation in the cluster for another one. */
    boolean allowsResignation() {
        long wallClockMs = eventLoop.wallClockMs();
        LongArrayList recent = recentResignationTimes(wallClockMs);
        if (recent.isEmpty()) {
            return true;
        }
        long last = 0;
        for (long time : recent) {
            last = Math.max(last, time);
        }
        int doublings = Math.min(recent.size(), ElectionConstants.MAX_RESIGNATION_BACKOFF_DOUBLINGS);
        return wallClockMs - last >= ElectionConstants.RESIGNATION_BACKOFF_MS << doublings;
    }

    private LongArrayList recentResignationTimes(long wallClockMs) {
        LongArrayList times = new LongArrayList(ownResignationTimes);
        for (Settings.Sibling peer : settings.siblings()) {
            StoreReplica.Entry member = replica.get(StoreKeys.member(peer.node()));
            if (member != null) {
                times.addAll(ClusterRecordCodec.readMemberRecord(member.data()).resignationTimes());
            }
        }
        times.removeIf(time -> time > wallClockMs + ClockConstants.CLOCK_MARGIN_MS
                || wallClockMs - time > ElectionConstants.RECENT_RESIGNATION_MS);
        return times;
    }
}
