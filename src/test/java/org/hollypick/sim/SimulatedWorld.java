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
        default int life() {
            return 0;
        }
    }

    private record Event(long at, long seq, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event o) {
            return at != o.at ? Long.compare(at, o.at) : Long.compare(seq, o.seq);
        }
    }

    static final long LOST = -1;

    private static final String HEARTBEAT_PATH = "/hello";
    private static final String COMMIT_PATH = "/commit";
    private static final String WATCH_PATH = "/watch";

    final Random random;
    long now = 1_000;
    private long seq;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Set<String> cut = new HashSet<>();
    private final Set<String> oneWay = new HashSet<>();
    private BiPredicate<String, String> closed = (from, to) -> false;
    private final Map<String, List<Runnable>> held = new HashMap<>();
    /** What a cut holds back is lost with it, instead of being delivered when it is over. */
    boolean heldAreLost;
    /** Chance that a delivered request is kept back and executed up to a minute later, its answer lost. */
    double lateShare;
    /** Chance that a machine's report arrives once more, up to a minute later. */
    double copyShare;
    /** Chance that a transaction gets no answer and is carried out 2 to 12 s later. */
    double lateWriteShare;
    /** Chance that a transaction is carried out at once and only its answer is lost. */
    double lostAnswerShare;
    /** Which transactions those two may happen to. */
    Predicate<JsonNode> lateWrites = txn -> true;
    /**
     * Milliseconds by which a call, by its sender, is held up: it gets no answer and is carried out once, so much
     * later. 0: it isn't; {@link #LOST}: it is never carried out.
     */
    ToLongBiFunction<String, Request> heldUp = (from, call) -> 0;
    /** Calls that are carried out at once while their answer is lost. */
    Predicate<Request> answerLost = call -> false;
    /** Sees each machine's report in the moment of sending: for copies that arrive later. */
    Consumer<Request> reporting = report -> {};
    /**
     * Hosts whose calls to an address are answered with 503 at once, as one that is overloaded refuses a single caller.
     */
    private final Set<String> refused = new HashSet<>();
    /** Milliseconds that calls to an address take longer, at most. */
    private final Map<String, Integer> slow = new HashMap<>();

    private String digest;
    /** Sees what controllers send, in the moment of sending. */
    BiConsumer<String, Request> sending = (from, call) -> {};

    private final Hasher played = Hashing.murmur3_128().newHasher();

    SimulatedWorld(long seed) {
        random = new Random(seed);
    }

    void at(long ms, Runnable run) {
        events.add(new Event(now + Math.max(0, ms), seq++, run));
    }

    void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event e = events.poll();
            now = e.at;
            e.run.run();
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
        cut.add(link);
        at(ms, () -> {
            cut.remove(link);
            List<Runnable> late = held.remove(link);
            if (late != null && !heldAreLost) {
                late.forEach(Runnable::run);
            }
        });
    }

    /** {@code answer}: of what comes back from there. */
    private boolean shut(String link, String from, String to, boolean answer) {
        return cut.contains(link)
                || closed.test(from, to)
                || oneWay.contains(answer ? to + ">" + from : from + ">" + to);
    }

    /**
     * Nothing passes from there to there, though it does the other way; what was held back is delivered when it is
     * over.
     */
    void cutOneWay(String from, String to, long ms) {
        oneWay.add(from + ">" + to);
        at(ms, () -> {
            oneWay.remove(from + ">" + to);
            List<Runnable> late = cut.contains(link(from, to)) ? null : held.remove(link(from, to));
            if (late != null) {
                late.forEach(Runnable::run);
            }
        });
    }

    /** That host's calls to the address are refused; those already waiting there, as a watch does, go on waiting. */
    void refuse(String from, String to, long ms) {
        refused.add(from + ">" + to);
        at(ms, () -> refused.remove(from + ">" + to));
    }

    /** Calls to the address, and its answers, each take up to that much longer, and may overtake one another. */
    void slow(String address, int byMs, long ms) {
        slow.put(address, byMs);
        at(ms, () -> slow.remove(address));
    }

    private long latency(String address) {
        return 1L + random.nextInt(5) + (slow.isEmpty() ? 0 : random.nextInt(1 + slow.getOrDefault(address, 0)));
    }

    /** A request that was held up, or a copy of one, arrives at an address; nobody gets its answer. */
    void deliverOnce(Request call, String to) {
        if (endpoints.get(to).listens()) {
            endpoints.get(to).request(call.method(), call.path(), call.body(), r -> {});
        }
    }

    /** The same request once more, after a while, to another address; nobody gets its answer. */
    private void copy(Request call) {
        if (call.path().equals(HEARTBEAT_PATH) && copyShare > 0 && random.nextDouble() < copyShare) {
            String to = "p" + random.nextInt(3) + ":1";
            at(1_000 + random.nextInt(60_000), () -> deliverOnce(call, to));
        }
    }

    /**
     * From now on nothing passes from a host to an address, nor back, for which that says so; until the next such word.
     * What was held back is delivered then.
     */
    void close(BiPredicate<String, String> which) {
        closed = which;
        for (String link : new ArrayList<>(held.keySet())) {
            if (!cut.contains(link)) {
                held.remove(link).forEach(Runnable::run);
            }
        }
    }

    /**
     * A digest of every call and every answer of the day so far: the same seed and the same decisions give the same
     * one.
     */
    String digest() {
        if (digest == null) {
            digest = played.hash().toString();
        }
        return digest;
    }

    /** Sends a request from one host to an address; the response comes exactly once. */
    void send(String from, Request call, Consumer<Response> callback) {
        played.putLong(now)
                .putString(from + call.address() + call.method() + call.path() + call.body(), StandardCharsets.UTF_8);
        Consumer<Response> once = onlyFirst(callback);
        Endpoint endpoint = endpoints.get(call.address());
        if (endpoint == null || !endpoint.listens()) {
            at(1, () -> once.accept(Response.notSent()));
            return;
        }
        at(call.timeoutMs(), () -> once.accept(Response.noResponse()));
        copy(call);
        if (call.path().equals(HEARTBEAT_PATH)) {
            reporting.accept(call);
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

    /** Applies {@link #heldUp}. */
    private boolean isHeldUp(String from, Request call) {
        long heldUpMs = heldUp.applyAsLong(from, call);
        if (heldUpMs != 0 && heldUpMs != LOST) {
            at(heldUpMs, () -> deliverOnce(call, call.address()));
        }
        return heldUpMs != 0;
    }

    /** Answers the call with 503 if the address refuses this host. */
    private boolean isRefused(String from, Request call, Consumer<Response> callback) {
        boolean isRefused = refused.contains(from + ">" + call.address());
        if (isRefused) {
            at(2, () -> callback.accept(new Response(503, Codec.object())));
        }
        return isRefused;
    }

    /** Draws whether {@link #lateWriteShare} strikes the call; if so, it is carried out later and never answered. */
    private boolean isLateWrite(Endpoint endpoint, Request call) {
        boolean isLate = isFaultyWrite(call, lateWriteShare);
        if (isLate) {
            at(
                    2_000 + random.nextInt(10_000),
                    () -> endpoint.request(call.method(), call.path(), call.body(), response -> {}));
        }
        return isLate;
    }

    private boolean isFaultyWrite(Request call, double share) {
        return share > 0
                && call.path().equals(COMMIT_PATH)
                && lateWrites.test(call.body())
                && random.nextDouble() < share;
    }

    private void deliver(String from, Request call, Endpoint endpoint, Consumer<Response> callback) {
        String link = link(from, call.address());
        boolean isAnswerLost = isFaultyWrite(call, lostAnswerShare);
        long latency = latency(call.address());
        int life = endpoint.life();
        Runnable execute = () -> {
            if (endpoint.listens() && endpoint.life() == life) {
                endpoint.request(call.method(), call.path(), call.body(), response -> {
                    played.putLong(now)
                            .putInt(response.status())
                            .putString(call.address() + response.body(), StandardCharsets.UTF_8);
                    if (!isAnswerLost && !answerLost.test(call)) {
                        sendBack(from, call, response, callback);
                    }
                });
            }
        };
        if (shut(link, from, call.address(), false)) {
            hold(link, execute);
        } else if (lateShare > 0 && !call.path().startsWith(WATCH_PATH) && random.nextDouble() < lateShare) {
            at(random.nextInt(60_000), execute);
        } else {
            at(latency, () -> {
                if (shut(link, from, call.address(), false)) {
                    hold(link, execute);
                } else {
                    execute.run();
                }
            });
        }
    }

    private void sendBack(String from, Request call, Response response, Consumer<Response> callback) {
        String link = link(from, call.address());
        Runnable arrive = () -> at(latency(call.address()), () -> callback.accept(response));
        if (shut(link, from, call.address(), true)) {
            hold(link, arrive);
        } else {
            arrive.run();
        }
    }

    private void hold(String link, Runnable delivery) {
        held.computeIfAbsent(link, key -> new ArrayList<>()).add(delivery);
    }

    /**
     * The runtime of one process; once it is killed nothing of it runs any more. What it decides to send leaves it a
     * millisecond later: if it stands still in between, that goes out, if at all, when it goes on.
     */
    final class Process implements EventLoop {
        private static final long OUT_MS = 1;

        private final String host;
        /**
         * Its connections; null: as many as it likes. A machine's stays open until it is closed after an answer, or
         * unused for long.
         */
        private ConnectionBudget sockets;

        private int limit;
        private final Map<String, Long> reporters = new HashMap<>();
        /**
         * Milliseconds of processor time for each thing that it does; 0: none. What it can't do at once waits its turn.
         */
        private double costMs;

        private final ArrayDeque<Runnable> turn = new ArrayDeque<>();
        private double busyUntil;
        private boolean draining;
        /** How fast this process's steady clock runs. */
        private final double rate;

        boolean dead;
        private long frozenUntil;
        /** Calls of that kind freeze the process, once, after they were decided on and before they are sent. */
        private Predicate<Request> trap = call -> false;

        private long trapMs;

        Process(String host, double rate) {
            this.host = host;
            this.rate = rate;
        }

        @Override
        public long now() {
            return (long) (now * rate);
        }

        @Override
        public long wallClockMs() {
            return now;
        }

        @Override
        public void after(long ms, Runnable task) {
            at((long) (ms / rate), () -> awake(task));
        }

        /** Now, or once the process goes on; never if it was killed. */
        void awake(Runnable task) {
            if (dead) {
                return;
            }
            if (now < frozenUntil) {
                at(frozenUntil - now, () -> awake(task));
            } else if (costMs == 0) {
                task.run();
            } else {
                turn.add(task);
                drain();
            }
        }

        /** One thing after the other, each at its cost. */
        private void drain() {
            if (!draining && !dead) {
                while (!turn.isEmpty() && busyUntil <= now) {
                    busyUntil = Math.max(busyUntil, (double) now) + costMs;
                    turn.poll().run();
                }
                if (!turn.isEmpty()) {
                    draining = true;
                    at((long) Math.ceil(busyUntil - now), () -> {
                        draining = false;
                        drain();
                    });
                }
            }
        }

        void limit(int sockets, double costMs) {
            this.sockets = sockets > 0 ? new ConnectionBudget(sockets) : null;
            this.limit = sockets;
            this.costMs = costMs;
        }

        /** A report arrives: false if there is no socket for its connection. */
        boolean accepts(String from) {
            if (sockets == null || reporters.put(from, now) != null) {
                return true;
            }
            if (Stream.of(ConnectionBudget.Kind.values())
                            .mapToInt(sockets::open)
                            .sum()
                    >= limit) {
                reporters.remove(from);
                return false;
            }
            sockets.opened(ConnectionBudget.Kind.HEARTBEATS);
            return true;
        }

        /** It was answered: the connection closes now if others need it, else when it has been unused for long. */
        void answered(String from) {
            if (sockets != null && reporters.containsKey(from)) {
                long used = reporters.get(from);
                at(
                        sockets.shouldCloseAfterResponse(ConnectionBudget.Kind.HEARTBEATS)
                                ? 0
                                : NetworkConstants.IDLE_CONNECTION_TIMEOUT_MS,
                        () -> {
                            if (reporters.remove(from, used)) {
                                sockets.closed(ConnectionBudget.Kind.HEARTBEATS);
                            }
                        });
            }
        }

        /** It stands still while its clocks run on. */
        void freeze(long ms) {
            frozenUntil = Math.max(frozenUntil, now + ms);
        }

        void freezeBeforeSending(Predicate<Request> which, long ms) {
            trap = which;
            trapMs = ms;
        }

        /** What was decided now leaves the process. */
        void out(Runnable send) {
            at(OUT_MS, () -> awake(send));
        }

        @Override
        public void send(Request call, Consumer<Response> callback) {
            if (trap.test(call)) {
                trap = c -> false;
                freeze(trapMs);
            }
            ConnectionBudget.Kind kind = call.toPeer() || call.address().endsWith(":1")
                    ? ConnectionBudget.Kind.CONTROL
                    : ConnectionBudget.Kind.COMMANDS;
            if (sockets != null) {
                if (kind == ConnectionBudget.Kind.COMMANDS && !sockets.hasCapacity(kind)) {
                    at(0, () -> awake(() -> callback.accept(Response.noCapacity())));
                    return;
                }
                sockets.opened(kind);
            }
            Consumer<Response> in = r -> {
                if (sockets != null) {
                    sockets.closed(kind);
                }
                awake(() -> callback.accept(r));
            };
            out(() -> {
                if (call.validWhile().getAsBoolean()) {
                    sending.accept(host, call);
                    SimulatedWorld.this.send(host, call, in);
                } else {
                    in.accept(Response.notSent());
                }
            });
        }
    }
}
