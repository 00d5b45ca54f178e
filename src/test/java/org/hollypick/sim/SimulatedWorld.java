package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.ToLongBiFunction;
import java.util.stream.Stream;
import org.hollypick.config.constants.NetworkConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.ConnectionBudget;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/** Simulated time and network. Cuts hold messages back and deliver them late, or lose them. */
final class SimulatedWorld {
    /** Something with an address. */
    interface Endpoint {
        void request(String method, String path, JsonNode body, Consumer<Response> callback);

        /** False refuses connections. */
        default boolean listens() {
            return true;
        }

        /** How often it was started again: what was sent to an earlier life's connections ends with them. */
        default int restartCount() {
            return 0;
        }
    }

    private record Event(long timeMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return timeMs != o.timeMs ? Long.compare(timeMs, o.timeMs) : Long.compare(sequence, o.sequence);
        }
    }

    static final long NEVER_DELIVERED = -1;

    private static final String HEARTBEAT_PATH = "/hello";
    private static final String COMMIT_PATH = "/commit";
    private static final String WATCH_PATH = "/watch";

    final Random random;
    long now = 1_000;
    private long seq;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final Set<String> blockedDirections = new HashSet<>();
    private BiPredicate<String, String> isBlockedByPattern = (from, to) -> false;
    private final Map<String, List<Runnable>> heldMessages = new HashMap<>();
    /** What a cut holds back is lost with it, instead of being delivered when it is over. */
    boolean dropsHeldMessages;
    /** Chance that a delivered request is kept back and executed up to a minute later, its answer lost. */
    double lateRequestProbability;
    /** Chance that a machine's report arrives once more, up to a minute later. */
    double duplicateHeartbeatProbability;
    /** Chance that a transaction gets no answer and is carried out 2 to 12 s later. */
    double lateTransactionProbability;
    /** Chance that a transaction is carried out at once and only its answer is lost. */
    double lostTransactionResponseProbability;
    /** Which transactions those two may happen to. */
    Predicate<JsonNode> faultProneTransactions = txn -> true;
    /**
     * Milliseconds by which a call, by its sender, is held up: it gets no answer and is carried out once, so much
     * later. 0: it isn't; {@link #NEVER_DELIVERED}: it is never carried out.
     */
    ToLongBiFunction<String, Request> requestDelayMs = (from, call) -> 0;
    /** Calls that are carried out at once while their answer is lost. */
    Predicate<Request> losesResponse = call -> false;
    /** Sees each machine's report in the moment of sending: for copies that arrive later. */
    Consumer<Request> heartbeatObserver = report -> {};
    /**
     * Hosts whose calls to an address are answered with 503 at once, as one that is overloaded refuses a single caller.
     */
    private final Set<String> refusedDirections = new HashSet<>();
    /** Milliseconds that calls to an address take longer, at most. */
    private final Map<String, Integer> extraLatencyMs = new HashMap<>();

    private String digest;
    /** Sees what controllers send, in the moment of sending. */
    BiConsumer<String, Request> requestObserver = (from, call) -> {};

    private final Hasher digestHasher = Hashing.murmur3_128().newHasher();

    SimulatedWorld(long seed) {
        random = new Random(seed);
    }

    void schedule(long ms, Runnable run) {
        events.add(new Event(now + Math.max(0, ms), seq++, run));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().timeMs <= end) {
            Event e = events.poll();
            now = e.timeMs;
            e.action.run();
        }
        now = end;
    }

    void listen(String address, Endpoint endpoint) {
        endpoints.put(address, endpoint);
    }

    private static String link(String a, String b) {
        return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
    }

    void cut(String a, String b, long ms) {
        String link = link(a, b);
        cutLinks.add(link);
        schedule(ms, () -> {
            cutLinks.remove(link);
            List<Runnable> late = heldMessages.remove(link);
            if (late != null && !dropsHeldMessages) {
                late.forEach(Runnable::run);
            }
        });
    }

    /** {@code answer}: of what comes back from there. */
    private boolean isBlocked(String link, String from, String to, boolean answer) {
        return cutLinks.contains(link)
                || isBlockedByPattern.test(from, to)
                || blockedDirections.contains(answer ? to + ">" + from : from + ">" + to);
    }

    /**
     * Nothing passes from there to there, though it does the other way; what was held back is delivered when it is
     * over.
     */
    void cutOneWay(String from, String to, long ms) {
        blockedDirections.add(from + ">" + to);
        schedule(ms, () -> {
            blockedDirections.remove(from + ">" + to);
            List<Runnable> late = cutLinks.contains(link(from, to)) ? null : heldMessages.remove(link(from, to));
            if (late != null) {
                late.forEach(Runnable::run);
            }
        });
    }

    /** That host's calls to the address are refused; those already waiting there, as a watch does, go on waiting. */
    void refuseRequests(String from, String to, long ms) {
        refusedDirections.add(from + ">" + to);
        schedule(ms, () -> refusedDirections.remove(from + ">" + to));
    }

    /** Calls to the address, and its answers, each take up to that much longer, and may overtake one another. */
    void addLatency(String address, int byMs, long ms) {
        extraLatencyMs.put(address, byMs);
        schedule(ms, () -> extraLatencyMs.remove(address));
    }

    private long latency(String address) {
        return 1L
                + random.nextInt(5)
                + (extraLatencyMs.isEmpty() ? 0 : random.nextInt(1 + extraLatencyMs.getOrDefault(address, 0)));
    }

    /** A request that was held up, or a copy of one, arrives at an address; nobody gets its answer. */
    void deliverIgnoringResponse(Request call, String to) {
        if (endpoints.get(to).listens()) {
            endpoints.get(to).request(call.method(), call.path(), call.body(), r -> {});
        }
    }

    /** The same request once more, after a while, to another address; nobody gets its answer. */
    private void duplicateHeartbeat(Request call) {
        if (call.path().equals(HEARTBEAT_PATH)
                && duplicateHeartbeatProbability > 0
                && random.nextDouble() < duplicateHeartbeatProbability) {
            String to = "p" + random.nextInt(3) + ":1";
            schedule(1_000 + random.nextInt(60_000), () -> deliverIgnoringResponse(call, to));
        }
    }

    /**
     * From now on nothing passes from a host to an address, nor back, for which that says so; until the next such word.
     * What was held back is delivered then.
     */
    void blockLinks(BiPredicate<String, String> which) {
        isBlockedByPattern = which;
        for (String link : new ArrayList<>(heldMessages.keySet())) {
            if (!cutLinks.contains(link)) {
                heldMessages.remove(link).forEach(Runnable::run);
            }
        }
    }

    /**
     * A digest of every call and every answer of the day so far: the same seed and the same decisions give the same
     * one.
     */
    String digest() {
        if (digest == null) {
            digest = digestHasher.hash().toString();
        }
        return digest;
    }

    /** Sends a request from one host to an address; the response comes exactly once. */
    void send(String from, Request call, Consumer<Response> callback) {
        digestHasher
                .putLong(now)
                .putString(from + call.address() + call.method() + call.path() + call.body(), StandardCharsets.UTF_8);
        Consumer<Response> once = onlyFirst(callback);
        Endpoint endpoint = endpoints.get(call.address());
        if (endpoint == null || !endpoint.listens()) {
            schedule(1, () -> once.accept(Response.notSent()));
            return;
        }
        schedule(call.timeoutMs(), () -> once.accept(Response.noResponse()));
        duplicateHeartbeat(call);
        if (call.path().equals(HEARTBEAT_PATH)) {
            heartbeatObserver.accept(call);
        }
        if (!isHeldUp(from, call) && !isRefused(from, call, once) && !isLateWrite(endpoint, call)) {
            deliver(from, call, endpoint, once);
        }
    }

    private static Consumer<Response> onlyFirst(Consumer<Response> callback) {
        AtomicBoolean answered = new AtomicBoolean();
        return response -> {
            if (answered.compareAndSet(false, true)) {
                callback.accept(response);
            }
        };
    }

    /** Applies {@link #requestDelayMs}. */
    private boolean isHeldUp(String from, Request call) {
        long heldUpMs = requestDelayMs.applyAsLong(from, call);
        if (heldUpMs != 0 && heldUpMs != NEVER_DELIVERED) {
            schedule(heldUpMs, () -> deliverIgnoringResponse(call, call.address()));
        }
        return heldUpMs != 0;
    }

    /** Answers the call with 503 if the address refuses this host. */
    private boolean isRefused(String from, Request call, Consumer<Response> callback) {
        boolean isRefused = refusedDirections.contains(from + ">" + call.address());
        if (isRefused) {
            schedule(2, () -> callback.accept(new Response(503, Codec.object())));
        }
        return isRefused;
    }

    /**
     * Draws whether {@link #lateTransactionProbability} strikes the call; if so, it is carried out later and never
     * answered.
     */
    private boolean isLateWrite(Endpoint endpoint, Request call) {
        boolean isLate = isFaultyWrite(call, lateTransactionProbability);
        if (isLate) {
            schedule(
                    2_000 + random.nextInt(10_000),
                    () -> endpoint.request(call.method(), call.path(), call.body(), response -> {}));
        }
        return isLate;
    }

    private boolean isFaultyWrite(Request call, double share) {
        return share > 0
                && call.path().equals(COMMIT_PATH)
                && faultProneTransactions.test(call.body())
                && random.nextDouble() < share;
    }

    private void deliver(String from, Request call, Endpoint endpoint, Consumer<Response> callback) {
        String link = link(from, call.address());
        boolean isAnswerLost = isFaultyWrite(call, lostTransactionResponseProbability);
        long latency = latency(call.address());
        int life = endpoint.restartCount();
        Runnable execute = () -> {
            if (endpoint.listens() && endpoint.restartCount() == life) {
                endpoint.request(call.method(), call.path(), call.body(), response -> {
                    digestHasher
                            .putLong(now)
                            .putInt(response.status())
                            .putString(call.address() + response.body(), StandardCharsets.UTF_8);
                    if (!isAnswerLost && !losesResponse.test(call)) {
                        sendBack(from, call, response, callback);
                    }
                });
            }
        };
        if (isBlocked(link, from, call.address(), false)) {
            hold(link, execute);
        } else if (lateRequestProbability > 0
                && !call.path().startsWith(WATCH_PATH)
                && random.nextDouble() < lateRequestProbability) {
            schedule(random.nextInt(60_000), execute);
        } else {
            schedule(latency, () -> {
                if (isBlocked(link, from, call.address(), false)) {
                    hold(link, execute);
                } else {
                    execute.run();
                }
            });
        }
    }

    private void sendBack(String from, Request call, Response response, Consumer<Response> callback) {
        String link = link(from, call.address());
        Runnable arrive = () -> schedule(latency(call.address()), () -> callback.accept(response));
        if (isBlocked(link, from, call.address(), true)) {
            hold(link, arrive);
        } else {
            arrive.run();
        }
    }

    private void hold(String link, Runnable delivery) {
        heldMessages.computeIfAbsent(link, key -> new ArrayList<>()).add(delivery);
    }

    /**
     * The runtime of one process; once it is killed nothing of it runs any more. What it decides to send leaves it a
     * millisecond later: if it stands still in between, that goes out, if at all, when it goes on.
     */
    final class Process implements EventLoop {
        private static final long SEND_DELAY_MS = 1;

        private final String host;
        /**
         * Its connections; null: as many as it likes. A machine's stays open until it is closed after an answer, or
         * unused for long.
         */
        private ConnectionBudget connections;

        private int socketLimit;
        private final Map<String, Long> heartbeatsReceivedAt = new HashMap<>();
        /**
         * Milliseconds of processor time for each thing that it does; 0: none. What it can't do at once waits its turn.
         */
        private double costPerTaskMs;

        private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        private double busyUntil;
        private boolean isDrainScheduled;
        /** How fast this process's steady clock runs. */
        private final double clockRate;

        boolean isKilled;
        private long frozenUntil;
        /** Calls of that kind freeze the process, once, after they were decided on and before they are sent. */
        private Predicate<Request> freezeTrigger = call -> false;

        private long triggeredFreezeMs;

        Process(String host, double rate) {
            this.host = host;
            this.clockRate = rate;
        }

        @Override
        public long now() {
            return (long) (now * clockRate);
        }

        @Override
        public long wallClockMs() {
            return now;
        }

        @Override
        public void after(long ms, Runnable task) {
            schedule((long) (ms / clockRate), () -> runOrDefer(task));
        }

        /** Now, or once the process goes on; never if it was killed. */
        void runOrDefer(Runnable task) {
            if (isKilled) {
                return;
            }
            if (now < frozenUntil) {
                schedule(frozenUntil - now, () -> runOrDefer(task));
            } else if (costPerTaskMs == 0) {
                task.run();
            } else {
                queue.add(task);
                runQueuedTasks();
            }
        }

        /** One thing after the other, each at its cost. */
        private void runQueuedTasks() {
            if (!isDrainScheduled && !isKilled) {
                while (!queue.isEmpty() && busyUntil <= now) {
                    busyUntil = Math.max(busyUntil, (double) now) + costPerTaskMs;
                    queue.poll().run();
                }
                if (!queue.isEmpty()) {
                    isDrainScheduled = true;
                    schedule((long) Math.ceil(busyUntil - now), () -> {
                        isDrainScheduled = false;
                        runQueuedTasks();
                    });
                }
            }
        }

        void limitResources(int sockets, double costMs) {
            this.connections = sockets > 0 ? new ConnectionBudget(sockets) : null;
            this.socketLimit = sockets;
            this.costPerTaskMs = costMs;
        }

        /** A report arrives: false if there is no socket for its connection. */
        boolean acceptHeartbeat(String from) {
            if (connections == null || heartbeatsReceivedAt.put(from, now) != null) {
                return true;
            }
            if (Stream.of(ConnectionBudget.Kind.values())
                            .mapToInt(connections::open)
                            .sum()
                    >= socketLimit) {
                heartbeatsReceivedAt.remove(from);
                return false;
            }
            connections.opened(ConnectionBudget.Kind.HEARTBEATS);
            return true;
        }

        /** It was answered: the connection closes now if others need it, else when it has been unused for long. */
        void heartbeatAnswered(String from) {
            if (connections != null && heartbeatsReceivedAt.containsKey(from)) {
                long used = heartbeatsReceivedAt.get(from);
                schedule(
                        connections.shouldCloseAfterResponse(ConnectionBudget.Kind.HEARTBEATS)
                                ? 0
                                : NetworkConstants.IDLE_CONNECTION_TIMEOUT_MS,
                        () -> {
                            if (heartbeatsReceivedAt.remove(from, used)) {
                                connections.closed(ConnectionBudget.Kind.HEARTBEATS);
                            }
                        });
            }
        }

        /** It stands still while its clocks run on. */
        void freeze(long ms) {
            frozenUntil = Math.max(frozenUntil, now + ms);
        }

        void freezeBeforeSending(Predicate<Request> which, long ms) {
            freezeTrigger = which;
            triggeredFreezeMs = ms;
        }

        /** What was decided now leaves the process. */
        void runAfterSendDelay(Runnable send) {
            schedule(SEND_DELAY_MS, () -> runOrDefer(send));
        }

        @Override
        public void send(Request call, Consumer<Response> callback) {
            if (freezeTrigger.test(call)) {
                freezeTrigger = c -> false;
                freeze(triggeredFreezeMs);
            }
            ConnectionBudget.Kind kind = call.toPeer() || call.address().endsWith(":1")
                    ? ConnectionBudget.Kind.CONTROL
                    : ConnectionBudget.Kind.COMMANDS;
            if (connections != null) {
                if (kind == ConnectionBudget.Kind.COMMANDS && !connections.hasCapacity(kind)) {
                    schedule(0, () -> runOrDefer(() -> callback.accept(Response.noCapacity())));
                    return;
                }
                connections.opened(kind);
            }
            Consumer<Response> in = r -> {
                if (connections != null) {
                    connections.closed(kind);
                }
                runOrDefer(() -> callback.accept(r));
            };
            runAfterSendDelay(() -> {
                if (call.validWhile().getAsBoolean()) {
                    requestObserver.accept(host, call);
                    SimulatedWorld.this.send(host, call, in);
                } else {
                    in.accept(Response.notSent());
                }
            });
        }
    }
}
