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
 * Client of the consensus-backed key-value store. Reads and commits are queued until this controller's share of the
 * store's rate limits allows them; session requests, watches and urgent commits are charged to that share but sent at
 * once. Each callback runs exactly once. Confined to the event loop.
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
     * Creates a client of the store named in the settings. Its write share is that of a follower until
     * {@link #setLeader} is called.
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

    /** The router of requests to the store, which also forwards requests of other controllers. */
    public RequestRouter router() {
        return router;
    }

    /** Sets whether this controller leads: the leader has a larger share of the writes. */
    public void setLeader(boolean leader) {
        budget.setLeader(leader, eventLoop.now());
    }

    /** Whether a new write should be rejected at once, since it would time out in the queue. Counts such rejections. */
    public boolean shouldShedWrite() {
        boolean overloaded = queue.isOverloaded();
        if (overloaded) {
            usage.writeShed();
        }
        return overloaded;
    }

    /** Whether deferrable writes may be sent: no request is queued, and at least half of the write budget is left. */
    public boolean hasSpareWriteCapacity() {
        return areQueuesEmpty() && budget.hasSpareWrites(eventLoop.now());
    }

    /** Whether no request is queued. */
    public boolean areQueuesEmpty() {
        return queue.isEmpty();
    }

    /**
     * The maximum number of writes for one batched transaction: bounded by the store's limit for a transaction, and by
     * the writes that this controller may make in {@link StoreConstants#MAX_WRITE_BATCH_S}.
     */
    public int maxBatchWrites() {
        return (int)
                Math.max(1, Math.min(settings.txnOps(), budget.writesPerSecond() * StoreConstants.MAX_WRITE_BATCH_S));
    }

    /** Reads one key. */
    public void get(String key, Consumer<StoreResult<KeyValue>> callback) {
        queue.addRead(requests.get(key), response -> callback.accept(StoreCodec.decodeGet(response)));
    }

    /** Reads the store's revision, which is at least that of every write confirmed before this call. */
    public void readRevision(Consumer<StoreResult<Long>> callback) {
        queue.addRead(requests.readRevision(), response -> callback.accept(StoreCodec.decodeRevision(response)));
    }

    /**
     * Reads one page of the keys under a prefix with their values.
     *
     * @param afterKey the last key of the previous page; null for the first page
     */
    public void listPage(String prefix, String afterKey, Consumer<StoreResult<KeyValuePage>> callback) {
        queue.addRead(
                requests.listPage(prefix, afterKey), response -> callback.accept(StoreCodec.decodePage(response)));
    }

    /** Queues a transaction, which is committed as soon as the rate limits allow it. */
    public void commit(CompareAndSwap transaction, Consumer<CommitResult> callback) {
        queue.addCommit(
                requests.commit(transaction),
                transaction,
                response -> callback.accept(StoreCodec.decodeCommit(response)));
    }

    /** Commits a transaction without queueing it; for writes about leadership and membership, which must not wait. */
    public void commitUrgently(CompareAndSwap transaction, Consumer<CommitResult> callback) {
        budget.writesSent(transaction.writeCount(), eventLoop.now());
        usage.writesSent(transaction);
        sendUrgently(requests.commit(transaction), RequestRouter.Kind.ONCE, StoreUsage.RequestKind.COMMIT, response -> {
            countCommitted(transaction, response);
            callback.accept(StoreCodec.decodeCommit(response));
        });
    }

    /**
     * Opens a session and passes its id to the callback. Keys attached to the session exist only as long as the session
     * is renewed. The request may be sent twice: an unused session expires.
     */
    public void grantSession(long ttlMillis, Consumer<StoreResult<Long>> callback) {
        sendSessionRequest(
                requests.grantSession(ttlMillis), response -> callback.accept(StoreCodec.decodeSessionGrant(response)));
    }

    /** Renews a session; the status is {@link StoreStatus#NOT_FOUND} if the session has expired. */
    public void renewSession(long sessionId, Consumer<StoreStatus> callback) {
        sendSessionRequest(
                requests.renewSession(sessionId),
                response -> callback.accept(StoreCodec.decodeSessionRenewal(response)));
    }

    /** Ends a session, which deletes its keys; the status is {@link StoreStatus#NOT_FOUND} if it has expired. */
    public void endSession(long sessionId, Consumer<StoreStatus> callback) {
        sendSessionRequest(
                requests.endSession(sessionId), response -> callback.accept(StoreCodec.decodeSessionEnd(response)));
    }

    /** Waits for changes under a prefix after the given revision, for at most {@link StoreConstants#WATCH_WAIT_MS}. */
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
