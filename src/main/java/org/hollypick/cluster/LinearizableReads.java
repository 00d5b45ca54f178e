package org.hollypick.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyValueStoreClient;

/**
 * Linearizable reads of a {@link StoreReplica}: each waits until the replica has reached the store's revision as it was
 * read after the request. One read of that revision serves all requests that came before it was sent, and the next one
 * those that came since. Confined to the event loop.
 */
final class LinearizableReads {
    private final EventLoop eventLoop;
    private final KeyValueStoreClient store;
    private final StoreReplica replica;
    /** Requests that need a read of the revision which isn't sent yet. */
    private List<Consumer<Boolean>> waitingForRead = new ArrayList<>();

    private final List<PendingReads> waitingForReplica = new ArrayList<>();
    private boolean readInProgress;

    /** Requests that wait until the replica reaches a revision. */
    private record PendingReads(long revision, long deadline, List<Consumer<Boolean>> callbacks) {}

    LinearizableReads(EventLoop eventLoop, KeyValueStoreClient store, StoreReplica replica) {
        this.eventLoop = eventLoop;
        this.store = store;
        this.replica = replica;
    }

    void submit(Consumer<Boolean> callback) {
        waitingForRead.add(callback);
        if (!readInProgress) {
            readRevision();
        }
    }

    private void readRevision() {
        readInProgress = true;
        List<Consumer<Boolean>> batch = waitingForRead;
        waitingForRead = new ArrayList<>();
        store.readRevision(result -> {
            if (result.ok() && replica.isLoaded()) {
                awaitReplica(result.value(), batch);
            } else {
                batch.forEach(callback -> callback.accept(false));
            }
            eventLoop.after(StoreConstants.WATCH_GAP_MS, this::readNext);
        });
    }

    private void readNext() {
        readInProgress = false;
        if (!waitingForRead.isEmpty()) {
            readRevision();
        }
    }

    private void awaitReplica(long revision, List<Consumer<Boolean>> callbacks) {
        long deadline = eventLoop.now() + StoreConstants.WATCH_CATCH_UP_MS;
        waitingForReplica.add(new PendingReads(revision, deadline, callbacks));
        eventLoop.after(StoreConstants.WATCH_CATCH_UP_MS, this::completeReads);
        completeReads();
    }

    /** Answers the requests whose revision the replica has reached, and those whose time is up. */
    void completeReads() {
        for (PendingReads reads : new ArrayList<>(waitingForReplica)) {
            boolean reached = hasReached(reads.revision);
            if (reached || eventLoop.now() >= reads.deadline) {
                waitingForReplica.remove(reads);
                reads.callbacks.forEach(callback -> callback.accept(reached));
            }
        }
    }

    private boolean hasReached(long revision) {
        long appliedRevision = replica.appliedRevision();
        return Long.compareUnsigned(appliedRevision, revision) >= 0 && replica.allowsAnswerAt(appliedRevision);
    }
}
