package org.hollypick.core.estimate;

import java.util.Arrays;

/**
 * The last runs of a kind, those that were cut short marked. Times are kept as logarithms in steps of 2 %, so that a
 * run takes five bytes. Whatever goes in, nothing but finite, positive times comes out.
 */
public final class History {
    static final int SIZE = 128;
    private static final double STEP = 0.02;
    /** Seconds; shorter and longer runs count as these. */
    private static final double LEAST_S = 0.01;

    private static final double MOST_S = 1e7;
    /** Ended runs in a row that show that the kind has changed, and by how much their median has to differ. */
    private static final int CHANGED_RUNS = 6;

    private static final double CHANGED_TIMES = 3;
    private static final int CHANGED_FROM = 12;

    private final short[] times = new short[SIZE];
    /** Ratios to the owner's estimate, in the same steps. */
    private final short[] ratios = new short[SIZE];

    private final boolean[] cut = new boolean[SIZE];
    private int count;
    private int next;
    private int ended;
    private long seen;

    static short log(double value) {
        double v = Double.isNaN(value) ? LEAST_S : Math.min(MOST_S, Math.max(LEAST_S, value));
        return (short) Math.round(Math.log(v) / STEP);
    }

    static double value(double log) {
        return Math.exp(log * STEP);
    }

    /** A run: {@code cutShort}: it was stopped, lost or failed after that time. */
    void add(double seconds, double estimateS, boolean cutShort) {
        put(log(seconds), log(seconds / Math.max(1, estimateS)), cutShort);
        seen++;
        if (!cutShort) {
            forgetWhatNoLongerHolds();
        }
    }

    private void put(short time, short ratio, boolean cutShort) {
        if (count == SIZE && !cut[next]) {
            ended--;
        }
        times[next] = time;
        ratios[next] = ratio;
        cut[next] = cutShort;
        ended += cutShort ? 0 : 1;
        next = (next + 1) % SIZE;
        count = Math.min(SIZE, count + 1);
    }

    /** The index of the run that came so many runs ago; 0: the newest. */
    private int ago(int runs) {
        return Math.floorMod(next - 1 - runs, SIZE);
    }

    private void forgetWhatNoLongerHolds() {
        if (ended < CHANGED_FROM + CHANGED_RUNS) {
            return;
        }
        short[] newest = new short[CHANGED_RUNS];
        short[] older = new short[ended];
        int newer = 0;
        int rest = 0;
        int keep = 0;
        for (int i = 0; i < count; i++) {
            int at = ago(i);
            if (cut[at]) {
                continue;
            }
            if (newer < CHANGED_RUNS) {
                newest[newer++] = times[at];
                keep = i + 1;
            } else {
                older[rest++] = times[at];
            }
        }
        Arrays.sort(newest);
        Arrays.sort(older, 0, rest);
        double apart = Math.log(CHANGED_TIMES) / STEP;
        double shift = newest[CHANGED_RUNS / 2] - older[rest / 2];
        boolean above = newest[0] > older[(int) (rest * 0.95)] && shift > apart;
        boolean below = newest[CHANGED_RUNS - 1] < older[(int) (rest * 0.05)] && -shift > apart;
        if (above || below) {
            keepNewest(keep);
        }
    }

    private void keepNewest(int runs) {
        short[] t = new short[runs];
        short[] r = new short[runs];
        boolean[] c = new boolean[runs];
        for (int i = 0; i < runs; i++) {
            int at = ago(runs - 1 - i);
            t[i] = times[at];
            r[i] = ratios[at];
            c[i] = cut[at];
        }
        count = 0;
        next = 0;
        ended = 0;
        for (int i = 0; i < runs; i++) {
            put(t[i], r[i], c[i]);
        }
    }

    /** Ended runs that are known. */
    int ended() {
        return ended;
    }

    /** All that were ever told. */
    long seen() {
        return seen;
    }

    /** Runs that say how long one with that estimate takes: a survival curve over seconds. */
    QuantileCurve curve(double estimateS) {
        boolean byRatio = estimateS > 0 && spread(ratios) < spread(times);
        double scale = byRatio ? Math.max(1, estimateS) : 1;
        long[] sorted = new long[count];
        for (int i = 0; i < count; i++) {
            // a run that was cut short at a time was still under way when those of that time ended
            sorted[i] = (long) (byRatio ? ratios[i] : times[i]) * 2 + (cut[i] ? 1 : 0);
        }
        Arrays.sort(sorted);
        double[] at = new double[ended];
        double[] alive = new double[ended];
        double survival = 1;
        int steps = 0;
        for (int i = 0; i < count; i++) {
            if ((sorted[i] & 1) == 0) {
                survival *= 1 - 1.0 / (count - i);
                at[steps] = value((double) (sorted[i] >> 1)) * scale;
                alive[steps++] = survival;
            }
        }
        return new QuantileCurve(at, alive);
    }

    /** How far the middle half of the ended runs lies apart, in steps; nothing known: infinitely. */
    private double spread(short[] of) {
        if (ended < 4) {
            return of == times ? Double.MAX_VALUE : 0; // nothing known yet: the owner's estimate is the better start
        }
        short[] some = new short[ended];
        int n = 0;
        for (int i = 0; i < count; i++) {
            if (!cut[i]) {
                some[n++] = of[i];
            }
        }
        Arrays.sort(some);
        return some[n * 3 / 4] - some[n / 4];
    }

    // ---- records ----

    /** The newest runs, oldest first: time and ratio in steps, and whether it was cut short. */
    short[][] newest(int most) {
        int n = Math.min(most, count);
        short[][] runs = new short[n][];
        for (int i = 0; i < n; i++) {
            int at = ago(n - 1 - i);
            runs[i] = new short[] {times[at], ratios[at], (short) (cut[at] ? 1 : 0)};
        }
        return runs;
    }

    /** Runs from a record come before those of this term. */
    void restore(short[][] runs, long seenThen) {
        short[][] own = newest(SIZE);
        count = 0;
        next = 0;
        ended = 0;
        for (short[] r : runs) {
            put(r[0], r[1], r[2] == 1);
        }
        for (short[] r : own) {
            put(r[0], r[1], r[2] == 1);
        }
        seen += seenThen;
    }
}
