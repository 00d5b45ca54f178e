package org.hollypick.cluster;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hollypick.config.constants.StoreConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyValueStoreClient;

/**
 * Linearizable reads of a {@link StoreReplica}. Each read requests the store's current revision and completes when the
 * replica has reached it. One such request serves all reads submitted before it was sent; reads submitted later wait
 * for the next one. Confined to the event loop.
 */
final class LinearizableReads {
    private final EventLoop eventLoop;
    private final KeyValueStoreClient store;
    private final StoreReplica replica;
    /** Reads for which the store's revision has not been requested yet. */
    private List<Consumer<Boolean>> waitingForRead = new ArrayList<>();

    private final List<PendingReads> waitingForReplica = new ArrayList<>();
    private boolean readInProgress;

    /** Reads that wait until the replica reaches a revision, or until their deadline. */
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

    /** Completes the reads whose revision the replica has reached, and fails those whose deadline has passed. */
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
