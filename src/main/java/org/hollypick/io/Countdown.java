package org.hollypick.io;

/** Detects the last of an expected number of callbacks. Confined to the event loop. */
public final class Countdown {
    private int remaining;

    /** {@code expected}: the number of events until the countdown is complete. */
    public Countdown(int expected) {
        this.remaining = expected;
    }

    /** Counts one event and returns whether it was the last one expected; returns true at most once. */
    public boolean countDown() {
        remaining--;
        return remaining == 0;
    }
}
