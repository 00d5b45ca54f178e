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

/**
 * Compares the selected route with a reference model that evaluates the whole history of events, and checks the order
 * of candidacy delays.
 */
class RoutingTest {
    private static final int PEERS = 3;

    /** One event on a route; the reference model evaluates all of them each time. */
    private record Event(String kind, int peer, long at, long sentAt) {}

    private static boolean isDirectUp(List<Event> events) {
        boolean up = true;
        for (int i = 0; i < events.size(); i++) {
            Event event = events.get(i);
            if (event.kind.equals("answered")) {
                up = true;
            } else if (event.kind.equals("failed")) {
                int upTo = i;
                boolean respondedSince = events.subList(0, upTo).stream()
                        .anyMatch(earlier -> earlier.kind.equals("answered") && earlier.at > event.sentAt);
                up &= respondedSince;
            }
        }
        return up;
    }

    private static boolean failedRecently(List<Event> events, int peer, long now) {
        return events.stream()
                .anyMatch(event -> event.kind.equals("peerFailed")
                        && event.peer == peer
                        && now < event.at + ReachabilityConstants.ROUTE_RETRY_MS);
    }

    private static boolean isLastSuccessful(List<Event> events, int peer) {
        for (int i = events.size() - 1; i >= 0; i--) {
            Event event = events.get(i);
            if (event.kind.equals("peerAnswered")) {
                return event.peer == peer;
            }
            if (event.kind.equals("peerFailed") && event.peer == peer) {
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
        List<Event> events = new ArrayList<>(List.of(new Event("answered", -1, now, now)));
        for (int step = 0; step < 60; step++) {
            now += 1 + random.nextInt(700);
            int peer = random.nextInt(PEERS);
            long sentAt = now - random.nextInt(1_500);
            switch (random.nextInt(4)) {
                case 0 -> {
                    route.directAnswered(now);
                    events.add(new Event("answered", -1, now, sentAt));
                }
                case 1 -> {
                    boolean wasUp = isDirectUp(events);
                    boolean wentDown = route.directFailed(sentAt);
                    events.add(new Event("failed", -1, now, sentAt));
                    assertEquals(wasUp && !isDirectUp(events), wentDown);
                }
                case 2 -> {
                    route.peerFailed(peer, now);
                    events.add(new Event("peerFailed", peer, now, now));
                }
                default -> {
                    route.peerAnswered(peer);
                    events.add(new Event("peerAnswered", peer, now, now));
                }
            }
            assertEquals(isDirectUp(events), route.isDirect());
            int selected = route.selectPeer(now);
            boolean anyAvailable = false;
            for (int p = 0; p < PEERS; p++) {
                anyAvailable |= !failedRecently(events, p, now);
                assertEquals(isLastSuccessful(events, p), route.isLastSuccessful(p));
            }
            assertEquals(
                    !isDirectUp(events) && anyAvailable,
                    selected >= 0,
                    "a peer is selected if and only if the direct route is down and some peer hasn't failed recently");
            assertTrue(selected < 0 || !failedRecently(events, selected, now));
        }
    }

    /**
     * A candidate that reaches more machines never waits longer, nor does one that reaches them directly instead of
     * through peers. Reaching half of the machines directly means a longer delay than reaching all of them through
     * peers.
     */
    @Property(tries = 1_000)
    void candidatesThatReachMoreMachinesNeverWaitLonger(
            @ForAll @IntRange(min = 1, max = 40) int probed,
            @ForAll @IntRange(max = 40) int direct,
            @ForAll @IntRange(max = 40) int byPeers) {
        int reachedDirectly = Math.min(direct, probed);
        int reachedOnlyByPeers = Math.min(byPeers, probed - reachedDirectly);
        long delayMs = CandidacyDelay.delayMs(probed, reachedDirectly, reachedOnlyByPeers);
        assertTrue(delayMs >= 0
                && delayMs
                        <= ElectionConstants.CANDIDACY_DELAY_MINORITY_MS
                                + ElectionConstants.CANDIDACY_DELAY_UNREACHED_MS);
        assertTrue(reachedDirectly == probed
                || CandidacyDelay.delayMs(
                                probed, reachedDirectly + 1, Math.min(reachedOnlyByPeers, probed - reachedDirectly - 1))
                        <= delayMs);
        assertTrue(reachedDirectly + reachedOnlyByPeers == probed
                || CandidacyDelay.delayMs(probed, reachedDirectly, reachedOnlyByPeers + 1) <= delayMs
                || CandidacyDelay.majorityResponded(probed, reachedDirectly));
        assertTrue(CandidacyDelay.delayMs(probed, reachedDirectly, 0)
                        >= CandidacyDelay.delayMs(probed, reachedDirectly, probed - reachedDirectly)
                || CandidacyDelay.majorityResponded(probed, reachedDirectly));
        assertTrue(probed % 2 != 0
                || CandidacyDelay.delayMs(probed, probed / 2, 0)
                        > CandidacyDelay.delayMs(probed, 0, probed) + ElectionConstants.CANDIDACY_STAGGER_MS);
    }
}
