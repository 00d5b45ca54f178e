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

/** How one controller shares out its part of the key-value store's limits among its own requests. */
class KeyValueStoreClientTest {
    private static final long ANSWER_MS = 10;
    private static final double REQUESTS_PER_SECOND = 120;
    private static final double CHANGES_PER_SECOND = 30;
    private static final double ALL = 25;
    private static final double LEAST = 10;
    private static final int SECONDS = 30;

    /** A key-value store that executes every request after a few milliseconds, and a clock. */
    private static final class Service implements EventLoop {
        private record Task(long at, long number, Runnable run) {}

        private final PriorityQueue<Task> tasks =
                new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
        private final List<Request> calls = new ArrayList<>();
        private long now;
        private long number;
        private boolean answersEvents;
        private int changes;

        @Override
        public long now() {
            return now;
        }

        @Override
        public long timeOfDay() {
            return now;
        }

        @Override
        public void after(long ms, Runnable task) {
            tasks.add(new Task(now + ms, number++, task));
        }

        @Override
        public void send(Request request, Consumer<Response> callback) {
            calls.add(request);
            ObjectNode body = Codec.object().put("epoch", 1);
            if (answersEvents && request.path().startsWith("/commit")) {
                changes++;
            } else if (answersEvents && request.path().startsWith("/watch")) {
                ArrayNode events = body.putArray("events");
                for (; changes > 0; changes--) {
                    events.addObject().put("put", "h/j/1");
                }
            }
            after(ANSWER_MS, () -> callback.accept(new Response(200, body)));
        }

        private void run(long untilMs) {
            while (tasks.peek().at <= untilMs) {
                Task next = tasks.poll();
                now = next.at;
                next.run.run();
            }
            now = untilMs;
        }

        private long sent(String path) {
            return calls.stream().filter(c -> c.path().startsWith(path)).count();
        }
    }

    private final Service service = new Service();
    private final KeyValueStoreClient store = new KeyValueStoreClient(service, settings());

    private static Settings settings() {
        List<Settings.Sibling> others =
                List.of(new Settings.Sibling("n2", "a", "n2:2"), new Settings.Sibling("n3", "a", "n3:2"));
        return new SettingsBuilder()
                .controller("n1", "n1:1", "n1:2")
                .siblings(others)
                .externalServices("cloud:1", "state:1")
                .storeRates(REQUESTS_PER_SECOND, CHANGES_PER_SECOND)
                .build();
    }

    @Test
    void readsDoNotWaitBehindChanges() {
        for (int i = 0; i < 60; i++) {
            store.commit(new CompareAndSwap().put("h/j/" + i, Codec.object()), r -> {});
        }
        service.run(1_000);
        long asked = service.now();
        List<Long> answered = new ArrayList<>();
        store.get("h/j/0", r -> answered.add(service.now() - asked));
        service.run(asked + 200);
        assertEquals(List.of(ANSWER_MS), answered);
        assertTrue(service.sent("/commit") < 60, "changes are still waiting");
    }

    @Test
    void aLeaderMayMakeTheChangesThatOthersLeaveUnused() {
        WriteShare share = new WriteShare(ALL, LEAST, 0);
        for (long now = 100; now <= 5_000; now += 100) {
            share.ownWritesCommitted(1, now);
            share.writesObserved(1, now);
        }
        assertEquals(ALL, share.writesPerSecond(5_000), 0.01);
        for (long now = 5_100; now <= 10_000; now += 100) {
            share.ownWritesCommitted(1, now);
            share.writesObserved(2, now);
        }
        assertEquals(ALL - 10, share.writesPerSecond(10_000), 0.01);
        for (long now = 10_100; now <= 15_000; now += 100) {
            share.writesObserved(2, now);
        }
        assertEquals(LEAST, share.writesPerSecond(15_000), 0.01, "the others use all of theirs");
    }

    @Test
    void aWatchThatShowsNothingTellsNothingOfTheOthers() {
        WriteShare share = new WriteShare(ALL, LEAST, 0);
        assertEquals(LEAST, share.writesPerSecond(4_000), 0.01, "not known yet");
        for (long now = 4_100; now <= 9_000; now += 100) {
            share.writesObserved(1, now);
        }
        assertEquals(ALL - 10, share.writesPerSecond(9_000), 0.01);
        assertEquals(ALL - 10, share.writesPerSecond(60_000), 0.01);
    }

    /** The leader's queue empties at the rate of all controllers while the others change nothing. */
    @Test
    void aLeaderSendsMoreWhileOthersAreQuiet() {
        store.setLeader(true);
        service.answersEvents = true;
        store.watch("h/", 0, r -> watchAgain());
        for (long at = 0; at < SECONDS * 1_000; at += 50) {
            service.after(
                    at, () -> store.commit(new CompareAndSwap().put("h/j/" + service.now(), Codec.object()), r -> {}));
        }
        service.run(SECONDS * 1_000);
        assertTrue(service.sent("/commit") > SECONDS * 15, "sent " + service.sent("/commit"));
    }

    private void watchAgain() {
        service.after(60, () -> store.watch("h/", 0, r -> watchAgain()));
    }
}
