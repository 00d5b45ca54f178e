package org.hollypick.control.graphs;

import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.control.jobs.JobTermination;
import org.hollypick.core.Scheduler;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyValueStoreClient;

/**
 * The components of a leader's term that its graphs depend on.
 *
 * @param replica the controller's copy of the store
 * @param requestReconcile requests a cycle of the term's reconcile loop, after a change that has to be written
 */
public record GraphContext(
        EventLoop eventLoop,
        Settings settings,
        StoreReplica replica,
        KeyValueStoreClient store,
        Scheduler scheduler,
        JobTermination jobTermination,
        Runnable requestReconcile) {
    /** The term's fencing token. */
    long fencingToken() {
        return scheduler.token();
    }
}
