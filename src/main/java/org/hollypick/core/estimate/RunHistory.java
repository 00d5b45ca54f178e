package org.hollypick.core.estimate;

import java.util.Arrays;

/**
 * The most recent runs of one group of tasks, with a flag for those that were cut short. Durations are stored as
 * logarithms in steps of 2 %, so that a run takes five bytes. Durations are clamped, so that the stored ones are always
 * finite and positive. Confined to the event loop.
 */
public final class RunHistory {
    /** Maximum number of stored runs; the oldest is dropped first. */
    static final int MAX_RUNS = 128;
    /** Natural logarithm of the ratio of two neighbouring steps. */
    private static final double LOG_STEP = 0.02;

    /** Shorter durations are stored as this one. */
    private static final double MIN_SECONDS = 0.01;

    /** Longer durations are stored as this one. */
    private static final double MAX_SECONDS = 1e7;

    /** Number of newest completed runs that are compared with the older ones to detect a change of run times. */
    private static final int CHANGE_DETECTION_RUNS = 6;

    /** Minimum ratio between the medians of the newest and the older runs, or its inverse, that counts as a change. */
    private static final double CHANGE_DETECTION_RATIO = 3;

    /** Minimum number of older completed runs for the detection of a change. */
    private static final int MIN_OLDER_RUNS = 12;

    /** Minimum number of completed runs for comparing the spread of durations with that of ratios. */
    private static final int MIN_RUNS_FOR_SPREAD = 4;

    /** Durations in steps. */
    private final short[] times = new short[MAX_RUNS];
    /** Ratios of the duration to the owner's estimate, in steps. */
    private final short[] ratios = new short[MAX_RUNS];

    /** Whether the run was cut short. */
    private final boolean[] wasCutShort = new boolean[MAX_RUNS];

    private int count;
    /** The index at which the next run is stored. */
    private int next;
    /** The number of stored runs that weren't cut short. */
    private int completed;

    private long observedRuns;

    /** Encodes a duration in seconds, or a ratio, as a number of steps. */
    static short encode(double value) {
        double bounded = Double.isNaN(value) ? MIN_SECONDS : Math.min(MAX_SECONDS, Math.max(MIN_SECONDS, value));
        return (short) Math.round(Math.log(bounded) / LOG_STEP);
    }

    /** Decodes a number of steps, the inverse of {@link #encode}. */
    static double decode(double steps) {
        return Math.exp(steps * LOG_STEP);
    }

    /**
     * Adds a run.
     *
     * @param cutShort whether the task was stopped, lost or failed after that time instead of completing
     */
    void add(double seconds, double estimateS, boolean cutShort) {
        put(encode(seconds), encode(seconds / Math.max(1, estimateS)), cutShort);
        observedRuns++;
        if (!cutShort) {
            dropOutdatedRuns();
        }
    }

    private void put(short time, short ratio, boolean cutShort) {
        if (count == MAX_RUNS && !wasCutShort[next]) {
            completed--;
        }
        times[next] = time;
        ratios[next] = ratio;
        wasCutShort[next] = cutShort;
        completed += cutShort ? 0 : 1;
        next = (next + 1) % MAX_RUNS;
        count = Math.min(MAX_RUNS, count + 1);
    }

    /** The index of the run that was added {@code age} runs before the newest one. */
    private int indexOf(int age) {
        return Math.floorMod(next - 1 - age, MAX_RUNS);
    }

    /** Drops the older runs if the newest ones are all far longer or far shorter: they no longer predict new runs. */
    private void dropOutdatedRuns() {
        if (completed < MIN_OLDER_RUNS + CHANGE_DETECTION_RUNS) {
            return;
        }
        short[] newest = new short[CHANGE_DETECTION_RUNS];
        short[] older = new short[completed];
        int newestCount = 0;
        int olderCount = 0;
        int runsToKeep = 0;
        for (int i = 0; i < count; i++) {
            int at = indexOf(i);
            if (wasCutShort[at]) {
                continue;
            }
            if (newestCount < CHANGE_DETECTION_RUNS) {
                newest[newestCount++] = times[at];
                runsToKeep = i + 1;
            } else {
                older[olderCount++] = times[at];
            }
        }
        Arrays.sort(newest);
        Arrays.sort(older, 0, olderCount);
        double minShift = Math.log(CHANGE_DETECTION_RATIO) / LOG_STEP;
        double shift = newest[CHANGE_DETECTION_RUNS / 2] - older[olderCount / 2];
        boolean above = newest[0] > older[(int) (olderCount * 0.95)] && shift > minShift;
        boolean below = newest[CHANGE_DETECTION_RUNS - 1] < older[(int) (olderCount * 0.05)] && -shift > minShift;
        if (above || below) {
            keepNewest(runsToKeep);
        }
    }

    private void keepNewest(int runs) {
        short[][] kept = newest(runs);
        clear();
        putAll(kept);
    }

    private void clear() {
        count = 0;
        next = 0;
        completed = 0;
    }

    private void putAll(short[][] runs) {
        for (short[] run : runs) {
            put(run[0], run[1], run[2] == 1);
        }
    }

    /** The number of stored runs that weren't cut short. */
    int completedRuns() {
        return completed;
    }

    /** The number of runs ever added, including dropped ones. */
    long observedRuns() {
        return observedRuns;
    }

    /**
     * The survival curve, in seconds, of tasks that their owner estimates at {@code estimateS} seconds. The curve is
     * computed from the ratios to the estimates if these vary less than the durations.
     */
    SurvivalCurve survivalCurve(double estimateS) {
        boolean byRatio = estimateS > 0 && spread(ratios) < spread(times);
        double scale = byRatio ? Math.max(1, estimateS) : 1;
        long[] sorted = new long[count];
        for (int i = 0; i < count; i++) {
            // A run that was cut short sorts after completed runs of the same duration, since it would have run longer.
            sorted[i] = (long) (byRatio ? ratios[i] : times[i]) * 2 + (wasCutShort[i] ? 1 : 0);
        }
        Arrays.sort(sorted);
        double[] seconds = new double[completed];
        double[] survival = new double[completed];
        double surviving = 1;
        int steps = 0;
        for (int i = 0; i < count; i++) {
            if ((sorted[i] & 1) == 0) {
                surviving *= 1 - 1.0 / (count - i);
                seconds[steps] = decode((double) (sorted[i] >> 1)) * scale;
                survival[steps++] = surviving;
            }
        }
        return new SurvivalCurve(seconds, survival);
    }

    /**
     * The interquartile range of the completed runs in steps; with too few runs, 0 for ratios and the maximum for
     * times.
     */
    private double spread(short[] values) {
        if (completed < MIN_RUNS_FOR_SPREAD) {
            return values == times
                    ? Double.MAX_VALUE
                    : 0; // with few runs, ratios to the owner's estimate predict better
        }
        short[] sorted = new short[completed];
        int length = 0;
        for (int i = 0; i < count; i++) {
            if (!wasCutShort[i]) {
                sorted[length++] = values[i];
            }
        }
        Arrays.sort(sorted);
        return sorted[length * 3 / 4] - sorted[length / 4];
    }

    // ---- storage ----

    /** The newest runs, oldest first; each as its duration in steps, its ratio in steps, and 1 if cut short, else 0. */
    short[][] newest(int maxRuns) {
        int length = Math.min(maxRuns, count);
        short[][] runs = new short[length][];
        for (int i = 0; i < length; i++) {
            int at = indexOf(length - 1 - i);
            runs[i] = new short[] {times[at], ratios[at], (short) (wasCutShort[at] ? 1 : 0)};
        }
        return runs;
    }

    /** Adds the stored runs of an earlier leader as older than all runs that this leader has observed. */
    void restore(short[][] runs, long observedBefore) {
        short[][] ownRuns = newest(MAX_RUNS);
        clear();
        putAll(runs);
        putAll(ownRuns);
        observedRuns += observedBefore;
    }
}
