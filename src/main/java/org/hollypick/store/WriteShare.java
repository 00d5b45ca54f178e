package org.hollypick.store;

import org.hollypick.config.constants.StoreConstants;

/**
 * The write rate of a leader: its own share, plus what the other controllers leave unused of theirs. The leader
 * observes all writes through its watch; those that aren't its own are the others'. The other controllers always keep
 * to their shares. When their writes increase, the leader's rate decreases accordingly within
 * {@link StoreConstants#WRITE_SHARE_WINDOWS} windows. Confined to the event loop.
 */
final class WriteShare {
    private static final double MILLIS_PER_SECOND = 1000;

    private final double plannedWritesPerSecond;
    private final double minimumWritesPerSecond;
    /** Writes of the other controllers in the latest windows in which any write was observed; a ring buffer. */
    private final int[] othersWritesByWindow = new int[StoreConstants.WRITE_SHARE_WINDOWS];

    private int countedWindows;
    private long windowStartedAtMillis;
    private int observedInWindow;
    private int ownInWindow;

    /**
     * {@code plannedWritesPerSecond}: the writes that all controllers together plan to make;
     * {@code minimumWritesPerSecond}: the leader's own share of these.
     */
    WriteShare(double plannedWritesPerSecond, double minimumWritesPerSecond, long nowMillis) {
        this.plannedWritesPerSecond = plannedWritesPerSecond;
        this.minimumWritesPerSecond = minimumWritesPerSecond;
        this.windowStartedAtMillis = nowMillis;
    }

    /** Records that a watch reported this many writes, of any controller. */
    void writesObserved(int count, long nowMillis) {
        closeElapsedWindow(nowMillis);
        observedInWindow += count;
    }

    /** Records that this many writes of this controller were committed. */
    void ownWritesCommitted(int count, long nowMillis) {
        closeElapsedWindow(nowMillis);
        ownInWindow += count;
    }

    private void closeElapsedWindow(long nowMillis) {
        long elapsedMillis = nowMillis - windowStartedAtMillis;
        if (elapsedMillis < StoreConstants.WRITE_SHARE_WINDOW_MS) {
            return;
        }
        // A window without an observed write, or one that lasted too long, may be caused by a delayed watch, as in an
        // outage. Such a window doesn't show how much the other controllers write, so it isn't counted.
        boolean onTime = elapsedMillis < 2 * StoreConstants.WRITE_SHARE_WINDOW_MS;
        if (observedInWindow > 0) {
            if (onTime) {
                othersWritesByWindow[countedWindows++ % othersWritesByWindow.length] = observedInWindow - ownInWindow;
            }
            observedInWindow = 0;
            ownInWindow = 0;
        }
        windowStartedAtMillis = nowMillis;
    }

    /** Writes per second that the leader may make now. */
    double writesPerSecond(long nowMillis) {
        closeElapsedWindow(nowMillis);
        if (countedWindows < othersWritesByWindow.length) {
            return minimumWritesPerSecond;
        }
        return Math.max(minimumWritesPerSecond, plannedWritesPerSecond - othersWritesPerSecond());
    }

    private double othersWritesPerSecond() {
        double sum = 0;
        for (int writes : othersWritesByWindow) {
            sum += writes;
        }
        return Math.max(0, sum)
                * MILLIS_PER_SECOND
                / (othersWritesByWindow.length * StoreConstants.WRITE_SHARE_WINDOW_MS);
    }
}
