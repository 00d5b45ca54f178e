package org.hollypick.agent;

import java.util.ArrayList;
import java.util.List;
import org.hollypick.core.assignment.Heartbeat;
import org.hollypick.core.assignment.TaskStatus;

/** Collects the fields of a heartbeat while it is decoded; missing fields keep their defaults. */
final class HeartbeatBuilder {
    String machine = "";
    String address = "";
    String type = "";
    String zone = "";
    boolean spot;
    /** Whether a valid incarnation was read. */
    boolean hasIncarnation;

    /** Whether a valid sequence number was read. */
    boolean hasSequence;

    long incarnation;
    long sequence;
    long token;
    double evictionNoticeS = Double.NaN;
    final List<TaskStatus> tasks = new ArrayList<>();

    /** Whether all mandatory fields were read: the machine id, the incarnation and the sequence number. */
    boolean isComplete() {
        return !machine.isEmpty() && hasIncarnation && hasSequence;
    }

    Heartbeat build() {
        return new Heartbeat(machine, address, type, zone, spot, incarnation, sequence, token, evictionNoticeS, tasks);
    }
}
