package org.hollypick.control;

/**
 * Tells when a task that repeats at a fixed interval is due again. Due at once when new. Confined to the event loop.
 */
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

    /** The task ran at {@code now}: the interval starts anew. */
    void restart(long now) {
        nextDueAt = now + intervalMs;
    }

    /** If the task is due, starts the next interval and returns true. */
    boolean restartIfDue(long now) {
        boolean due = isDue(now);
        if (due) {
            restart(now);
        }
        return due;
    }
}
