package org.hollypick.store;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReachabilityConstants;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.Codec;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.io.TokenBucket;
import org.hollypick.peer.RequestRouter;

/** The state service's protocol, inside this node's share of its limits. Leases never wait in the queue. */
public final class KeyValueStoreClient {
    /** Nothing is ever written here: the answer tells the epoch, and that there is a way. */
    private static final String NEVER = "h/never";

    private final EventLoop eventLoop;
    private final RequestRouter routes;
    private final String address;
    private final Settings settings;
    private final TokenBucket requests;
    private final TokenBucket writes;
    /** Requests that change nothing: they need no share of the changes and so never wait behind one that does. */
    private final ArrayDeque<Queued> reads = new ArrayDeque<>();

    private final ArrayDeque<Queued> commits = new ArrayDeque<>();
    private final StoreUsage usage = new StoreUsage();
    private int queuedPuts;
    /** Null unless this controller leads. */
    private WriteShare leaderShare;
    /** The queues will be looked at again shortly. */
    private boolean wakes;

    private record Queued(
            Request call, RequestRouter.Kind kind, CompareAndSwap txn, long since, Consumer<Response> reply) {
        int puts() {
            return txn == null ? 0 : txn.writeCount();
        }

        boolean late(long now) {
            return now >= since + StoreConstants.STORE_QUEUE_TIMEOUT_MS;
        }
    }

    public KeyValueStoreClient(EventLoop eventLoop, Settings settings) {
        this.eventLoop = eventLoop;
        this.address = settings.state();
        this.routes = new RequestRouter(
                eventLoop,
                settings.siblings(),
                Request.of(address, "GET", "/keys/" + NEVER, null, ReachabilityConstants.ROUTE_RETRY_MS));
        this.settings = settings;
        int nodes = settings.siblings().size() + 1;
        this.requests = new TokenBucket(settings.stateRps() * StoreConstants.STORE_RATE_SHARE / nodes, eventLoop.now());
        this.writes = new TokenBucket(1, eventLoop.now());
        setLeader(false);
        eventLoop.after(ReconcileConstants.METRICS_LOG_INTERVAL_MS, this::logUsage);
    }

    private void logUsage() {
        usage.log();
        eventLoop.after(ReconcileConstants.METRICS_LOG_INTERVAL_MS, this::logUsage);
    }

    /** How calls get there; other controllers' too. */
    public RequestRouter router() {
        return routes;
    }

    /**
     * The leader's share of the writes is larger: progress and machines are its to record. It also has what the others
     * leave unused.
     */
    public void setLeader(boolean leader) {
        int others = Math.max(1, settings.siblings().size());
        double all = settings.stateWriteRps() * StoreConstants.STORE_RATE_SHARE;
        double own = settings.siblings().isEmpty() ? all : all * StoreConstants.LEADER_WRITE_SHARE;
        leaderShare = leader ? new WriteShare(all, own, eventLoop.now()) : null;
        writes.setRate(
                settings.siblings().isEmpty() || leader ? own : all * (1 - StoreConstants.LEADER_WRITE_SHARE) / others);
    }

    private void followShare() {
        if (leaderShare != null) {
            writes.setRate(leaderShare.rate(eventLoop.now()), writes.size());
        }
    }

    /** The watch showed so many changes, of whichever controller. */
    private void seen(Response events) {
        if (leaderShare != null && events.ok()) {
            leaderShare.seen(events.body().path("events").size(), eventLoop.now());
            followShare();
        }
    }

    private void own(CompareAndSwap txn, Response reply) {
        if (leaderShare != null && reply.ok()) {
            leaderShare.own(txn.writeCount(), eventLoop.now());
            followShare();
        }
    }

    /** Whether a new write would wait here for longer than it may: whoever wants it is told so at once. */
    public boolean shouldShedWrite() {
        boolean crowded = full()
                || queuedPuts
                        > Math.max(
                                1,
                                writes.rate()
                                        * StoreConstants.STORE_QUEUE_TIMEOUT_MS
                                        / 1000.0
                                        * StoreConstants.ADMITTED_QUEUE_SHARE);
        if (crowded) {
            usage.refused();
        }
        return crowded;
    }

    private boolean full() {
        return commits.size() >= StoreConstants.STORE_QUEUE_LENGTH;
    }

    /**
     * Whether there is room for writes that can wait: nothing is queued, and half a second's worth is left for what
     * users wait for.
     */
    public boolean hasSpareWriteCapacity() {
        return areQueuesEmpty() && writes.has(writes.size() / 2, eventLoop.now());
    }

    /** Whether every request so far was sent as soon as it came. */
    public boolean areQueuesEmpty() {
        return reads.isEmpty() && commits.isEmpty();
    }

    /** Changes to put into one transaction at most, if there are many. */
    public int maxBatchWrites() {
        return (int) Math.max(1, Math.min(settings.txnOps(), writes.rate() * StoreConstants.WRITE_BATCH_S));
    }

    public void get(String key, Consumer<Response> reply) {
        submit(
                Request.of(address, "GET", "/keys/" + key, null, StoreConstants.STORE_TIMEOUT_MS),
                RequestRouter.Kind.REPEATABLE,
                null,
                reply);
    }

    /** The answer is 404 and tells the epoch. */
    public void readRevision(Consumer<Response> reply) {
        get(NEVER, reply);
    }

    public void listPage(String prefix, String from, Consumer<Response> reply) {
        String path = "/keys?prefix=" + prefix + (from == null ? "" : "&from=" + from) + "&page=500";
        submit(
                Request.of(address, "GET", path, null, StoreConstants.STORE_TIMEOUT_MS),
                RequestRouter.Kind.REPEATABLE,
                null,
                reply);
    }

    public void commit(CompareAndSwap txn, Consumer<Response> reply) {
        submit(
                Request.of(address, "POST", "/commit", StoreCodec.encode(txn), StoreConstants.STORE_TIMEOUT_MS),
                RequestRouter.Kind.ONCE,
                txn,
                reply);
    }

    /** Leadership and membership: ahead of the queue, like leases. */
    public void commitUrgently(CompareAndSwap txn, Consumer<Response> reply) {
        writes.take(txn.writeCount(), eventLoop.now());
        usage.writesSent(txn);
        urgent(
                Request.of(address, "POST", "/commit", StoreCodec.encode(txn), StoreConstants.STORE_TIMEOUT_MS),
                RequestRouter.Kind.ONCE,
                StoreUsage.Request.COMMIT,
                r -> {
                    own(txn, r);
                    reply.accept(r);
                });
    }

    /** Asked twice, one of two state sessions is never used and ends by itself. */
    public void grantSession(long lifeMs, Consumer<Response> reply) {
        urgent(
                Request.of(
                        address,
                        "POST",
                        "/holds",
                        Codec.object().put("life_ms", lifeMs),
                        StoreConstants.STORE_TIMEOUT_MS),
                RequestRouter.Kind.REPEATABLE,
                StoreUsage.Request.HOLD,
                reply);
    }

    public void renewSession(long stateSession, Consumer<Response> reply) {
        urgent(
                Request.of(
                        address,
                        "POST",
                        "/holds/" + Long.toUnsignedString(stateSession) + "/extend",
                        Codec.object(),
                        StoreConstants.STORE_TIMEOUT_MS),
                RequestRouter.Kind.REPEATABLE,
                StoreUsage.Request.HOLD,
                reply);
    }

    public void endSession(long stateSession, Consumer<Response> reply) {
        urgent(
                Request.of(
                        address,
                        "DELETE",
                        "/holds/" + Long.toUnsignedString(stateSession),
                        null,
                        StoreConstants.STORE_TIMEOUT_MS),
                RequestRouter.Kind.REPEATABLE,
                StoreUsage.Request.HOLD,
                reply);
    }

    public void watch(String prefix, long from, Consumer<Response> reply) {
        urgent(
                Request.of(
                        address,
                        "GET",
                        "/watch?prefix=" + prefix + "&from=" + Long.toUnsignedString(from) + "&wait_ms="
                                + StoreConstants.WATCH_WAIT_MS,
                        null,
                        StoreConstants.WATCH_WAIT_MS + StoreConstants.STORE_TIMEOUT_MS),
                RequestRouter.Kind.WATCH,
                StoreUsage.Request.WATCH,
                r -> {
                    seen(r);
                    reply.accept(r);
                });
    }

    private void urgent(Request call, RequestRouter.Kind kind, StoreUsage.Request counted, Consumer<Response> reply) {
        requests.take(1, eventLoop.now());
        usage.sent(counted);
        routes.call(call, kind, reply);
    }

    private void submit(Request call, RequestRouter.Kind kind, CompareAndSwap txn, Consumer<Response> reply) {
        ArrayDeque<Queued> queue = txn == null ? reads : commits;
        if (queue.size() >= StoreConstants.STORE_QUEUE_LENGTH) {
            usage.notSent();
            reply.accept(Response.notSent());
            return;
        }
        Queued next = new Queued(call, kind, txn, eventLoop.now(), reply);
        queuedPuts += next.puts();
        queue.add(next);
        usage.queued(reads.size() + commits.size());
        drain();
    }

    private void drain() {
        long now = eventLoop.now();
        dropLate(reads, now);
        dropLate(commits, now);
        for (ArrayDeque<Queued> queue = sendable(now); queue != null; queue = sendable(now)) {
            send(queue.poll(), now);
        }
        if (!wakes && !(reads.isEmpty() && commits.isEmpty())) {
            wakes = true;
            eventLoop.after(StoreConstants.STORE_QUEUE_POLL_MS, () -> {
                wakes = false;
                drain();
            });
        }
    }

    /** The queue whose first request has waited longest of those that the limits allow now; null if they allow none. */
    private ArrayDeque<Queued> sendable(long now) {
        if (!requests.has(1, now)) {
            return null;
        }
        Queued read = reads.peek();
        Queued commit = commits.peek();
        if (commit == null || !writes.has(commit.puts(), now)) {
            return read == null ? null : reads;
        }
        return read == null || commit.since <= read.since ? commits : reads;
    }

    private void dropLate(ArrayDeque<Queued> queue, long now) {
        while (!queue.isEmpty() && queue.peek().late(now)) {
            Queued late = queue.poll();
            queuedPuts -= late.puts();
            usage.notSent();
            late.reply.accept(Response.notSent());
        }
    }

    private void send(Queued next, long now) {
        queuedPuts -= next.puts();
        requests.take(1, now);
        writes.take(next.puts(), now);
        usage.sent(next.txn == null ? StoreUsage.Request.READ : StoreUsage.Request.COMMIT);
        usage.waited(now - next.since);
        if (next.txn != null) {
            usage.writesSent(next.txn);
        }
        routes.call(next.call, next.kind, r -> {
            if (next.txn != null) {
                own(next.txn, r);
            }
            next.reply.accept(r);
        });
    }
}
