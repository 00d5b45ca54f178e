package org.hollypick.control.graphs;

import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.control.jobs.JobTermination;
import org.hollypick.core.Scheduler;
import org.hollypick.io.EventLoop;
import org.hollypick.store.KeyValueStoreClient;

/**
 * What the leader's term provides for its graphs.
 *
 * @param replica the controller's copy of the store
 * @param requestReconcile runs the term's reconcile loop as soon as may be, after there is something to write
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
