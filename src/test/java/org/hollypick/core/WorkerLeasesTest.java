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
 * Checks when a lease counts as expired against a simple model of an agent, two peers that renew leases, a leader and a
 * network that loses and delays messages, with drifting clocks.
 */
public class WorkerLeasesTest {
    private static final long LEASE_MS = 15_000;
    private static final List<String> PEERS = List.of("k0", "k1");
    private static final Settings SETTINGS =
            new SettingsBuilder().leaseS(LEASE_MS / 1000.0).cancelS(35).build();
    private static final long GRANT_MS = WorkerLeases.renewalGrantMs(SETTINGS);

    /** The fault of a peer in one run of the model. */
    private enum Fault {
        NONE,
        HIDES_RENEWALS,
        RENEWS_TOO_LONG,
        COUNTS_FROM_RESPONSE,
        RESTARTS_UNNOTICED
    }

    /** One random run; events in the order of true time. */
    private static final class Model {
        private final Random random;
        private final Fault fault;
        /** Whether peers restart: in every second run of the model. */
        private final boolean peersRestart;

        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final WorkerLeases leases;
        private final List<PeerController> peers = new ArrayList<>();
        private final double leaderRate;
        private final double workerRate;
        private long now = 100_000;
        private long sequence;
        /** When the heartbeat that last renewed the lease was sent, by the agent's clock. */
        private double sentAt;

        private boolean leaseEnded;
        private long acknowledgedAt;
        /** Which controller receives the heartbeats: 0 the leader, else a peer, -1 none. */
        private int reachedController;

        private long expiredAt = -1;
        private String violation;

        private record Event(long at, long sequence, Runnable run) implements Comparable<Event> {
            @Override
            public int compareTo(Event other) {
                return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
            }
        }

        private final class PeerController {
            final String name;
            final double rate;
            boolean linked = true;
            double grantedUntil = Double.NEGATIVE_INFINITY;
            double leaderRespondedAt;
            /** Grows with each restart: a response to an earlier process does not reach the current one. */
            int incarnation;

            long lastGrantNumber;
            long renewals;
            long acknowledgedRenewals;

            PeerController(String name, double rate) {
                this.name = name;
                this.rate = rate;
                this.leaderRespondedAt = now * rate;
            }

            double clock() {
                return now * rate;
            }

            void requestGrant() {
                double sent = clock();
                long reportedRenewals = renewals;
                int requestIncarnation = incarnation;
                long sentGrantNumber =
                        lastGrantNumber == WorkerLeases.NO_GRANT_NUMBER && fault == Fault.RESTARTS_UNNOTICED
                                ? -1
                                : lastGrantNumber;
                boolean reportsRenewals = reportedRenewals > acknowledgedRenewals && fault != Fault.HIDES_RENEWALS;
                if (linked && random.nextInt(10) > 0) {
                    after(networkDelayMs(), () -> {
                        leases.grantRequested(name, sentGrantNumber, reportsRenewals, leaderTime());
                        boolean granted = leases.allPeersRequestedGrants() && random.nextInt(8) > 0;
                        long number = leases.responseSent(name, granted, leaderTime());
                        if (linked && random.nextInt(10) > 0) {
                            after(networkDelayMs(), () -> {
                                if (requestIncarnation == incarnation) {
                                    grantReceived(sent, reportedRenewals, number, granted);
                                }
                            });
                        }
                    });
                }
                after(1_000, this::requestGrant);
            }

            void grantReceived(double sent, long reportedRenewals, long number, boolean granted) {
                if (fault != Fault.COUNTS_FROM_RESPONSE && clock() - sent > NetworkConstants.PEER_TIMEOUT_MS) {
                    return;
                }
                leaderRespondedAt = clock();
                lastGrantNumber = number;
                acknowledgedRenewals = Math.max(acknowledgedRenewals, reportedRenewals);
                if (granted) {
                    double from = fault == Fault.COUNTS_FROM_RESPONSE ? clock() : sent;
                    grantedUntil = from
                            + GRANT_MS * (fault == Fault.RENEWS_TOO_LONG ? 2 : 1 - ClockConstants.CLOCK_DRIFT_RATIO)
                            - ClockConstants.CLOCK_MARGIN_MS;
                }
            }

            /**
             * Restarts without a delay; the new process has no record of what was granted, renewed or reported before.
             */
            void restart() {
                incarnation++;
                grantedUntil = Double.NEGATIVE_INFINITY;
                leaderRespondedAt = clock();
                lastGrantNumber = WorkerLeases.NO_GRANT_NUMBER;
                renewals = 0;
                acknowledgedRenewals = 0;
            }

            boolean renewsLeases() {
                return clock() - leaderRespondedAt > LeaseConstants.LEADER_UNREACHABLE_AFTER_MS
                        && clock() < grantedUntil;
            }
        }

        Model(long seed, Fault fault) {
            this.random = new Random(seed);
            this.fault = fault;
            this.peersRestart = fault == Fault.RESTARTS_UNNOTICED || (fault == Fault.NONE && seed % 2 == 0);
            this.leaderRate = rate();
            this.workerRate = rate();
            this.sentAt = now * workerRate;
            this.acknowledgedAt = leaderTime();
            this.leases = new WorkerLeases(SETTINGS, PEERS, leaderTime(), random.nextBoolean());
            for (String name : PEERS) {
                PeerController peer = new PeerController(name, rate());
                peers.add(peer);
                after(random.nextInt(1_000), peer::requestGrant);
            }
            after(0, this::sendHeartbeat);
            after(0, this::checkExpiry);
            after(0, this::changeReachability);
        }

        private double rate() {
            return 1 + (random.nextDouble() - 0.5) * 0.001;
        }

        private long leaderTime() {
            return (long) (now * leaderRate);
        }

        private long networkDelayMs() {
            return random.nextInt(12) == 0 ? random.nextInt(20_000) : random.nextInt(20);
        }

        private void after(long ms, Runnable run) {
            events.add(new Event(now + ms, sequence++, run));
        }

        /** Changes at random intervals which processes reach each other. */
        private void changeReachability() {
            reachedController = random.nextInt(4) - 1;
            for (PeerController peer : peers) {
                peer.linked = random.nextInt(3) > 0;
                if (peersRestart && random.nextInt(5) == 0) {
                    after(random.nextInt(20_000), peer::restart);
                }
            }
            after(1_000 + random.nextInt(25_000), this::changeReachability);
        }

        private void sendHeartbeat() {
            double sent = now * workerRate;
            if (sent - sentAt > LEASE_MS) {
                leaseEnded = true;
            }
            int controller = reachedController;
            if (controller >= 0 && !leaseEnded) {
                after(random.nextInt(500), () -> {
                    boolean answers =
                            controller == 0 || peers.get(controller - 1).renewsLeases();
                    if (answers) {
                        if (controller == 0) {
                            acknowledgedAt = leaderTime();
                        } else {
                            peers.get(controller - 1).renewals++;
                        }
                        after(random.nextInt(500), () -> {
                            if (now * workerRate - sentAt > LEASE_MS) {
                                leaseEnded = true;
                            } else if (!leaseEnded) {
                                sentAt = sent;
                            }
                        });
                    }
                });
            }
            after(1_000 + random.nextInt(2_000), this::sendHeartbeat);
        }

        private void checkExpiry() {
            if (now * workerRate - sentAt > LEASE_MS) {
                leaseEnded = true;
            }
            if (expiredAt < 0 && leases.isExpired(acknowledgedAt, leaderTime())) {
                expiredAt = now;
                if (!leaseEnded) {
                    violation = "counted as expired " + (LEASE_MS - (now * workerRate - sentAt)) + " ms early";
                }
            }
            after(50, this::checkExpiry);
        }

        Model run(long ms) {
            long end = now + ms;
            while (events.peek().at <= end) {
                Event event = events.poll();
                now = event.at;
                event.run.run();
            }
            return this;
        }
    }

    @Property(tries = 3_000, seed = "20261201", shrinking = ShrinkingMode.OFF)
    void leaseThatMayBeRenewedNeverCountsAsExpired(@ForAll long seed) {
        Model model = new Model(seed, Fault.NONE).run(150_000);
        assertTrue(model.violation == null, model.violation);
    }

    /** The model detects each way of renewing more than was granted, or of reporting less. */
    @Test
    void modelDetectsFaultyPeers() {
        for (Fault fault : List.of(
                Fault.HIDES_RENEWALS, Fault.RENEWS_TOO_LONG, Fault.COUNTS_FROM_RESPONSE, Fault.RESTARTS_UNNOTICED)) {
            boolean noticed = false;
            for (int seed = 1; seed <= 3_000 && !noticed; seed++) {
                noticed = new Model(seed, fault).run(150_000).violation != null;
            }
            assertTrue(noticed, fault.name());
        }
    }

    /**
     * If a lease never counted as expired, no lost task would start again until the cloud no longer listed the machine.
     */
    @Test
    void leaseExpiresOnceAllPossibleGrantsHave() {
        WorkerLeases leases = new WorkerLeases(SETTINGS, PEERS, 0, false);
        assertFalse(leases.isExpired(0, LEASE_MS + 1_000), "an older leader's grant may still hold");
        assertTrue(leases.isExpired(0, GRANT_MS + LEASE_MS + 2_000));
        WorkerLeases first = new WorkerLeases(SETTINGS, PEERS, 0, true);
        assertTrue(first.isExpired(0, LEASE_MS + 1_000), "no grant was given");
        for (String peer : PEERS) {
            first.grantRequested(peer, 0, false, 100);
            first.responseSent(peer, true, 100);
        }
        assertFalse(first.isExpired(0, LEASE_MS + 1_000), "the peers may renew leases from now on");
        for (long t = 1_100; t < 40_000; t += 1_000) {
            for (String peer : PEERS) {
                first.grantRequested(peer, first.responseSent(peer, true, t) - 2, false, t);
            }
        }
        assertTrue(first.isExpired(0, 40_000), "both peers reported all along that they renewed nothing");
    }
}
