package org.hollypick.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.config.constants.ReachabilityConstants;

/** The route of a request and the delay of a candidacy, against plain rules over the whole history of events. */
class RoutingTest {
    private static final int PEERS = 3;

    /** One event on a route; the rules go through all of them for each question. */
    private record Event(String what, int peer, long at, long sentAt) {}

    private static boolean direct(List<Event> all) {
        boolean direct = true;
        for (int i = 0; i < all.size(); i++) {
            Event h = all.get(i);
            if (h.what.equals("answered")) {
                direct = true;
            } else if (h.what.equals("failed")) {
                int upTo = i;
                boolean outweighed =
                        all.subList(0, upTo).stream().anyMatch(o -> o.what.equals("answered") && o.at > h.sentAt);
                direct &= outweighed;
            }
        }
        return direct;
    }

    private static boolean rests(List<Event> all, int peer, long now) {
        return all.stream()
                .anyMatch(h -> h.what.equals("peerFailed")
                        && h.peer == peer
                        && now < h.at + ReachabilityConstants.ROUTE_RETRY_MS);
    }

    private static boolean proven(List<Event> all, int peer) {
        for (int i = all.size() - 1; i >= 0; i--) {
            Event h = all.get(i);
            if (h.what.equals("peerAnswered")) {
                return h.peer == peer;
            }
            if (h.what.equals("peerFailed") && h.peer == peer) {
                return false;
            }
        }
        return false;
    }

    @Property(tries = 500)
    void selectedRouteMatchesTheReferenceModel(@ForAll long seed) {
        Random random = new Random(seed);
        long now = 1_000;
        RouteSelector route = new RouteSelector(PEERS, now);
        List<Event> all = new ArrayList<>(List.of(new Event("answered", -1, now, now)));
        for (int step = 0; step < 60; step++) {
            now += 1 + random.nextInt(700);
            int peer = random.nextInt(PEERS);
            long sentAt = now - random.nextInt(1_500);
            switch (random.nextInt(4)) {
                case 0 -> {
                    route.directAnswered(now);
                    all.add(new Event("answered", -1, now, sentAt));
                }
                case 1 -> {
                    boolean before = direct(all);
                    boolean turned = route.directFailed(sentAt);
                    all.add(new Event("failed", -1, now, sentAt));
                    assertEquals(before && !direct(all), turned);
                }
                case 2 -> {
                    route.peerFailed(peer, now);
                    all.add(new Event("peerFailed", peer, now, now));
                }
                default -> {
                    route.peerAnswered(peer);
                    all.add(new Event("peerAnswered", peer, now, now));
                }
            }
            assertEquals(direct(all), route.isDirect());
            int chosen = route.selectPeer(now);
            boolean anyRested = false;
            for (int p = 0; p < PEERS; p++) {
                anyRested |= !rests(all, p, now);
                assertEquals(proven(all, p), route.isLastSuccessful(p));
            }
            assertEquals(
                    !direct(all) && anyRested,
                    chosen >= 0,
                    "a peer is chosen when the direct way is bad and one isn't at rest");
            assertTrue(chosen < 0 || !rests(all, chosen, now));
        }
    }

    /**
     * Who reaches more never waits longer; needing no other is better; and reaching half of the machines is worth less
     * than all of them by way of others.
     */
    @Property(tries = 1_000)
    void candidatesThatReachMoreMachinesWaitLess(
            @ForAll @IntRange(min = 1, max = 40) int asked,
            @ForAll @IntRange(max = 40) int direct,
            @ForAll @IntRange(max = 40) int byPeers) {
        int d = Math.min(direct, asked);
        int p = Math.min(byPeers, asked - d);
        long wait = CandidacyDelay.delayMs(asked, d, p);
        assertTrue(wait >= 0
                && wait <= ElectionConstants.CANDIDACY_DELAY_MAX_MS + ElectionConstants.CANDIDACY_DELAY_UNREACHED_MS);
        assertTrue(d == asked || CandidacyDelay.delayMs(asked, d + 1, Math.min(p, asked - d - 1)) <= wait);
        assertTrue(d + p == asked
                || CandidacyDelay.delayMs(asked, d, p + 1) <= wait
                || CandidacyDelay.majorityResponded(asked, d));
        assertTrue(CandidacyDelay.delayMs(asked, d, 0) >= CandidacyDelay.delayMs(asked, d, asked - d)
                || CandidacyDelay.majorityResponded(asked, d));
        assertTrue(asked % 2 != 0
                || CandidacyDelay.delayMs(asked, asked / 2, 0)
                        > CandidacyDelay.delayMs(asked, 0, asked) + ElectionConstants.CANDIDACY_STEP_MS);
    }
}
