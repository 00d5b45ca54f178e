package org.hollypick.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hollypick.io.Reply;
import org.junit.jupiter.api.Test;

/** Two troubles that meet (docs/meetings.md): what each alone doesn't break may break between them. Workers' leases last 15 s, and a cancelled task has 35 s. */
class MeetingsTest {
    private static final long OUTAGE_MS = 60_000;
    /** More are played outside CI: {@code mvn test -Dtest=MeetingsTest -Dmeetings.days=3000}. */
    private static final int DAYS = Integer.getInteger("meetings.days", 150);

    private static Day dayWithRunningServices(long seed) {
        Day day = new Day(seed);
        day.play(5_000);
        day.submitLasting(6);
        day.play(35_000);
        assertTrue(day.checker.starts >= 6);
        return day;
    }

    /**
     * The gap: a cancellation is carried out and its answer to the leader lost; another controller, whose records show it, tells the user; then the service
     * is down for all for longer than a cancelled task has, while the leader goes on by the promises of the others and answers the workers.
     */
    @Test
    void whatAnotherControllerToldAsCancelledIsGoneThoughTheLeaderCantKnow() {
        for (int seed = 1; seed <= 10; seed++) {
            Day day = dayWithRunningServices(seed);
            int leader = day.leader();
            day.world.cutOneWay("state:1", "bothy-" + leader, 14_000);
            day.withdrawAt(leader, "req-000000");
            day.play(60);
            Reply told = day.askAt((leader + 1) % 3, "GET", "/submissions/req-000000", null);
            assertEquals("aborted", told.body().path("status").asText(), "seed " + seed);
            day.state.outage(OUTAGE_MS);
            day.play(OUTAGE_MS + 60_000);
            assertEquals(List.of(), day.checker.broken, "seed " + seed);
        }
    }

    @Test
    void drawnDaysOfMeetingTroublesKeepTheRules() {
        Map<Integer, List<String>> broken = new TreeMap<>();
        for (int seed = 1; seed <= DAYS; seed++) {
            List<String> rules = drawn(seed).checker.broken;
            if (!rules.isEmpty()) {
                broken.put(seed, rules);
            }
        }
        assertEquals(Map.of(), broken);
    }

    private static Day drawn(int seed) {
        Day day = new Day(seed);
        day.length = seed % 2 == 0 ? 4 : 1;
        day.cancelledOf = 2;
        day.submitSome(25, 120_000);
        day.drawMeetings(4, 20_000, 150_000);
        day.play(300_000);
        return day;
    }
}
