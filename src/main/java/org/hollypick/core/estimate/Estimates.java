package org.hollypick.core.estimate;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.hollypick.core.JobSpec;

/**
 * What the runs of tasks teach: how long the next one of a kind takes. Bounded, whatever the number of kinds and
 * machines.
 */
public final class Estimates {
    /** Kinds that are known at most; the one that ran least recently is dropped first. */
    static final int KINDS = 2_000;

    private static final int MACHINES = 4_000;
    /** Ended runs from which on a group speaks for itself, and from which on its band isn't widened any more. */
    private static final int SPEAKS = 5;

    private static final int SURE = 20;
    /** Runs in a row after which a machine that takes so many times as long teaches nothing. */
    private static final int SLOW_RUNS = 3;

    private static final double SLOW_TIMES = 2;

    private final MeanRatio means = new MeanRatio();
    private final boolean learns;
    private final Map<String, History> kinds = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, History> eldest) {
            return size() > KINDS;
        }
    };
    /** How many of a machine's last runs in a row were slow. */
    private final Map<String, Integer> slow = new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Integer> eldest) {
            return size() > MACHINES;
        }
    };

    private final Set<String> dirty = new LinkedHashSet<>();

    /** {@code learns}: more than the mean that rentals reckon with. */
    public Estimates(boolean learns) {
        this.learns = learns;
    }

    /** So many of a task's groups are of its own kind. */
    private static final int OWN_GROUPS = 2;

    /** The groups that a task belongs to, the narrowest first. */
    private static List<String> groups(JobSpec s) {
        String kind = s.jobClass() + "/" + s.team();
        return List.of(
                kind + "/" + Math.round(Math.log(Math.max(0.1, s.cpus())) / Math.log(2)), kind, "/" + s.team(), "");
    }

    /** The owner's estimate; nothing odd from outside gets further than this. */
    private static double estimateS(JobSpec spec) {
        return spec.estimateS() > 0 && spec.estimateS() <= 1e7 ? spec.estimateS() : 0;
    }

    /** What rentals reckon with: a mean. */
    public double meanS(JobSpec spec) {
        return means.expectedS(spec);
    }

    /** A task ran that long on a machine, and was done; or was cut short: stopped, failed or lost. */
    public void observe(JobSpec spec, String machine, double ranS, boolean cutShort) {
        if (!(ranS >= 0) || spec.service()) {
            return; // a clock that jumped, or a task that has no end of its own
        }
        if (!cutShort) {
            means.finished(spec, ranS);
        }
        if (!learns) {
            return;
        }
        List<String> groups = groups(spec);
        if (!cutShort) {
            PredictionInterval expected = interval(spec, groups, 0);
            boolean late = expected.runs() >= SPEAKS && ranS > SLOW_TIMES * expected.p90();
            int run = late ? slow.getOrDefault(machine, 0) + 1 : 0;
            slow.put(machine, run);
            if (run >= SLOW_RUNS && others(machine)) {
                return;
            }
        }
        for (String group : groups) {
            kinds.computeIfAbsent(group, k -> new History()).add(ranS, estimateS(spec), cutShort);
        }
        dirty.addAll(groups.subList(0, OWN_GROUPS));
    }

    /** Most machines are in line: if all are slow, the kind has changed and no machine is to blame. */
    private boolean others(String machine) {
        int inLine = 0;
        for (Map.Entry<String, Integer> e : slow.entrySet()) {
            inLine += e.getValue() == 0 && !e.getKey().equals(machine) ? 1 : 0;
        }
        return inLine * 2 > slow.size();
    }

    /** How long such a task takes in all, given that it has run for {@code ranS} already. */
    public PredictionInterval interval(JobSpec spec, double ranS) {
        return interval(spec, groups(spec), ranS);
    }

    private PredictionInterval interval(JobSpec spec, List<String> groups, double ranS) {
        History best = null;
        String from = "";
        for (String group : groups) {
            History h = kinds.get(group);
            if (h != null && h.ended() > 0 && (best == null || best.ended() < SPEAKS)) {
                best = h;
                from = group.isEmpty() ? "all" : group;
            }
        }
        double ran = Math.max(0, ranS);
        if (best == null) {
            double guess = Math.max(Math.max(1, estimateS(spec)), ran);
            return new PredictionInterval(guess / 4, guess, guess * 8, 0, "no history: the owner's estimate");
        }
        QuantileCurve curve = best.curve(estimateS(spec));
        PredictionInterval interval = new PredictionInterval(
                curve.quantile(0.1, ran), curve.quantile(0.5, ran), curve.quantile(0.9, ran), best.ended(), from);
        boolean own = groups.indexOf(from) >= 0 && groups.indexOf(from) < OWN_GROUPS;
        double thin = best.ended() >= SURE ? 1 : 1 + 2.0 / (1 + best.ended());
        PredictionInterval wide = interval.widened(thin * (own ? 1 : 1.5));
        return new PredictionInterval(
                Math.max(wide.p10(), ran), wide.p50(), wide.p90(), wide.runs(), own ? from : "borrowed from " + from);
    }

    /** A source of run times for one kind of task: the same draws for the same seed. */
    Sampler sampler(JobSpec spec) {
        return new Sampler(spec);
    }

    /** Draws how long tasks of a kind take, given how long they have run. */
    final class Sampler {
        private final double[] fresh = new double[33];
        private final JobSpec spec;
        private final PredictionInterval interval;

        Sampler(JobSpec spec) {
            this.spec = spec;
            this.interval = Estimates.this.interval(spec, 0);
            for (int i = 0; i < fresh.length; i++) {
                fresh[i] = at(interval, (i + 0.5) / fresh.length);
            }
        }

        PredictionInterval interval() {
            return interval;
        }

        double draw(UniformRandomProvider random, double ranS) {
            if (ranS <= 0) {
                return fresh[random.nextInt(fresh.length)];
            }
            return Math.max(ranS, at(Estimates.this.interval(spec, ranS), random.nextDouble()));
        }

        /** Between the three points by logarithms, and as far beyond the outer ones. */
        private static double at(PredictionInterval b, double q) {
            double low = Math.log(Math.max(1e-3, b.p10()));
            double mid = Math.log(Math.max(1e-3, b.p50()));
            double high = Math.log(Math.max(1e-3, b.p90()));
            double v = q < 0.5 ? low + (q - 0.1) / 0.4 * (mid - low) : mid + (q - 0.5) / 0.4 * (high - mid);
            return Math.exp(v);
        }
    }

    // ---- records ----

    /** One kind as a record holds it. */
    public record Kept(String kind, long seen, short[][] runs) {}

    /** Kinds that learned since the last time, the most recent last. */
    public List<String> takeDirty() {
        List<String> taken = new ArrayList<>(dirty);
        dirty.clear();
        return taken;
    }

    /** The newest runs of a kind; null if it was dropped. */
    public Kept keep(String kind, int most) {
        History h = kinds.get(kind);
        return h == null ? null : new Kept(kind, h.seen(), h.newest(most));
    }

    /** What an earlier term learned of a kind; groups wider than it take part. */
    public void restore(Kept kept) {
        kinds.computeIfAbsent(kept.kind(), k -> new History()).restore(kept.runs(), kept.seen());
        int slash = kept.kind().indexOf('/');
        // class and team: the team's and the common history are made of these
        if (slash > 0 && kept.kind().indexOf('/', slash + 1) < 0) {
            for (String wider : List.of(kept.kind().substring(slash), "")) {
                kinds.computeIfAbsent(wider, k -> new History()).restore(kept.runs(), kept.seen());
            }
        }
    }

    /** Kinds that are known. */
    public int size() {
        return kinds.size();
    }
}
