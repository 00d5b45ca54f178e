package org.hollypick.control.jobs;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hollypick.config.constants.JobConstants;
import org.hollypick.core.Job;
import org.hollypick.core.WorkerLeases;

/** A cancellation that was requested and isn't known to be durable. Confined to the event loop. */
final class PendingCancellation {
    private final Job job;
    private final long requestedAt;
    private final List<Consumer<Boolean>> waitingCallers = new ArrayList<>();
    private boolean writeInFlight;
    private long lastWrittenAt = WorkerLeases.NEVER;

    PendingCancellation(Job job, long requestedAt) {
        this.job = job;
        this.requestedAt = requestedAt;
    }

    Job job() {
        return job;
    }

    /** Whether the cancellation was requested before {@code time}. */
    boolean wasRequestedBefore(long time) {
        return requestedAt < time;
    }

    void addCaller(Consumer<Boolean> caller) {
        waitingCallers.add(caller);
    }

    /** Removes a caller; returns whether it was still waiting. */
    boolean removeCaller(Consumer<Boolean> caller) {
        return waitingCallers.remove(caller);
    }

    boolean hasWaitingCallers() {
        return !waitingCallers.isEmpty();
    }

    boolean isWriteInFlight() {
        return writeInFlight;
    }

    /** Whether the last write began long enough ago to be repeated without a waiting caller. */
    boolean isRewriteDue(long now) {
        return now - lastWrittenAt >= JobConstants.CANCELLATION_REWRITE_MS;
    }

    void writeStarted(long now) {
        writeInFlight = true;
        lastWrittenAt = now;
    }

    void writeFinished() {
        writeInFlight = false;
    }

    /** Passes the result to all waiting callers and removes them. */
    void answerCallers(boolean durable) {
        List<Consumer<Boolean>> callers = new ArrayList<>(waitingCallers);
        waitingCallers.clear();
        callers.forEach(caller -> caller.accept(durable));
    }
}
