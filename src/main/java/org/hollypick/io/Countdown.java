package org.hollypick.io;

/** Counts events down to the last one, for callbacks that share a counter. Confined to the event loop. */
public final class Countdown {
    private int remaining;

    /** Expects that many events. */
    public Countdown(int expected) {
        this.remaining = expected;
    }

    /** Counts one event and returns whether it was the last one expected; true once at most. */
    public boolean countDown() {
        remaining--;
        return remaining == 0;
    }
}
