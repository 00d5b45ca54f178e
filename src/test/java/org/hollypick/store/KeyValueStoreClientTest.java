package org.hollypick.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.core.SettingsBuilder;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.junit.jupiter.api.Test;

/** Tests how a controller sends its requests within its share of the key-value store's rate limits. */
class KeyValueStoreClientTest {
    private static final long RESPONSE_MS = 10;
    private static final double REQUESTS_PER_SECOND = 120;
    private static final double WRITES_PER_SECOND = 30;
    private static final double PLANNED_WRITES_PER_SECOND = 25;
    private static final double LEADER_SHARE_WRITES_PER_SECOND = 10;
    private static final int DURATION_S = 30;

    /**
     * An event loop with a simulated clock and a key-value store that responds to every request after a fixed delay.
     */
    private static final class SimulatedStore implements EventLoop {
        private record Task(long dueAt, long sequence, Runnable action) {}

        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(Comparator.comparingLong(Task::dueAt).thenComparingLong(Task::sequence));
        private final List<Request> requests = new ArrayList<>();
        private long now;
        private long nextSequence;
        private boolean reportsWritesToWatches;
        private int unreportedWrites;

        @Override
        public long now() {
            return now;
        }

        @Override
        public long wallClockMs() {
            return now;
        }

        @Override
        public void after(long ms, Runnable task) {
            tasks.add(new Task(now + ms, nextSequence++, task));
        }

        @Override
        public void send(Request request, Consumer<Response> callback) {
            requests.add(request);
            ObjectNode body = Codec.object().put("epoch", 1);
            if (reportsWritesToWatches && request.path().startsWith("/commit")) {
                unreportedWrites++;
            } else if (reportsWritesToWatches && request.path().startsWith("/watch")) {
                ArrayNode events = body.putArray("events");
                for (; unreportedWrites > 0; unreportedWrites--) {
                    events.addObject().put("put", "h/j/1");
                }
            }
            after(RESPONSE_MS, () -> callback.accept(new Response(200, body)));
        }

        private void runUntil(long untilMs) {
            while (tasks.peek().dueAt <= untilMs) {
                Task next = tasks.poll();
                now = next.dueAt;
                next.action.run();
            }
            now = untilMs;
        }

        private long countRequests(String pathPrefix) {
            return requests.stream()
                    .filter(request -> request.path().startsWith(pathPrefix))
                    .count();
        }
    }

    private final SimulatedStore simulatedStore = new SimulatedStore();
    private final KeyValueStoreClient client = new KeyValueStoreClient(simulatedStore, settings());

    private static Settings settings() {
        List<Settings.Sibling> siblings =
                List.of(new Settings.Sibling("n2", "a", "n2:2"), new Settings.Sibling("n3", "a", "n3:2"));
        return new SettingsBuilder()
                .controller("n1", "n1:1", "n1:2")
                .siblings(siblings)
                .externalServices("cloud:1", "state:1")
                .storeRates(REQUESTS_PER_SECOND, WRITES_PER_SECOND)
                .build();
    }

    @Test
    void readsAreSentWhileCommitsWaitForTheWriteBudget() {
        for (int i = 0; i < 60; i++) {
            client.commit(new CompareAndSwap().put("h/j/" + i, Codec.object()), result -> {});
        }
        simulatedStore.runUntil(1_000);
        long readAt = simulatedStore.now();
        List<Long> responseTimes = new ArrayList<>();
        client.get("h/j/0", result -> responseTimes.add(simulatedStore.now() - readAt));
        simulatedStore.runUntil(readAt + 200);
        assertEquals(List.of(RESPONSE_MS), responseTimes);
        assertTrue(simulatedStore.countRequests("/commit") < 60, "some commits should still be queued");
    }

    @Test
    void leaderMayUseWritesThatOtherControllersLeaveUnused() {
        WriteShare share = new WriteShare(PLANNED_WRITES_PER_SECOND, LEADER_SHARE_WRITES_PER_SECOND, 0);
        for (long now = 100; now <= 5_000; now += 100) {
            share.ownWritesCommitted(1, now);
            share.writesObserved(1, now);
        }
        assertEquals(PLANNED_WRITES_PER_SECOND, share.writesPerSecond(5_000), 0.01);
        for (long now = 5_100; now <= 10_000; now += 100) {
            share.ownWritesCommitted(1, now);
            share.writesObserved(2, now);
        }
        assertEquals(PLANNED_WRITES_PER_SECOND - 10, share.writesPerSecond(10_000), 0.01);
        for (long now = 10_100; now <= 15_000; now += 100) {
            share.writesObserved(2, now);
        }
        assertEquals(
                LEADER_SHARE_WRITES_PER_SECOND,
                share.writesPerSecond(15_000),
                0.01,
                "not below the leader's own share");
    }

    @Test
    void windowsWithoutObservedWritesDoNotChangeTheLeadersRate() {
        WriteShare share = new WriteShare(PLANNED_WRITES_PER_SECOND, LEADER_SHARE_WRITES_PER_SECOND, 0);
        assertEquals(LEADER_SHARE_WRITES_PER_SECOND, share.writesPerSecond(4_000), 0.01, "no writes observed yet");
        for (long now = 4_100; now <= 9_000; now += 100) {
            share.writesObserved(1, now);
        }
        assertEquals(PLANNED_WRITES_PER_SECOND - 10, share.writesPerSecond(9_000), 0.01);
        assertEquals(PLANNED_WRITES_PER_SECOND - 10, share.writesPerSecond(60_000), 0.01);
    }

    /** The leader may send commits at the planned rate of all controllers while the others write nothing. */
    @Test
    void leaderCommitsAboveItsOwnShareWhileOtherControllersWriteNothing() {
        client.setLeader(true);
        simulatedStore.reportsWritesToWatches = true;
        client.watch("h/", 0, result -> watchAgain());
        for (long at = 0; at < DURATION_S * 1_000; at += 50) {
            simulatedStore.after(
                    at,
                    () -> client.commit(
                            new CompareAndSwap().put("h/j/" + simulatedStore.now(), Codec.object()), result -> {}));
        }
        simulatedStore.runUntil(DURATION_S * 1_000);
        assertTrue(
                simulatedStore.countRequests("/commit") > DURATION_S * 15,
                "commits sent: " + simulatedStore.countRequests("/commit"));
    }

    private void watchAgain() {
        simulatedStore.after(60, () -> client.watch("h/", 0, result -> watchAgain()));
    }
}
