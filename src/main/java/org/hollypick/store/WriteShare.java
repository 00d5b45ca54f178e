package org.hollypick.store;

import org.hollypick.config.constants.StoreConstants;

/**
 * How many writes a second a leader may make: its own share, and what the other controllers leave unused of theirs. A
 * watch shows the leader every write; the others' are those that aren't its own. The others keep to their shares, and
 * get them back within {@link StoreConstants#WRITE_SHARE_WINDOWS} windows. Confined to the event loop.
 */
final class WriteShare {
    private static final double MILLIS_PER_SECOND = 1000;

    private final double plannedWritesPerSecond;
    private final double minimumWritesPerSecond;
    /** Writes of the other controllers in the last windows in which any write was observed; a ring. */
    private final int[] othersWritesByWindow = new int[StoreConstants.WRITE_SHARE_WINDOWS];

    private int countedWindows;
    private long windowStartedAtMillis;
    private int observedInWindow;
    private int ownInWindow;

    /**
     * {@code plannedWritesPerSecond}: what all controllers plan to write together; {@code minimumWritesPerSecond}: the
     * leader's own share of that.
     */
    WriteShare(double plannedWritesPerSecond, double minimumWritesPerSecond, long nowMillis) {
        this.plannedWritesPerSecond = plannedWritesPerSecond;
        this.minimumWritesPerSecond = minimumWritesPerSecond;
        this.windowStartedAtMillis = nowMillis;
    }

    /** A watch showed that many writes, of any controller. */
    void writesObserved(int count, long nowMillis) {
        closeElapsedWindow(nowMillis);
        observedInWindow += count;
    }

    /** That many writes of this controller were committed. */
    void ownWritesCommitted(int count, long nowMillis) {
        closeElapsedWindow(nowMillis);
        ownInWindow += count;
    }

    private void closeElapsedWindow(long nowMillis) {
        long elapsedMillis = nowMillis - windowStartedAtMillis;
        if (elapsedMillis < StoreConstants.WRITE_SHARE_WINDOW_MS) {
            return;
        }
        // A window without any write, or one that lasted too long, may be due to a watch that was held up, as in an
        // outage: it shows nothing about the others.
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

    /** Writes a second that the leader may make now. */
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
