package org.hollypick.store;

import org.hollypick.config.constants.StoreConstants;

/**
 * How many changes a second a leader may make: its own share, and what the other controllers leave unused of theirs.
 * What they use is told by the watch, which shows every change; theirs are those that aren't the leader's own. The
 * others keep to their shares, and get them back within {@link StoreConstants#WRITE_SHARE_WINDOWS} seconds.
 */
final class WriteShare {
    private final double all;
    private final double least;
    /** Changes of the other controllers in the last seconds in which any change was seen. */
    private final int[] others = new int[StoreConstants.WRITE_SHARE_WINDOWS];

    private int windows;
    private long windowSince;
    private int seen;
    private int own;

    /**
     * {@code all}: changes a second that all controllers plan to make; {@code least}: the leader's own share of them.
     */
    WriteShare(double all, double least, long now) {
        this.all = all;
        this.least = least;
        this.windowSince = now;
    }

    /** The watch showed so many changes, of whichever controller. */
    void seen(int changes, long now) {
        roll(now);
        seen += changes;
    }

    /** So many changes of this controller were carried out. */
    void own(int changes, long now) {
        roll(now);
        own += changes;
    }

    private void roll(long now) {
        if (now - windowSince < StoreConstants.WRITE_SHARE_WINDOW_MS) {
            return;
        }
        // Without any, or after a long pause, the watch may have been held up, as in an outage: that tells nothing of
        // the others.
        boolean whole = now - windowSince < 2 * StoreConstants.WRITE_SHARE_WINDOW_MS;
        if (seen > 0) {
            if (whole) {
                others[windows++ % others.length] = seen - own;
            }
            seen = 0;
            own = 0;
        }
        windowSince = now;
    }

    /** Changes a second that the leader may make now. */
    double rate(long now) {
        roll(now);
        if (windows < others.length) {
            return least;
        }
        double sum = 0;
        for (int changes : others) {
            sum += changes;
        }
        double used = Math.max(0, sum) * 1000 / (others.length * StoreConstants.WRITE_SHARE_WINDOW_MS);
        return Math.max(least, all - used);
    }
}
