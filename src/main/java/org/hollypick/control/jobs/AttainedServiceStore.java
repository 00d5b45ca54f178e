package org.hollypick.control.jobs;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hollypick.cluster.StoreKeys;
import org.hollypick.cluster.StoreReplica;
import org.hollypick.config.Settings;
import org.hollypick.core.Job;
import org.hollypick.core.Scheduler;
import org.hollypick.io.Codec;
import org.hollypick.records.RecordSize;
import org.hollypick.store.CompareAndSwap;
import org.hollypick.store.KeyValueStoreClient;

/**
 * Stores the attained service of the live jobs, by which Tyrex orders them, for the next leader. Each controller that
 * leads writes a record of its own at an interval. Confined to the event loop.
 */
public final class AttainedServiceStore {
    /** Field: the attained service by job id. */
    private static final String SERVICE_BY_JOB = "sizes";
    /** Bytes of the quotes, colon and comma around an entry. */
    private static final int ENTRY_OVERHEAD_BYTES = 4;

    private final StoreReplica replica;
    private final Settings settings;
    private final KeyValueStoreClient store;
    private final Scheduler scheduler;
    private String lastWrittenRecord = "";

    /** Creates a store that reads from {@code replica} and writes under the scheduler's fencing token. */
    public AttainedServiceStore(
            StoreReplica replica, Settings settings, KeyValueStoreClient store, Scheduler scheduler) {
        this.replica = replica;
        this.settings = settings;
        this.store = store;
        this.scheduler = scheduler;
    }

    /** Restores the attained service that earlier leaders recorded for the live jobs. */
    public void load() {
        Map<String, Double> recordedByJob = new HashMap<>();
        replica.entries().forEach((key, entry) -> {
            if (key.startsWith(StoreKeys.ATTAINED_SERVICE)) {
                entry.data()
                        .path(SERVICE_BY_JOB)
                        .fields()
                        .forEachRemaining(field -> recordedByJob.put(
                                field.getKey(), field.getValue().asDouble()));
            }
        });
        for (Job job : scheduler.jobs()) {
            Double recorded = recordedByJob.get(job.spec.id());
            if (recorded != null) {
                scheduler.restoreAttainedService(job, recorded);
            }
        }
    }

    /** Writes the attained service of the live jobs, if it changed since the last successful write. */
    public void write() {
        ObjectNode record = encode(scheduler.attainedService());
        String text = record.toString();
        if (text.equals(lastWrittenRecord)) {
            return;
        }
        CompareAndSwap transaction = new CompareAndSwap()
                .expectRevision(StoreKeys.LEADER_RECORD, scheduler.token())
                .put(StoreKeys.attainedService(settings.node()), record);
        store.commit(transaction, result -> {
            if (result.committed()) {
                lastWrittenRecord = text;
            }
        });
    }

    /**
     * Encodes the largest values that fit into a record, rounded to a tenth of a second. The attained service of a job
     * that is left out starts at zero under the next leader.
     */
    private ObjectNode encode(Map<String, Double> serviceByJob) {
        ObjectNode record = Codec.object();
        ObjectNode encoded = record.putObject(SERVICE_BY_JOB);
        int remainingBytes = RecordSize.maxBytes(settings) - RecordSize.encodedBytes(record);
        List<Map.Entry<String, Double>> largestFirst = serviceByJob.entrySet().stream()
                .sorted(Comparator.comparingDouble((Map.Entry<String, Double> entry) -> Math.abs(entry.getValue()))
                        .reversed())
                .toList();
        for (Map.Entry<String, Double> entry : largestFirst) {
            double rounded = Math.round(entry.getValue() * 10) / 10.0;
            remainingBytes -= entry.getKey().length() + Double.toString(rounded).length() + ENTRY_OVERHEAD_BYTES;
            if (remainingBytes < 0) {
                break;
            }
            encoded.put(entry.getKey(), rounded);
        }
        return record;
    }
}
