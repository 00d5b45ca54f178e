package org.hollypick.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ClockConstants;
import org.hollypick.config.constants.LeaseConstants;
import org.hollypick.config.constants.NetworkConstants;
import org.junit.jupiter.api.Test;

/**
 * When a lease counts as over, against a plain model of a worker, two custodians, a leader and a network that loses and
 * holds back, on drifting clocks.
 */
public class WorkerLeasesTest {
    private static final long LEASE_MS = 15_000;
    private static final List<String> KEEPERS = List.of("k0", "k1");
    private static final Settings SETTINGS =
            new SettingsBuilder().leaseS(LEASE_MS / 1000.0).cancelS(35).build();
    private static final long WINDOW_MS = WorkerLeases.renewalGrantMs(SETTINGS);

    /** What a custodian may do wrong. */
    private enum Fault {
        NONE,
        HIDES,
        KEEPS_LONGER,
        COUNTS_FROM_THE_ANSWER,
        BEGINS_AGAIN_UNNOTICED
    }

    /** One drawn stretch of time; events in the order of true time. */
    private static final class Model {
        private final Random random;
        private final Fault fault;
        /** Keepers end and are back at once: in every second stretch, so that there are as many without as before. */
        private final boolean beginsAgain;

        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final WorkerLeases leases;
        private final List<Custodian> custodians = new ArrayList<>();
        private final double leaderRate;
        private final double workerRate;
        private long now = 100_000;
        private long seq;
        /**
         * The worker's: when the last answered report was sent, by its own clock, and whether that lease has run out
         * since.
         */
        private double sentAt;

        private boolean ended;
        private long answeredAt;
        /** Who hears the worker: 0 the leader, else a custodian, -1 nobody. */
        private int heardBy;

        private long overAt = -1;
        private String wrong;

        private record Event(long at, long seq, Runnable run) implements Comparable<Event> {
            @Override
            public int compareTo(Event o) {
                return at != o.at ? Long.compare(at, o.at) : Long.compare(seq, o.seq);
            }
        }

        private final class Custodian {
            final String name;
            final double rate;
            boolean linked = true;
            double until = Double.NEGATIVE_INFINITY;
            double contactAt;
            /** Counts its processes: an answer to an earlier one doesn't reach the present one. */
            int life;

            long echo;
            long kept;
            long told;

            Custodian(String name, double rate) {
                this.name = name;
                this.rate = rate;
                this.contactAt = now * rate;
            }

            double clock() {
                return now * rate;
            }

            void ask() {
                double sent = clock();
                long telling = kept;
                int asking = life;
                long seen = echo == WorkerLeases.NO_GRANT_NUMBER && fault == Fault.BEGINS_AGAIN_UNNOTICED ? -1 : echo;
                boolean tells = telling > told && fault != Fault.HIDES;
                if (linked && random.nextInt(10) > 0) {
                    after(delay(), () -> {
                        leases.grantRequested(name, seen, tells, leaderTime());
                        boolean granted = leases.allPeersRequestedGrants() && random.nextInt(8) > 0;
                        long number = leases.responseSent(name, granted, leaderTime());
                        if (linked && random.nextInt(10) > 0) {
                            after(delay(), () -> {
                                if (asking == life) {
                                    answered(sent, telling, number, granted);
                                }
                            });
                        }
                    });
                }
                after(1_000, this::ask);
            }

            void answered(double sent, long telling, long number, boolean granted) {
                if (fault != Fault.COUNTS_FROM_THE_ANSWER && clock() - sent > NetworkConstants.PEER_TIMEOUT_MS) {
                    return;
                }
                contactAt = clock();
                echo = number;
                told = Math.max(told, telling);
                if (granted) {
                    double from = fault == Fault.COUNTS_FROM_THE_ANSWER ? clock() : sent;
                    until = from
                            + WINDOW_MS * (fault == Fault.KEEPS_LONGER ? 2 : 1 - ClockConstants.CLOCK_DRIFT_RATIO)
                            - ClockConstants.CLOCK_MARGIN_MS;
                }
            }

            /** It ends and is back at once, without knowing what it was granted, kept or told. */
            void beginAgain() {
                life++;
                until = Double.NEGATIVE_INFINITY;
                contactAt = clock();
                echo = WorkerLeases.NO_GRANT_NUMBER;
                kept = 0;
                told = 0;
            }

            boolean keeps() {
                return clock() - contactAt > LeaseConstants.LEADER_LOST_MS && clock() < until;
            }
        }

        Model(long seed, Fault fault) {
            this.random = new Random(seed);
            this.fault = fault;
            this.beginsAgain = fault == Fault.BEGINS_AGAIN_UNNOTICED || (fault == Fault.NONE && seed % 2 == 0);
            this.leaderRate = rate();
            this.workerRate = rate();
            this.sentAt = now * workerRate;
            this.answeredAt = leaderTime();
            this.leases = new WorkerLeases(SETTINGS, KEEPERS, leaderTime(), random.nextBoolean());
            for (String name : KEEPERS) {
                Custodian k = new Custodian(name, rate());
                custodians.add(k);
                after(random.nextInt(1_000), k::ask);
            }
            after(0, this::report);
            after(0, this::look);
            after(0, this::weather);
        }

        private double rate() {
            return 1 + (random.nextDouble() - 0.5) * 0.001;
        }

        private long leaderTime() {
            return (long) (now * leaderRate);
        }

        private long delay() {
            return random.nextInt(12) == 0 ? random.nextInt(20_000) : random.nextInt(20);
        }

        private void after(long ms, Runnable run) {
            events.add(new Event(now + ms, seq++, run));
        }

        /** Now and then who reaches whom changes. */
        private void weather() {
            heardBy = random.nextInt(4) - 1;
            for (Custodian k : custodians) {
                k.linked = random.nextInt(3) > 0;
                if (beginsAgain && random.nextInt(5) == 0) {
                    after(random.nextInt(20_000), k::beginAgain);
                }
            }
            after(1_000 + random.nextInt(25_000), this::weather);
        }

        private void report() {
            double sent = now * workerRate;
            if (sent - sentAt > LEASE_MS) {
                ended = true;
            }
            int by = heardBy;
            if (by >= 0 && !ended) {
                after(random.nextInt(500), () -> {
                    boolean answers = by == 0 || custodians.get(by - 1).keeps();
                    if (answers) {
                        if (by == 0) {
                            answeredAt = leaderTime();
                        } else {
                            custodians.get(by - 1).kept++;
                        }
                        after(random.nextInt(500), () -> {
                            if (now * workerRate - sentAt > LEASE_MS) {
                                ended = true;
                            } else if (!ended) {
                                sentAt = sent;
                            }
                        });
                    }
                });
            }
            after(1_000 + random.nextInt(2_000), this::report);
        }

        private void look() {
            if (now * workerRate - sentAt > LEASE_MS) {
                ended = true;
            }
            if (overAt < 0 && leases.isExpired(answeredAt, leaderTime())) {
                overAt = now;
                if (!ended) {
                    wrong = "called over " + (LEASE_MS - (now * workerRate - sentAt)) + " ms early";
                }
            }
            after(50, this::look);
        }

        Model play(long ms) {
            long end = now + ms;
            while (events.peek().at <= end) {
                Event e = events.poll();
                now = e.at;
                e.run.run();
            }
            return this;
        }
    }

    @Property(tries = 3_000, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void aLeaseThatMayBeKeptNeverCountsAsOver(@ForAll long seed) {
        Model m = new Model(seed, Fault.NONE).play(150_000);
        assertTrue(m.wrong == null, m.wrong);
    }

    /** Each way of keeping more than was granted, or telling less, is noticed by the model. */
    @Test
    void theModelNoticesFaultyCustodians() {
        for (Fault fault :
                List.of(Fault.HIDES, Fault.KEEPS_LONGER, Fault.COUNTS_FROM_THE_ANSWER, Fault.BEGINS_AGAIN_UNNOTICED)) {
            boolean noticed = false;
            for (int seed = 1; seed <= 3_000 && !noticed; seed++) {
                noticed = new Model(seed, fault).play(150_000).wrong != null;
            }
            assertTrue(noticed, fault.name());
        }
    }

    /** If it never counted as over, nothing lost would ever start again without the cloud. */
    @Test
    void withoutAnyWordItIsOverByAndBy() {
        WorkerLeases leases = new WorkerLeases(SETTINGS, KEEPERS, 0, false);
        assertFalse(leases.isExpired(0, LEASE_MS + 1_000), "an older leader's grant may still hold");
        assertTrue(leases.isExpired(0, WINDOW_MS + LEASE_MS + 2_000));
        WorkerLeases first = new WorkerLeases(SETTINGS, KEEPERS, 0, true);
        assertTrue(first.isExpired(0, LEASE_MS + 1_000), "nobody granted anything");
        for (String k : KEEPERS) {
            first.grantRequested(k, 0, false, 100);
            first.responseSent(k, true, 100);
        }
        assertFalse(first.isExpired(0, LEASE_MS + 1_000), "they may keep from now on");
        for (long t = 1_100; t < 40_000; t += 1_000) {
            for (String k : KEEPERS) {
                first.grantRequested(k, first.responseSent(k, true, t) - 2, false, t);
            }
        }
        assertTrue(first.isExpired(0, 40_000), "both told all along that they kept nothing");
    }
}
