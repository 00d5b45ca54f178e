package org.hollypick.core.assignment;

import java.util.List;

/**
 * A heartbeat of an agent, with the status of its machine. Numbers are unsigned.
 *
 * @param machine the machine's id
 * @param address where the agent takes direct calls; empty if unknown
 * @param type the machine type's name
 * @param spot whether the cloud may preempt the machine
 * @param incarnation of the agent: grows with each of its lives
 * @param sequence grows with each heartbeat of an incarnation
 * @param token the highest fencing token that the agent has seen
 * @param evictionNoticeS seconds until the cloud takes the machine; NaN unless it announced that
 * @param tasks all tasks on the machine
 */
public record Heartbeat(
        String machine,
        String address,
        String type,
        String zone,
        boolean spot,
        long incarnation,
        long sequence,
        long token,
        double evictionNoticeS,
        List<TaskStatus> tasks) {
    /** Whether it follows the heartbeat with this incarnation and sequence number. */
    public boolean newerThan(long otherIncarnation, long otherSequence) {
        int byIncarnation = Long.compareUnsigned(incarnation, otherIncarnation);
        return byIncarnation > 0 || (byIncarnation == 0 && Long.compareUnsigned(sequence, otherSequence) > 0);
    }

    /** Whether the cloud announced that it takes the machine. */
    public boolean hasEvictionNotice() {
        return !Double.isNaN(evictionNoticeS);
    }
}
