package org.hollypick.cluster;

import it.unimi.dsi.fastutil.longs.LongArrayList;
import it.unimi.dsi.fastutil.longs.LongList;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ClockConstants;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.io.EventLoop;

/**
 * Limits how often leaders resign. All controllers publish their resignations in their member records; the pause until
 * the next one doubles with each recent resignation in the cluster, since each failover costs the remaining controllers
 * work, and one more will hardly help when the last ones did not. Confined to the event loop.
 */
final class ResignationBackoff {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreReplica replica;
    /** When this controller resigned, by the time of day in milliseconds, oldest first. */
    private final LongArrayList ownResignationTimes = new LongArrayList();

    ResignationBackoff(EventLoop eventLoop, Settings settings, StoreReplica replica) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.replica = replica;
    }

    /** Notes that this controller resigns now. */
    void recordResignation() {
        ownResignationTimes.add(eventLoop.timeOfDay());
        if (ownResignationTimes.size() > ElectionConstants.RESIGNATION_BACKOFF_DOUBLINGS) {
            ownResignationTimes.removeLong(0);
        }
    }

    /** When this controller resigned lately, for its member record. */
    LongList ownResignationTimes() {
        return ownResignationTimes;
    }

    /** Whether the last resignation in the cluster is long enough ago for another one. */
    boolean allowsResignation() {
        long timeOfDay = eventLoop.timeOfDay();
        LongArrayList recent = recentResignationTimes(timeOfDay);
        if (recent.isEmpty()) {
            return true;
        }
        long last = 0;
        for (long time : recent) {
            last = Math.max(last, time);
        }
        int doublings = Math.min(recent.size(), ElectionConstants.RESIGNATION_BACKOFF_DOUBLINGS);
        return timeOfDay - last >= ElectionConstants.RESIGNATION_PAUSE_MS << doublings;
    }

    private LongArrayList recentResignationTimes(long timeOfDay) {
        LongArrayList times = new LongArrayList(ownResignationTimes);
        for (Settings.Sibling peer : settings.siblings()) {
            StoreReplica.Entry member = replica.get(StoreKeys.member(peer.node()));
            if (member != null) {
                times.addAll(ClusterRecordCodec.readMemberRecord(member.data()).resignationTimes());
            }
        }
        times.removeIf(time -> time > timeOfDay + ClockConstants.CLOCK_MARGIN_MS
                || timeOfDay - time > ElectionConstants.RESIGNATION_MEMORY_MS);
        return times;
    }
}
