package org.hollypick.store;

import java.util.function.Consumer;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ReconcileConstants;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;
import org.hollypick.peer.RequestRouter;

/**
 * Client of the consensus-backed key-value store. Reads and commits wait in a queue for this controller's share of the
 * store's rate limits; sessions, watches and urgent commits are sent at once and charged to the budget afterwards. Each
 * callback runs exactly once. Confined to the event loop.
 */
public final class KeyValueStoreClient {
    private final EventLoop eventLoop;
    private final Settings settings;
    private final StoreRequests requests;
    private final RequestRouter router;
    private final StoreRateBudget budget;
    private final StoreUsage usage = new StoreUsage();
    private final StoreRequestQueue queue;

    /**
     * A client of the store that the settings name; it starts with the write share of a controller that doesn't lead.
     */
    public KeyValueStoreClient(EventLoop eventLoop, Settings settings) {
        this.eventLoop = eventLoop;
        this.settings = settings;
        this.requests = new StoreRequests(settings.state());
        this.router = new RequestRouter(eventLoop, settings.siblings(), requests.probe());
        this.budget = new StoreRateBudget(settings, eventLoop.now());
        this.queue = new StoreRequestQueue(eventLoop, budget, usage, this::sendQueued);
        scheduleUsageReport();
    }

    private void scheduleUsageReport() {
        eventLoop.after(ReconcileConstants.METRICS_LOG_INTERVAL_MS, () -> {
            usage.report();
            scheduleUsageReport();
        });
    }

    /** The router of the requests to the store, which also forwards those of other controllers. */
    public RequestRouter router() {
        return router;
    }

    /** Follows this controller's role: the leader's share of the writes is larger. */
    public void setLeader(boolean leader) {
        budget.setLeader(leader, eventLoop.now());
    }

    /**
     * Whether a new write should be rejected at once, since it would wait here for too long. Counts such rejections.
     */
    public boolean shouldShedWrite() {
        boolean overloaded = queue.isOverloaded();
        if (overloaded) {
            usage.writeShed();
        }
        return overloaded;
    }

    /** Whether there is room for writes that can be deferred: no request waits, and the write budget is half full. */
    public boolean hasSpareWriteCapacity() {
        return areQueuesEmpty() && budget.hasSpareWrites(eventLoop.now());
    }

    /** Whether every request so far was sent as soon as it came. */
    public boolean areQueuesEmpty() {
        return queue.isEmpty();
    }

    /** How many writes to put into one transaction at most, if there are many. */
    public int maxBatchWrites() {
        return (int) Math.max(1, Math.min(settings.txnOps(), budget.writesPerSecond() * StoreConstants.WRITE_BATCH_S));
    }

    /** Reads one key. */
    public void get(String key, Consumer<StoreResult<KeyValue>> callback) {
        queue.addRead(requests.get(key), response -> callback.accept(StoreCodec.decodeGet(response)));
    }

    /** Reads the store's revision, which is at least that of every write answered before this call. */
    public void readRevision(Consumer<StoreResult<Long>> callback) {
        queue.addRead(requests.readRevision(), response -> callback.accept(StoreCodec.decodeRevision(response)));
    }

    /**
     * Reads some of the keys under a prefix with their values.
     *
     * @param afterKey the last key of the page before; null for the first page
     */
    public void listPage(String prefix, String afterKey, Consumer<StoreResult<KeyValuePage>> callback) {
        queue.addRead(
                requests.listPage(prefix, afterKey), response -> callback.accept(StoreCodec.decodePage(response)));
    }

    /** Commits a transaction when its turn comes. */
    public void commit(CompareAndSwap transaction, Consumer<CommitResult> callback) {
        queue.addCommit(
                requests.commit(transaction),
                transaction,
                response -> callback.accept(StoreCodec.decodeCommit(response)));
    }

    /** Commits a transaction ahead of the queue: for leadership and membership, which must not wait. */
    public void commitUrgently(CompareAndSwap transaction, Consumer<CommitResult> callback) {
        budget.writesSent(transaction.writeCount(), eventLoop.now());
        usage.writesSent(transaction);
        sendUrgently(requests.commit(transaction), RequestRouter.Kind.ONCE, StoreUsage.RequestKind.COMMIT, response -> {
            countCommitted(transaction, response);
            callback.accept(StoreCodec.decodeCommit(response));
        });
    }

    /**
     * Opens a session, which keeps the keys that were put with it for as long as it is renewed. The result is its id.
     * Repeating the request is harmless: a session that nobody uses expires.
     */
    public void grantSession(long ttlMillis, Consumer<StoreResult<Long>> callback) {
        sendSessionRequest(
                requests.grantSession(ttlMillis), response -> callback.accept(StoreCodec.decodeSessionGrant(response)));
    }

    /** Renews a session; {@link StoreStatus#NOT_FOUND} if it has expired. */
    public void renewSession(long sessionId, Consumer<StoreStatus> callback) {
        sendSessionRequest(
                requests.renewSession(sessionId),
                response -> callback.accept(StoreCodec.decodeSessionRenewal(response)));
    }

    /** Ends a session and deletes its keys; {@link StoreStatus#NOT_FOUND} if it had expired. */
    public void endSession(long sessionId, Consumer<StoreStatus> callback) {
        sendSessionRequest(
                requests.endSession(sessionId), response -> callback.accept(StoreCodec.decodeSessionEnd(response)));
    }

    /** Waits for changes under a prefix after that revision, for some seconds at most. */
    public void watch(String prefix, long afterRevision, Consumer<StoreResult<WatchResponse>> callback) {
        sendUrgently(
                requests.watch(prefix, afterRevision),
                RequestRouter.Kind.WATCH,
                StoreUsage.RequestKind.WATCH,
                response -> {
                    StoreResult<WatchResponse> result = StoreCodec.decodeWatch(response);
                    if (result.ok()) {
                        budget.writesObserved(result.value().changes().size(), eventLoop.now());
                    }
                    callback.accept(result);
                });
    }

    private void sendSessionRequest(Request request, Consumer<Response> callback) {
        sendUrgently(request, RequestRouter.Kind.REPEATABLE, StoreUsage.RequestKind.SESSION, callback);
    }

    private void sendUrgently(
            Request request,
            RequestRouter.Kind routing,
            StoreUsage.RequestKind countedAs,
            Consumer<Response> callback) {
        budget.requestSent(eventLoop.now());
        usage.requestSent(countedAs);
        router.call(request, routing, callback);
    }

    private void sendQueued(StoreRequestQueue.Item item) {
        if (!item.isCommit()) {
            usage.requestSent(StoreUsage.RequestKind.READ);
            router.call(item.request(), RequestRouter.Kind.REPEATABLE, item.callback());
            return;
        }
        usage.requestSent(StoreUsage.RequestKind.COMMIT);
        usage.writesSent(item.transaction());
        router.call(item.request(), RequestRouter.Kind.ONCE, response -> {
            countCommitted(item.transaction(), response);
            item.callback().accept(response);
        });
    }

    private void countCommitted(CompareAndSwap transaction, Response response) {
        if (response.ok()) {
            budget.ownWritesCommitted(transaction.writeCount(), eventLoop.now());
        }
    }
}
