package org.hollypick.core.assignment;

import java.util.List;

/**
 * A heartbeat of an agent, with the state of its machine. Incarnation, sequence number and token are unsigned.
 *
 * @param machine the machine's id
 * @param address where the agent accepts direct calls; empty if unknown
 * @param type the machine type's name
 * @param spot whether the machine is a spot instance, which the cloud may reclaim
 * @param incarnation the agent's incarnation, which increases when its lease expires and its tasks end
 * @param sequence the sequence number, which increases with each heartbeat of an incarnation
 * @param token the highest fencing token that the agent has seen
 * @param evictionNoticeS seconds until the cloud reclaims the machine; NaN if it has announced no eviction
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
    /** The token of an agent that hasn't seen any. */
    private static final long NO_TOKEN = 0;

    /** Whether this heartbeat is newer than the one with the given incarnation and sequence number. */
    public boolean newerThan(long otherIncarnation, long otherSequence) {
        int byIncarnation = Long.compareUnsigned(incarnation, otherIncarnation);
        return byIncarnation > 0 || (byIncarnation == 0 && Long.compareUnsigned(sequence, otherSequence) > 0);
    }

    /** Whether the agent had received no message of any leader, as just after its start. */
    public boolean precedesAnyToken() {
        return token == NO_TOKEN;
    }

    /** Whether the cloud has announced that it will reclaim the machine. */
    public boolean hasEvictionNotice() {
        return !Double.isNaN(evictionNoticeS);
    }
}
