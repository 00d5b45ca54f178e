package org.hollypick.control;

/** Tracks when a periodic task is due. A new timer is due at once. Confined to the event loop. */
final class IntervalTimer {
    private final long intervalMs;
    private long nextDueAt;

    IntervalTimer(long intervalMs) {
        this.intervalMs = intervalMs;
    }

    /** Whether the task is due at {@code now}, by the event loop's clock in milliseconds. */
    boolean isDue(long now) {
        return now >= nextDueAt;
    }

    /** Starts a new interval at {@code now}. */
    void restart(long now) {
        nextDueAt = now + intervalMs;
    }

    /** Starts a new interval if the task is due; returns whether it was. */
    boolean restartIfDue(long now) {
        boolean due = isDue(now);
        if (due) {
            restart(now);
        }
        return due;
    }
}
