package org.hollypick.core.assignment;

import java.util.List;

/** A worker's report; {@code noticeS} is NaN when the cloud doesn't take the machine. Integers are unsigned. */
public record Heartbeat(
        String machine,
        String addr,
        String type,
        String zone,
        boolean spot,
        long session,
        long tick,
        long token,
        double noticeS,
        List<TaskStatus> tasks) {
    public boolean newerThan(long otherSession, long otherTick) {
        int c = Long.compareUnsigned(session, otherSession);
        return c > 0 || (c == 0 && Long.compareUnsigned(tick, otherTick) > 0);
    }
}
