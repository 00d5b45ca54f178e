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

/**
 * The simulated clock, timers and network of a {@link ClusterScenario}. Messages on a link that is cut are delivered
 * once the cut ends, or dropped.
 */
final class SimulatedWorld {
    /** A server that receives the requests sent to an address. */
    interface Endpoint {
        void request(String method, String path, JsonNode body, Consumer<Response> callback);

        /** Whether the server accepts connections. */
        default boolean listens() {
            return true;
        }

        /**
         * The number of times that the server process was restarted. A request sent before a restart isn't delivered
         * after it, since a restart closes all connections.
         */
        default int restartCount() {
            return 0;
        }
    }

    private record Event(long timeMs, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeMs != other.timeMs ? Long.compare(timeMs, other.timeMs) : Long.compare(sequence, other.sequence);
        }
    }

    /** A value of {@link #requestDelayMs}: the request is lost. */
    static final long NEVER_DELIVERED = -1;

    private static final String HEARTBEAT_PATH = "/hello";
    private static final String COMMIT_PATH = "/commit";
    private static final String WATCH_PATH = "/watch";

    final Random random;
    /** The simulated time in milliseconds. */
    long now = 1_000;

    private long nextSequence;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    /** Links that are blocked in both directions, see {@link #link}. */
    private final Set<String> cutLinks = new HashSet<>();
    /** Links that are blocked in one direction, as {@code from>to}. */
    private final Set<String> blockedDirections = new HashSet<>();
    /** Whether the link between a host and an address is blocked in both directions, see {@link #blockLinks}. */
    private BiPredicate<String, String> isBlockedByPattern = (from, to) -> false;
    /** Deliveries that wait for a blocked link, by link. */
    private final Map<String, List<Runnable>> heldMessages = new HashMap<>();
    /** Whether the messages held by {@link #cut} are dropped at its end instead of being delivered. */
    boolean dropsHeldMessages;
    /**
     * Probability that a request other than a watch is executed up to a minute late; its sender may have timed out by
     * then.
     */
    double lateRequestProbability;
    /** Probability that a copy of a heartbeat reaches a random controller 1 to 61 s later. */
    double duplicateHeartbeatProbability;
    /** Probability that a store transaction is executed 2 to 12 s late and its response is lost. */
    double lateTransactionProbability;
    /** Probability that a store transaction is executed without delay and its response is lost. */
    double lostTransactionResponseProbability;
    /**
     * Selects the transactions to which {@link #lateTransactionProbability} and
     * {@link #lostTransactionResponseProbability} apply.
     */
    Predicate<JsonNode> faultProneTransactions = txn -> true;
    /**
     * Milliseconds by which a request, given its sender, is delayed: the request is executed that much later and its
     * response is lost. 0 for no delay, {@link #NEVER_DELIVERED} for a lost request.
     */
    ToLongBiFunction<String, Request> requestDelayMs = (from, request) -> 0;
    /** Selects the requests that are executed while their responses are lost. */
    Predicate<Request> losesResponse = request -> false;
    /** Called with each heartbeat when it is sent; lets tests deliver copies of it later. */
    Consumer<Request> heartbeatObserver = heartbeat -> {};
    /** Directions in which requests get a 503 at once, as from an overloaded server that refuses a single client. */
    private final Set<String> refusedDirections = new HashSet<>();
    /** The maximum additional latency in milliseconds, by address. */
    private final Map<String, Integer> extraLatencyMs = new HashMap<>();

    /** Null until {@link #digest()} is called. */
    private String digest;
    /** Called with the sender and the request when a controller sends one. */
    BiConsumer<String, Request> requestObserver = (from, request) -> {};
    /** Called with each request and the response to it, when the receiver has executed the request. */
    BiConsumer<Request, Response> responseObserver = (request, response) -> {};

    private final Hasher digestHasher = Hashing.murmur3_128().newHasher();

    SimulatedWorld(long seed) {
        random = new Random(seed);
    }

    /** Runs an action after the given delay; a negative delay counts as 0. */
    void schedule(long delayMs, Runnable action) {
        events.add(new Event(now + Math.max(0, delayMs), nextSequence++, action));
    }

    /** Runs all events due by the given time, in order of time, and advances the clock to it. */
    void runUntil(long endMs) {
        while (!events.isEmpty() && events.peek().timeMs <= endMs) {
            Event event = events.poll();
            now = event.timeMs;
            event.action.run();
        }
        now = endMs;
    }

    /** Makes an endpoint receive the requests sent to an address. */
    void listen(String address, Endpoint endpoint) {
        endpoints.put(address, endpoint);
    }

    /** The key of a link between a host and an address, whichever of them sends. */
    private static String link(String a, String b) {
        return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
    }

    /**
     * Blocks the link between a host and an address in both directions for the given time. Afterwards the held messages
     * are delivered, unless {@link #dropsHeldMessages}.
     */
    void cut(String host, String address, long durationMs) {
        String link = link(host, address);
        cutLinks.add(link);
        schedule(durationMs, () -> {
            cutLinks.remove(link);
            List<Runnable> deliveries = heldMessages.remove(link);
            if (deliveries != null && !dropsHeldMessages) {
                deliveries.forEach(Runnable::run);
            }
        });
    }

    /** Whether the link is blocked for the request, or for its response if {@code isResponse}. */
    private boolean isBlocked(String link, String from, String to, boolean isResponse) {
        return cutLinks.contains(link)
                || isBlockedByPattern.test(from, to)
                || blockedDirections.contains(isResponse ? to + ">" + from : from + ">" + to);
    }

    /**
     * Blocks messages in one direction for the given time. Afterwards the held messages are delivered, unless the link
     * is cut then.
     */
    void cutOneWay(String from, String to, long durationMs) {
        blockedDirections.add(from + ">" + to);
        schedule(durationMs, () -> {
            blockedDirections.remove(from + ">" + to);
            List<Runnable> deliveries = cutLinks.contains(link(from, to)) ? null : heldMessages.remove(link(from, to));
            if (deliveries != null) {
                deliveries.forEach(Runnable::run);
            }
        });
    }

    /**
     * Refuses the requests of a host to an address with a 503 for the given time. Requests received before, such as
     * open watches, are not affected.
     */
    void refuseRequests(String from, String to, long durationMs) {
        refusedDirections.add(from + ">" + to);
        schedule(durationMs, () -> refusedDirections.remove(from + ">" + to));
    }

    /**
     * Adds a random latency of up to {@code maxExtraMs} to each request to an address and to each response from it, for
     * the given time. Messages may be reordered.
     */
    void addLatency(String address, int maxExtraMs, long durationMs) {
        extraLatencyMs.put(address, maxExtraMs);
        schedule(durationMs, () -> extraLatencyMs.remove(address));
    }

    private long drawLatencyMs(String address) {
        return 1L
                + random.nextInt(5)
                + (extraLatencyMs.isEmpty() ? 0 : random.nextInt(1 + extraLatencyMs.getOrDefault(address, 0)));
    }

    /** Delivers a delayed or duplicated request to an address; its response is lost. */
    void deliverIgnoringResponse(Request request, String to) {
        if (endpoints.get(to).listens()) {
            endpoints.get(to).request(request.method(), request.path(), request.body(), response -> {});
        }
    }

    /** Draws whether the request is a heartbeat to duplicate; the copy goes to a random controller. */
    private void duplicateHeartbeat(Request request) {
        if (request.path().equals(HEARTBEAT_PATH)
                && duplicateHeartbeatProbability > 0
                && random.nextDouble() < duplicateHeartbeatProbability) {
            String to = "p" + random.nextInt(3) + ":1";
            schedule(1_000 + random.nextInt(60_000), () -> deliverIgnoringResponse(request, to));
        }
    }

    /**
     * Blocks the links from a host to an address that match, in both directions, until the next call. Delivers the
     * messages held for links that aren't cut.
     */
    void blockLinks(BiPredicate<String, String> isBlocked) {
        isBlockedByPattern = isBlocked;
        for (String link : new ArrayList<>(heldMessages.keySet())) {
            if (!cutLinks.contains(link)) {
                heldMessages.remove(link).forEach(Runnable::run);
            }
        }
    }

    /**
     * A hash over all requests and responses of the simulation; equal for equal seeds and equal decisions. No request
     * may be sent after the first call.
     */
    String digest() {
        if (digest == null) {
            digest = digestHasher.hash().toString();
        }
        return digest;
    }

    /** Sends a request from a host; the callback runs exactly once. */
    void send(String from, Request request, Consumer<Response> callback) {
        digestHasher
                .putLong(now)
                .putString(
                        from + request.address() + request.method() + request.path() + request.body(),
                        StandardCharsets.UTF_8);
        Consumer<Response> callOnce = firstOnly(callback);
        Endpoint endpoint = endpoints.get(request.address());
        if (endpoint == null || !endpoint.listens()) {
            schedule(1, () -> callOnce.accept(Response.notSent()));
            return;
        }
        schedule(request.timeoutMs(), () -> callOnce.accept(Response.noResponse()));
        duplicateHeartbeat(request);
        if (request.path().equals(HEARTBEAT_PATH)) {
            heartbeatObserver.accept(request);
        }
        if (!delayRequest(from, request)
                && !refuseRequest(from, request, callOnce)
                && !delayTransaction(endpoint, request)) {
            deliver(from, request, endpoint, callOnce);
        }
    }

    /** Passes only the first response on: a request may time out and be answered later. */
    private static Consumer<Response> firstOnly(Consumer<Response> callback) {
        AtomicBoolean isAnswered = new AtomicBoolean();
        return response -> {
            if (isAnswered.compareAndSet(false, true)) {
                callback.accept(response);
            }
        };
    }

    /** Applies {@link #requestDelayMs}; returns whether the request is delayed or lost. */
    private boolean delayRequest(String from, Request request) {
        long delayMs = requestDelayMs.applyAsLong(from, request);
        if (delayMs != 0 && delayMs != NEVER_DELIVERED) {
            schedule(delayMs, () -> deliverIgnoringResponse(request, request.address()));
        }
        return delayMs != 0;
    }

    /** Answers the request with a 503 if the address refuses this host; returns whether it does. */
    private boolean refuseRequest(String from, Request request, Consumer<Response> callback) {
        boolean isRefused = refusedDirections.contains(from + ">" + request.address());
        if (isRefused) {
            schedule(2, () -> callback.accept(new Response(503, Codec.object())));
        }
        return isRefused;
    }

    /** Applies {@link #lateTransactionProbability}; returns whether the request is executed late. */
    private boolean delayTransaction(Endpoint endpoint, Request request) {
        boolean isLate = drawTransactionFault(request, lateTransactionProbability);
        if (isLate) {
            schedule(
                    2_000 + random.nextInt(10_000),
                    () -> endpoint.request(request.method(), request.path(), request.body(), response -> {}));
        }
        return isLate;
    }

    /** Draws with the given probability whether a fault affects the request; false if it is no transaction. */
    private boolean drawTransactionFault(Request request, double probability) {
        return probability > 0
                && request.path().equals(COMMIT_PATH)
                && faultProneTransactions.test(request.body())
                && random.nextDouble() < probability;
    }

    /** Delivers a request after its latency, or once its link is no longer blocked. */
    private void deliver(String from, Request request, Endpoint endpoint, Consumer<Response> callback) {
        String link = link(from, request.address());
        boolean isResponseLost = drawTransactionFault(request, lostTransactionResponseProbability);
        long latencyMs = drawLatencyMs(request.address());
        int restartCount = endpoint.restartCount();
        Runnable execute = () -> {
            if (endpoint.listens() && endpoint.restartCount() == restartCount) {
                endpoint.request(request.method(), request.path(), request.body(), response -> {
                    digestHasher
                            .putLong(now)
                            .putInt(response.status())
                            .putString(request.address() + response.body(), StandardCharsets.UTF_8);
                    responseObserver.accept(request, response);
                    if (!isResponseLost && !losesResponse.test(request)) {
                        sendResponse(from, request, response, callback);
                    }
                });
            }
        };
        if (isBlocked(link, from, request.address(), false)) {
            hold(link, execute);
        } else if (lateRequestProbability > 0
                && !request.path().startsWith(WATCH_PATH)
                && random.nextDouble() < lateRequestProbability) {
            schedule(random.nextInt(60_000), execute);
        } else {
            schedule(latencyMs, () -> {
                if (isBlocked(link, from, request.address(), false)) {
                    hold(link, execute);
                } else {
                    execute.run();
                }
            });
        }
    }

    private void sendResponse(String from, Request request, Response response, Consumer<Response> callback) {
        String link = link(from, request.address());
        Runnable deliver = () -> schedule(drawLatencyMs(request.address()), () -> callback.accept(response));
        if (isBlocked(link, from, request.address(), true)) {
            hold(link, deliver);
        } else {
            deliver.run();
        }
    }

    private void hold(String link, Runnable delivery) {
        heldMessages.computeIfAbsent(link, key -> new ArrayList<>()).add(delivery);
    }

    /**
     * A process of a controller with its event loop. Nothing runs once the process is killed. A request or response is
     * sent a millisecond after the decision to send it; if the process is frozen in between, the message is sent when
     * the process resumes, provided that it is still valid then.
     */
    final class Process implements EventLoop {
        private static final long SEND_DELAY_MS = 1;

        private final String host;
        /**
         * The open connections; null if their number isn't limited. The connection of a machine that sends heartbeats
         * stays open until it is closed after a response or has been idle for too long.
         */
        private ConnectionBudget connections;

        private int socketLimit;
        /** The time of the last heartbeat received on each open heartbeat connection, by machine. */
        private final Map<String, Long> heartbeatsReceivedAt = new HashMap<>();
        /** Milliseconds of processor time that each task takes; 0 runs every task at once. */
        private double costPerTaskMs;

        /** Tasks that wait for the processor. */
        private final ArrayDeque<Runnable> queue = new ArrayDeque<>();

        private double busyUntilMs;
        private boolean isQueueRunScheduled;
        /** The rate of the process's monotonic clock relative to simulated time. */
        private final double clockRate;

        boolean isKilled;
        private long frozenUntilMs;
        /** Selects the request that freezes the process, once, between the decision to send it and its sending. */
        private Predicate<Request> freezeTrigger = request -> false;

        private long triggeredFreezeMs;

        Process(String host, double clockRate) {
            this.host = host;
            this.clockRate = clockRate;
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

        /** Runs a task as soon as the process isn't frozen and the processor is free; never if it was killed. */
        void runOrDefer(Runnable task) {
            if (isKilled) {
                return;
            }
            if (now < frozenUntilMs) {
                schedule(frozenUntilMs - now, () -> runOrDefer(task));
            } else if (costPerTaskMs == 0) {
                task.run();
            } else {
                queue.add(task);
                runQueuedTasks();
            }
        }

        /** Runs the queued tasks one after another, each of which takes {@link #costPerTaskMs}. */
        private void runQueuedTasks() {
            if (!isQueueRunScheduled && !isKilled) {
                while (!queue.isEmpty() && busyUntilMs <= now) {
                    busyUntilMs = Math.max(busyUntilMs, (double) now) + costPerTaskMs;
                    queue.poll().run();
                }
                if (!queue.isEmpty()) {
                    isQueueRunScheduled = true;
                    schedule((long) Math.ceil(busyUntilMs - now), () -> {
                        isQueueRunScheduled = false;
                        runQueuedTasks();
                    });
                }
            }
        }

        /** Limits the open connections, unless {@code socketLimit} is 0, and sets the processor time of a task. */
        void limitResources(int socketLimit, double costPerTaskMs) {
            this.connections = socketLimit > 0 ? new ConnectionBudget(socketLimit) : null;
            this.socketLimit = socketLimit;
            this.costPerTaskMs = costPerTaskMs;
        }

        /** Accepts the connection for a machine's heartbeat; returns false if no socket is free for it. */
        boolean acceptHeartbeat(String machine) {
            if (connections == null || heartbeatsReceivedAt.put(machine, now) != null) {
                return true;
            }
            if (Stream.of(ConnectionBudget.Kind.values())
                            .mapToInt(connections::open)
                            .sum()
                    >= socketLimit) {
                heartbeatsReceivedAt.remove(machine);
                return false;
            }
            connections.opened(ConnectionBudget.Kind.HEARTBEATS);
            return true;
        }

        /**
         * Closes the connection of an answered heartbeat: at once if other connections need its socket, otherwise when
         * it has been idle for too long.
         */
        void heartbeatAnswered(String machine) {
            if (connections != null && heartbeatsReceivedAt.containsKey(machine)) {
                long receivedAt = heartbeatsReceivedAt.get(machine);
                schedule(
                        connections.shouldCloseAfterResponse(ConnectionBudget.Kind.HEARTBEATS)
                                ? 0
                                : NetworkConstants.IDLE_CONNECTION_TIMEOUT_MS,
                        () -> {
                            if (heartbeatsReceivedAt.remove(machine, receivedAt)) {
                                connections.closed(ConnectionBudget.Kind.HEARTBEATS);
                            }
                        });
            }
        }

        /** Stops the process for the given time while its clocks continue. */
        void freeze(long durationMs) {
            frozenUntilMs = Math.max(frozenUntilMs, now + durationMs);
        }

        /** Freezes the process between the decision to send its next matching request and the sending. */
        void freezeBeforeSending(Predicate<Request> trigger, long durationMs) {
            freezeTrigger = trigger;
            triggeredFreezeMs = durationMs;
        }

        /** Sends a message that was decided on now. */
        void runAfterSendDelay(Runnable send) {
            schedule(SEND_DELAY_MS, () -> runOrDefer(send));
        }

        @Override
        public void send(Request request, Consumer<Response> callback) {
            if (freezeTrigger.test(request)) {
                freezeTrigger = other -> false;
                freeze(triggeredFreezeMs);
            }
            // The store, the cloud provider and the controllers listen on port 1, agents on port 9000.
            ConnectionBudget.Kind kind = request.toPeer() || request.address().endsWith(":1")
                    ? ConnectionBudget.Kind.CONTROL
                    : ConnectionBudget.Kind.COMMANDS;
            if (connections != null) {
                if (kind == ConnectionBudget.Kind.COMMANDS && !connections.hasCapacity(kind)) {
                    schedule(0, () -> runOrDefer(() -> callback.accept(Response.noCapacity())));
                    return;
                }
                connections.opened(kind);
            }
            Consumer<Response> receiveResponse = response -> {
                if (connections != null) {
                    connections.closed(kind);
                }
                runOrDefer(() -> callback.accept(response));
            };
            runAfterSendDelay(() -> {
                if (request.validWhile().getAsBoolean()) {
                    requestObserver.accept(host, request);
                    SimulatedWorld.this.send(host, request, receiveResponse);
                } else {
                    receiveResponse.accept(Response.notSent());
                }
            });
        }
    }
}
