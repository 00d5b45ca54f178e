package org.hollypick.core.assignment;

import java.util.List;

/** A worker's report; {@code noticeS} is NaN when the cloud doesn't take the machine. Integers are unsigned. */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long token,
        double noticeS,
        List<TaskStatus> tasks) {
    public boolean newerThan(long otherSession, long otherTick) {
        int c = Long.compareUnsigned(incarnation, otherSession);
        return c > 0 || (c == 0 && Long.compareUnsigned(sequence, otherTick) > 0);
    }

    /** Whether the cloud announced that it takes the machine. */
    public boolean hasEvictionNotice() {
        return !Double.isNaN(noticeS);
    }
}
