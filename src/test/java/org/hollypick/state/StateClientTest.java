package org.hollypick.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.io.Call;
import org.hollypick.io.Codec;
import org.hollypick.io.Reply;
import org.hollypick.io.Runtime;
import org.junit.jupiter.api.Test;

/** How one controller shares out its part of the state service's limits among its own requests. */
class StateClientTest {
    private static final long ANSWER_MS = 10;
    private static final double REQUESTS_PER_SECOND = 120;
    private static final double CHANGES_PER_SECOND = 30;

    /** A state service that executes every request after a few milliseconds, and a clock. */
    private static final class Service implements Runtime {
        private record Task(long at, long number, Runnable run) {}

        private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::number));
        private final List<Call> calls = new ArrayList<>();
        private long now;
        private long number;

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
        public void call(Call call, Consumer<Reply> reply) {
            calls.add(call);
            after(ANSWER_MS, () -> reply.accept(new Reply(200, Codec.object().put("epoch", 1))));
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
    private final StateClient state = new StateClient(service, settings());

    private static Settings settings() {
        List<Settings.Sibling> others = List.of(new Settings.Sibling("n2", "a", "n2:2"), new Settings.Sibling("n3", "a", "n3:2"));
        return new Settings("n1", "a", "n1:1", "n1:2", others, "cloud:1", "state:1", List.of("a"), Map.of(), List.of(), 3, 20, 40,
                REQUESTS_PER_SECOND, CHANGES_PER_SECOND, 8192, 12, 8, 4, 1000);
    }

    @Test
    void readsDoNotWaitBehindChanges() {
        for (int i = 0; i < 60; i++) {
            state.commit(new StateClient.Txn().put("h/j/" + i, Codec.object()), r -> { });
        }
        service.run(1_000);
        long asked = service.now();
        List<Long> answered = new ArrayList<>();
        state.get("h/j/0", r -> answered.add(service.now() - asked));
        service.run(asked + 200);
        assertEquals(List.of(ANSWER_MS), answered);
        assertTrue(service.sent("/commit") < 60, "changes are still waiting");
    }
}
