package org.hollypick.control.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.records.Records;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Jobs that can never be done, since one that they need was cancelled. Every node tells so from the records of the
 * others alone; their own records follow here, many to a transaction and after everything that users wait for.
 */
public final class DependentCancellation {
    private static final Logger LOG = LoggerFactory.getLogger(DependentCancellation.class);

    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final long token;
    /** Jobs whose records aren't written yet, and the stamps that they have now. */
    private final Map<String, Long> waiting = new LinkedHashMap<>();

    private boolean writing;
    private long notBefore;

    /** Writes under the fencing token {@code token}. */
    public DependentCancellation(
            EventLoop eventLoop, StoreReplica replica, KeyValueStoreClient store, Settings settings, long token) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.store = store;
        this.settings = settings;
        this.token = token;
    }

    /** Queues the terminal record of a cancelled job; {@code stamp}: the revision of its present record. */
    public void add(String id, long stamp) {
        waiting.put(id, stamp);
    }

    /** Writes queued terminal records, at most one transaction at a time, when the store has capacity to spare. */
    public void flush() {
        waiting.keySet().removeIf(id -> {
            StoreReplica.Entry e = replica.get(StoreKeys.job(id));
            return e != null && Records.isOver(e.data());
        });
        if (writing || waiting.isEmpty() || eventLoop.now() < notBefore || !store.hasSpareWriteCapacity()) {
            return;
        }
        CompareAndSwap txn = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, token);
        List<String> ending = new ArrayList<>();
        for (Map.Entry<String, Long> e : waiting.entrySet()) {
            if (ending.size() == settings.txnOps()) {
                break;
            }
            ending.add(e.getKey());
            txn.expectRevision(StoreKeys.job(e.getKey()), e.getValue())
                    .put(StoreKeys.job(e.getKey()), Records.over(Records.ABORTED, 0));
        }
        writing = true;
        store.commit(txn, r -> {
            writing = false;
            LOG.info("cancelled with what they need jobs={} status={} token={}", ending, r.status(), token);
            if (r.ok()) {
                waiting.keySet().removeAll(ending);
            } else {
                // by then the view shows what was written otherwise
                notBefore = eventLoop.now() + ElectionConstants.SESSION_RETRY_MS;
            }
        });
    }
}
