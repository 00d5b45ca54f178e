package org.hollypick.relay;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.hollypick.config.constants.RelayConstants;

/**
 * FIFO queue of heartbeats that wait to be relayed to the leader, bounded in number and bytes. Confined to the event
 * loop.
 */
final class HeartbeatQueue {
    private final ArrayDeque<QueuedHeartbeat> heartbeats = new ArrayDeque<>();
    private int bytes;

    boolean isEmpty() {
        return heartbeats.isEmpty();
    }

    int size() {
        return heartbeats.size();
    }

    /** Whether the queue's bounds leave no capacity for this heartbeat. */
    boolean lacksCapacityFor(byte[] heartbeat) {
        return heartbeats.size() >= RelayConstants.RELAY_QUEUE_HEARTBEATS
                || bytes + heartbeat.length > RelayConstants.RELAY_QUEUE_BYTES;
    }

    void add(QueuedHeartbeat queued) {
        heartbeats.add(queued);
        bytes += queued.heartbeat().length;
    }

    /** Removes and returns the oldest heartbeat; the queue must not be empty. */
    QueuedHeartbeat poll() {
        QueuedHeartbeat oldest = heartbeats.poll();
        bytes -= oldest.heartbeat().length;
        return oldest;
    }

    /** Removes the oldest heartbeats, as many as fit into one batch, and returns them in order. */
    List<QueuedHeartbeat> takeBatch() {
        List<QueuedHeartbeat> batch = new ArrayList<>();
        int batchBytes = 0;
        while (!heartbeats.isEmpty()
                && batch.size() < RelayConstants.RELAY_BATCH_HEARTBEATS
                && batchBytes + heartbeats.peek().heartbeat().length <= RelayConstants.RELAY_BATCH_BYTES) {
            QueuedHeartbeat next = poll();
            batch.add(next);
            batchBytes += next.heartbeat().length;
        }
        return batch;
    }
}
