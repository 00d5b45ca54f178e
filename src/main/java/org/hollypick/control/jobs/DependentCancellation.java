package org.hollypick.control.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.config.constants.ElectionConstants;
import org.hollypick.io.EventLoop;
import org.hollypick.records.JobRecordCodec;
import org.hollypick.records.TerminalStatus;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes the terminal records of jobs that are cancelled because a dependency was cancelled. Every controller derives
 * their state from the dependency's record, so these writes are not urgent: they are batched, and sent only while the
 * store has spare write capacity. Confined to the event loop.
 */
public final class DependentCancellation {
    private static final Logger LOG = LoggerFactory.getLogger(DependentCancellation.class);

    private final EventLoop eventLoop;
    private final StoreReplica replica;
    private final KeyValueStoreClient store;
    private final Settings settings;
    private final long token;
    /** The revision of the live record to be replaced, by job id. */
    private final Map<String, Long> pendingRevisions = new LinkedHashMap<>();

    private boolean writeInFlight;
    private long retryNotBefore;

    /** Creates a writer under the fencing token {@code token}. */
    public DependentCancellation(
            EventLoop eventLoop, StoreReplica replica, KeyValueStoreClient store, Settings settings, long token) {
        this.eventLoop = eventLoop;
        this.replica = replica;
        this.store = store;
        this.settings = settings;
        this.token = token;
    }

    /**
     * Queues the terminal record of a cancelled job.
     *
     * @param revision the revision of the job's live record
     */
    public void add(String id, long revision) {
        pendingRevisions.put(id, revision);
    }

    /** Writes queued records, one transaction at a time, when the store has capacity to spare. */
    public void flush() {
        pendingRevisions.keySet().removeIf(this::hasTerminalRecord);
        if (writeInFlight
                || pendingRevisions.isEmpty()
                || eventLoop.now() < retryNotBefore
                || !store.hasSpareWriteCapacity()) {
            return;
        }
        CompareAndSwap transaction = new CompareAndSwap().expectRevision(StoreKeys.LEADER_RECORD, token);
        List<String> jobIds =
                pendingRevisions.keySet().stream().limit(settings.txnOps()).toList();
        for (String id : jobIds) {
            transaction
                    .expectRevision(StoreKeys.job(id), pendingRevisions.get(id))
                    .put(StoreKeys.job(id), JobRecordCodec.encodeTerminal(TerminalStatus.CANCELLED, 0));
        }
        writeInFlight = true;
        store.commit(transaction, result -> {
            writeInFlight = false;
            LOG.info("jobs.cancelled_by_dependency jobs={} status={} token={}", jobIds, result.status(), token);
            if (result.committed()) {
                pendingRevisions.keySet().removeAll(jobIds);
            } else {
                // by then the replica shows terminal records that other writes stored, and the next flush skips these
                retryNotBefore = eventLoop.now() + ElectionConstants.STORE_RETRY_MS;
            }
        });
    }

    private boolean hasTerminalRecord(String id) {
        StoreReplica.Entry entry = replica.get(StoreKeys.job(id));
        return entry != null && JobRecordCodec.isTerminal(entry.data());
    }
}
