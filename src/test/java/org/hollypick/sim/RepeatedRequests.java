package org.hollypick.sim;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Random;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/**
 * Delivers copies of requests that were executed and answered before: at a random time up to two minutes later, soon
 * after the receiving agent cleared an attempt, and soon after the receiver restarted. Nobody waits for the responses
 * to copies. Draws from a random generator of its own, so that a scenario without copies is the same with this class.
 */
final class RepeatedRequests {
    private static final long MAX_AGE_MS = 120_000;
    /** The requests that are kept for each address; older ones are forgotten. */
    private static final int MAX_KEPT_REQUESTS = 40;

    private static final int MAX_DELAY_AFTER_TRIGGER_MS = 900;
    private static final int MAX_SHORT_DELAY_MS = 5_000;
    private static final String WATCH_PATH = "/watch";

    private record AnsweredRequest(Request request, long answeredAt) {}

    private final SimulatedWorld world;
    private final Random random;
    private final Map<String, Deque<AnsweredRequest>> answeredByAddress = new HashMap<>();
    /** The probability that an answered request arrives once more. */
    double probability;
    /** The probability that, after an agent cleared an attempt, the launches sent to it before arrive once more. */
    double probabilityAfterClear;
    /** The probability that, after a restart of an agent, the launches sent to it before arrive once more. */
    double probabilityAfterRestart;
    /** How long after a restart of an agent the first copies arrive. */
    int delayAfterRestartMs;

    int deliveredCopies;

    RepeatedRequests(SimulatedWorld world, long seed) {
        this.world = world;
        this.random = new Random(seed);
        world.responseObserver = world.responseObserver.andThen(this::answered);
    }

    /** Lets calls to the agent arrive once more after it cleared an attempt, and after it restarted. */
    void observe(FakeAgent agent) {
        agent.clearListener = cleared -> repeatLaunches(cleared.address, probabilityAfterClear, 0);
        agent.restartListener =
                restarted -> repeatLaunches(restarted.address, probabilityAfterRestart, delayAfterRestartMs);
    }

    private void answered(Request request, Response response) {
        if (!response.ok() || request.path().startsWith(WATCH_PATH)) {
            return;
        }
        Deque<AnsweredRequest> answered =
                answeredByAddress.computeIfAbsent(request.address(), address -> new ArrayDeque<>());
        answered.addLast(new AnsweredRequest(request, world.now));
        if (answered.size() > MAX_KEPT_REQUESTS) {
            answered.removeFirst();
        }
        if (probability > 0 && random.nextDouble() < probability) {
            deliverLater(request, random.nextInt(random.nextBoolean() ? MAX_SHORT_DELAY_MS : (int) MAX_AGE_MS));
        }
    }

    /** Delivers all recent calls with launches to the address once more, each within a second after the delay. */
    private void repeatLaunches(String address, double chance, int delayMs) {
        if (chance == 0 || random.nextDouble() >= chance) {
            return;
        }
        Iterator<AnsweredRequest> answered =
                answeredByAddress.getOrDefault(address, new ArrayDeque<>()).iterator();
        while (answered.hasNext()) {
            AnsweredRequest next = answered.next();
            if (world.now - next.answeredAt < MAX_AGE_MS && AgentProtocol.isLaunch(next.request)) {
                answered.remove();
                deliverLater(next.request, delayMs + 1 + random.nextInt(MAX_DELAY_AFTER_TRIGGER_MS));
            }
        }
    }

    private void deliverLater(Request request, long delayMs) {
        world.schedule(delayMs, () -> {
            deliveredCopies++;
            world.deliverIgnoringResponse(request, request.address());
        });
    }
}
