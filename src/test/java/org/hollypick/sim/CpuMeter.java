package org.hollypick.sim;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/**
 * Measures the processor time of a controller by activity. The time of an activity doesn't include that of activities
 * nested in it.
 */
final class CpuMeter {
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** The total processor time and the number of runs of an activity. */
    static final class Usage {
        private long nanos;
        private long runs;

        long nanos() {
            return nanos;
        }

        long runs() {
            return runs;
        }
    }

    private final Map<String, Usage> usageByActivity = new TreeMap<>();
    /** The processor time of the activities nested in the current one. */
    private long nestedNanos;

    Map<String, Usage> usageByActivity() {
        return usageByActivity;
    }

    double totalMs() {
        return usageByActivity.values().stream().mapToLong(Usage::nanos).sum() / 1e6;
    }

    void reset() {
        usageByActivity.clear();
    }

    void run(String activity, Runnable task) {
        long outerNestedNanos = nestedNanos;
        nestedNanos = 0;
        long startedAt = THREADS.getCurrentThreadCpuTime();
        task.run();
        long spentNanos = THREADS.getCurrentThreadCpuTime() - startedAt;
        Usage usage = usageByActivity.computeIfAbsent(activity, name -> new Usage());
        usage.nanos += spentNanos - nestedNanos;
        usage.runs++;
        nestedNanos = outerNestedNanos + spentNanos;
    }

    /** Wraps an event loop so that its timers and response callbacks are measured. */
    EventLoop measure(EventLoop eventLoop) {
        return new DelegatingEventLoop(eventLoop) {
            @Override
            public void after(long ms, Runnable task) {
                eventLoop.after(ms, () -> run(timerActivity(ms), task));
            }

            @Override
            public void send(Request request, Consumer<Response> callback) {
                eventLoop.send(request, response -> run(responseActivity(request), () -> callback.accept(response)));
            }
        };
    }

    private static String timerActivity(long ms) {
        if (ms == ReconcileConstants.SCHEDULING_CYCLE_GAP_MS) {
            return "scheduling cycle";
        }
        return ms == ReconcileConstants.RECONCILE_INTERVAL_MS ? "reconcile loop" : "other timers";
    }

    private static String responseActivity(Request request) {
        String path = request.path();
        if (path.startsWith(StoreProtocol.WATCH)) {
            return "watch";
        }
        if (path.equals(AgentProtocol.COMMANDS)) {
            return "command responses";
        }
        if (path.startsWith(CloudProtocol.MACHINES)) {
            return "cloud";
        }
        if (path.startsWith(StoreProtocol.SESSIONS)) {
            return "session renewal";
        }
        if (path.equals(StoreProtocol.COMMIT)) {
            return "transactions";
        }
        return request.toPeer() ? "peers" : "reads";
    }
}
