package org.hollypick.store;

import java.util.ArrayDeque;
import java.util.function.Consumer;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/**
 * Queue of requests that wait until this controller's {@link StoreRateBudget} allows them. Reads and commits have
 * separate queues: a read, which costs no writes, never waits behind a commit that the write budget doesn't allow yet.
 * A request whose queue is full, or that waits for too long, fails with {@link Response#notSent()}. Confined to the
 * event loop.
 */
final class StoreRequestQueue {
    private static final double MILLIS_PER_SECOND = 1000.0;

    private final EventLoop eventLoop;
    private final StoreRateBudget budget;
    private final StoreUsage usage;
    private final Consumer<Item> sender;
    private final ArrayDeque<Item> reads = new ArrayDeque<>();
    private final ArrayDeque<Item> commits = new ArrayDeque<>();
    private int queuedWrites;
    private boolean drainScheduled;

    /**
     * A request in the queue.
     *
     * @param transaction the transaction to commit; null for a read
     * @param enqueuedAtMillis when the request was queued, by the steady clock
     */
    record Item(Request request, CompareAndSwap transaction, long enqueuedAtMillis, Consumer<Response> callback) {
        boolean isCommit() {
            return transaction != null;
        }

        int writeCount() {
            return transaction == null ? 0 : transaction.writeCount();
        }

        boolean hasTimedOut(long nowMillis) {
            return nowMillis >= enqueuedAtMillis + StoreConstants.STORE_QUEUE_TIMEOUT_MS;
        }
    }

    /** {@code sender}: sends a request that has left the queue; the budget has been charged for the request. */
    StoreRequestQueue(EventLoop eventLoop, StoreRateBudget budget, StoreUsage usage, Consumer<Item> sender) {
        this.eventLoop = eventLoop;
        this.budget = budget;
        this.usage = usage;
        this.sender = sender;
    }

    /** Queues a read, and sends it at once if the budget allows that. */
    void addRead(Request request, Consumer<Response> callback) {
        add(reads, new Item(request, null, eventLoop.now(), callback));
    }

    /** Queues a commit, and sends it at once if the budget allows that. */
    void addCommit(Request request, CompareAndSwap transaction, Consumer<Response> callback) {
        add(commits, new Item(request, transaction, eventLoop.now(), callback));
    }

    private void add(ArrayDeque<Item> queue, Item item) {
        if (queue.size() >= StoreConstants.STORE_QUEUE_LENGTH) {
            rejectUnsent(item);
            return;
        }
        queuedWrites += item.writeCount();
        queue.add(item);
        usage.queueLengthObserved(reads.size() + commits.size());
        drain();
    }

    /** Whether no request is queued. */
    boolean isEmpty() {
        return reads.isEmpty() && commits.isEmpty();
    }

    /** Whether a commit that is added now would be rejected because the queue is full, or would probably time out. */
    boolean isOverloaded() {
        double admittedWrites = budget.writesPerSecond()
                * StoreConstants.STORE_QUEUE_TIMEOUT_MS
                / MILLIS_PER_SECOND
                * StoreConstants.ADMITTED_QUEUE_SHARE;
        return commits.size() >= StoreConstants.STORE_QUEUE_LENGTH || queuedWrites > Math.max(1, admittedWrites);
    }

    private void drain() {
        long nowMillis = eventLoop.now();
        rejectTimedOut(reads, nowMillis);
        rejectTimedOut(commits, nowMillis);
        for (ArrayDeque<Item> queue = nextQueue(nowMillis); queue != null; queue = nextQueue(nowMillis)) {
            send(queue.poll(), nowMillis);
        }
        scheduleDrain();
    }

    private void scheduleDrain() {
        if (drainScheduled || isEmpty()) {
            return;
        }
        drainScheduled = true;
        eventLoop.after(StoreConstants.STORE_QUEUE_POLL_MS, () -> {
            drainScheduled = false;
            drain();
        });
    }

    /**
     * Selects the queue whose first request may be sent now; if that holds for both, the one whose first request has
     * waited longer.
     *
     * @return null if no request may be sent now
     */
    private ArrayDeque<Item> nextQueue(long nowMillis) {
        if (!budget.allowsRequest(nowMillis)) {
            return null;
        }
        Item read = reads.peek();
        Item commit = commits.peek();
        if (commit == null || !budget.allowsWrites(commit.writeCount(), nowMillis)) {
            return read == null ? null : reads;
        }
        return read == null || commit.enqueuedAtMillis <= read.enqueuedAtMillis ? commits : reads;
    }

    private void rejectTimedOut(ArrayDeque<Item> queue, long nowMillis) {
        while (!queue.isEmpty() && queue.peek().hasTimedOut(nowMillis)) {
            Item timedOut = queue.poll();
            queuedWrites -= timedOut.writeCount();
            rejectUnsent(timedOut);
        }
    }

    private void rejectUnsent(Item item) {
        usage.requestDropped();
        item.callback.accept(Response.notSent());
    }

    private void send(Item item, long nowMillis) {
        queuedWrites -= item.writeCount();
        budget.requestSent(nowMillis);
        budget.writesSent(item.writeCount(), nowMillis);
        usage.queueWaitObserved(nowMillis - item.enqueuedAtMillis);
        sender.accept(item);
    }
}
