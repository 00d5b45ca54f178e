package org.hollypick.agent;

import java.util.ArrayList;
import java.util.List;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;

/** What has been read of a heartbeat so far; fields that it doesn't have keep their defaults. */
final class HeartbeatBuilder {
    String machine = "";
    String address = "";
    String type = "";
    String zone = "";
    boolean spot;
    /** Whether an incarnation, and a sequence number, was read. */
    boolean hasIncarnation;

    boolean hasSequence;
    long incarnation;
    long sequence;
    long token;
    double evictionNoticeS = Double.NaN;
    final List<TaskStatus> tasks = new ArrayList<>();

    /** Whether everything was read without which a heartbeat means nothing. */
    boolean isComplete() {
        return !machine.isEmpty() && hasIncarnation && hasSequence;
    }

    Heartbeat build() {
        return new Heartbeat(machine, address, type, zone, spot, incarnation, sequence, token, evictionNoticeS, tasks);
    }
}
